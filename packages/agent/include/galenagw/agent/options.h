/**
 * @ingroup agent
 * @file
 * @brief Construction options of an agent.
 */
#ifndef GALENAGW_AGENT_OPTIONS_H
#define GALENAGW_AGENT_OPTIONS_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

/** Construction options; strings must outlive the agent. */
typedef struct {
    const char *name; /**< of the instance, as the platform lists it */
    const char *pool; /**< model or service of the endpoint */
    const char *failure_domain; /**< of this instance */
    const char *site;   /**< its overlay of the configuration applies */
    bool plain_service; /**< the endpoint is one; else an engine */
    GwAddress listen;   /**< for sessions with entries */
    GwAddress admin;    /**< /metrics, /healthz, /status, /drain */
    GwAddress endpoint;
    GwAddress log;           /**< the platform's log service */
    GwTime progress_timeout; /**< of an endpoint without output; 0: 10 s */
    GwTime detach_time;      /**< how long a job waits for a Resume after
                                its session was lost; 0: 10 s */
    GwTime silence_timeout;  /**< session timeout that entries are assumed to
                             use (their own option sets it). The agent
                             pings after a third of it, and closes a
                             session after three times it without any
                             traffic, or without a pong to its ping;
                             0: 1.5 s */
    uint64_t snapshot_every; /**< records between configuration snapshots */
    uint32_t seed;           /**< of the random numbers; 0: from the system */
    void (*on_drained)(void *user); /**< the drain is complete; or NULL */
    void *user;
} GwAgentOptions;

#endif
