/**
 * @defgroup entry Entry
 * @brief The process that callers reach: choice of endpoint and delivery.
 *
 * An entry holds nothing that a restart must rebuild: configuration comes
 * from the log or from agents, knowledge of caches and load comes with the
 * offers of each request.
 * @{
 */
#ifndef GALENAGW_ENTRY_ENTRY_H
#define GALENAGW_ENTRY_ENTRY_H

#include "galenagw/base/counters.h"
#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"
#include "galenagw/policy/placement.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwEntry GwEntry;

/** Construction options; strings must outlive the entry. */
typedef struct {
    const char *name;
    const char *failure_domain;
    const char *site;
    GwAddress listen;    /**< callers' HTTP */
    GwAddress admin;     /**< /metrics, /healthz, /status, /drain */
    GwAddress log;       /**< the platform's log service */
    GwAddress instances; /**< the platform's instance list */
    GwTime list_period;  /**< between readings of the list; 0: 500 ms */
    GwTime silent_after; /**< session silence; 0: 1.5 s */
    GwTime balancer_lag; /**< accepting goes on so long; 0: 2 s */
    size_t max_body;     /**< of a caller's request; 0: 4 MiB */
    uint64_t snapshot_every;
    uint32_t seed; /**< randomness; 0: from the system */
    /** How endpoints are placed; NULL: offers, as designed. For baselines. */
    const GwPlacement *placement;
    void (*on_drained)(void *user);
    void *user;
} GwEntryOptions;

/** Start. @return NULL with @p err. */
GwEntry *GwEntry_New(GwLoop *loop, const GwEntryOptions *options,
                     GwError *err);
/** Stop at once and free; call before the loop is deleted. */
void GwEntry_Delete(GwEntry *entry);
/**
 * Fail the health check, go on accepting for the balancer's lag, finish
 * every stream, then call on_drained. Idempotent.
 */
void GwEntry_Drain(GwEntry *entry);
int GwEntry_Port(const GwEntry *entry);
int GwEntry_AdminPort(const GwEntry *entry);
const GwCounters *GwEntry_Counters(const GwEntry *entry);
/** Requests in progress. */
int GwEntry_Open(const GwEntry *entry);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
