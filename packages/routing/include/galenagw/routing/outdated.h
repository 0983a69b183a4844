/**
 * @defgroup outdated Outdated weights
 * @brief Until when an engine with outdated weights gets requests.
 *
 * A request must not start on outdated weights later than a bound after a
 * newer version was named. It starts with its first token, after its own
 * prompt and all prompts that wait before it were prefilled. The time after
 * which an engine gets no more requests therefore depends on its queue: on the
 * estimate of it, and on how long requests lately waited there.
 *
 * Requests may wait longer than expected. Three means keep them from starting
 * late:
 * - The load order of the engine's agent turns waiting requests away as not
 *   run. It comes before the bound, if the agent works.
 * - A request that still waits shortly before the bound is withdrawn: its
 *   connection is closed, and most engines then remove it from their queue.
 * - At an engine whose agent doesn't report, a request gets a deadline before
 *   the bound, at which the engine itself drops it. Requests that could still
 *   be running then are not sent.
 * @{
 */
#ifndef GALENAGW_ROUTING_OUTDATED_H
#define GALENAGW_ROUTING_OUTDATED_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What is known of an engine with outdated weights. */
typedef struct {
    GwTime since;     /**< when a newer version was named; 0: the engine has
                         the newest one */
    GwTime bound;     /**< maximum time between `since` and the start of a
                         request */
    bool is_reported; /**< its agent's report is recent */
    GwTime lateness;  /**< by how much the timers of this process are late */
} GwOutdatedEngine;

/** State in which a request could be sent to an engine. */
typedef struct {
    GwOutdatedEngine engine;
    GwTime now;
    uint64_t tokens; /**< tokens to prefill up to its first token, including
                        its own */
    bool is_full; /**< it must also wait until a running request completes */
    double prefill_tokens_per_ms; /**< measured speed of the engine; 0: the
                                     constants apply */
    GwTime observed_wait;         /**< see GwFirstTokenWait_Longest */
} GwOutdatedFacts;

/** Whether a request that is sent now is expected to start in time. */
bool GwOutdated_MaySend(const GwOutdatedFacts *facts);
/** Time at which a request without a first token is withdrawn; 0: never. */
GwTime GwOutdated_WithdrawAt(const GwOutdatedEngine *engine);
/** Time at which the engine itself must have dropped the request; GW_NEVER: no
 * earlier than without outdated weights. */
GwTime GwOutdated_DropAt(const GwOutdatedEngine *engine);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
