/**
 * @ingroup agent
 * @file
 * @brief What an agent is started with.
 */
#ifndef GALENAGW_AGENT_OPTIONS_H
#define GALENAGW_AGENT_OPTIONS_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

/** Construction options; strings must outlive the agent. */
typedef struct {
    const char *name;           /**< instance name, as listed */
    const char *pool;           /**< model or service */
    const char *failure_domain; /**< of this instance */
    const char *site;           /**< whose overlay applies */
    bool plain_service;         /**< else a model engine */
    GwAddress listen;           /**< inner protocol */
    GwAddress admin;            /**< /metrics, /healthz, /status, /drain */
    GwAddress endpoint;
    GwAddress log;
    GwTime progress_timeout; /**< endpoint without output; 0: 10 s */
    GwTime detach_time;      /**< kept for a lost entry; 0: 10 s */
    GwTime silent_after;     /**< session silence; 0: 1.5 s */
    uint64_t snapshot_every; /**< records between config snapshots */
    uint32_t seed;           /**< randomness; 0: from the system */
    void (*on_drained)(void *user);
    void *user;
} GwAgentOptions;

#endif
