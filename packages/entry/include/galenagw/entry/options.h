/**
 * @ingroup entry
 * @file
 * @brief Construction options of an entry.
 */
#ifndef GALENAGW_ENTRY_OPTIONS_H
#define GALENAGW_ENTRY_OPTIONS_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"
#include "galenagw/policy/placement.h"

/** Construction options; strings must outlive the entry. */
typedef struct {
    const char *name; /**< of this instance in the instance list */
    const char *failure_domain;
    const char *site;    /**< its overlay of the configuration applies */
    GwAddress listen;    /**< HTTP interface for callers */
    GwAddress admin;     /**< /metrics, /healthz, /status, /drain */
    GwAddress log;       /**< the platform's log service */
    GwAddress instances; /**< the platform's instance list */
    GwTime list_period;  /**< between reads of the instance list; 0: 500 ms */
    GwTime silence_timeout; /**< silence until a session is closed; 0: 1.5 s */
    GwTime balancer_lag;    /**< a drain still accepts requests; 0: 2 s */
    size_t max_body;        /**< bytes of a caller's request body; 0: 4 MiB */
    uint64_t snapshot_every; /**< config records per snapshot; 0: none */
    uint32_t seed;           /**< of random numbers; 0: from the system */
    /** Chooses endpoints without offers, as a benchmark baseline; NULL: choose
     * by offers. */
    const GwPlacement *placement;
    /** All requests are finished after GwEntry_Drain; or NULL. */
    void (*on_drained)(void *user);
    void *user;
} GwEntryOptions;

#endif
