/**
 * @ingroup entry
 * @file
 * @brief What an entry is started with.
 */
#ifndef GALENAGW_ENTRY_OPTIONS_H
#define GALENAGW_ENTRY_OPTIONS_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"
#include "galenagw/policy/placement.h"

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

#endif
