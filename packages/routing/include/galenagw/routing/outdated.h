/**
 * @defgroup outdated Outdated weights
 * @brief Until when an engine with outdated weights gets requests.
 *
 * A request must not start on outdated weights later than a bound after a
 * newer version was named. It starts with its first token, after its own
 * prompt and all prompts that wait before it were prefilled. The time after
 * which an engine gets no more requests therefore depends on its queue.
 *
 * Requests may wait longer than estimated. A request that still waits shortly
 * before the bound is withdrawn: its connection is closed, and the engine
 * removes it from its queue.
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

/** State in which a request could be sent to an engine. */
typedef struct {
    GwTime since; /**< when a newer version was named; 0: the engine has the
                     newest one */
    GwTime now;
    GwTime bound;    /**< maximum time between `since` and the start of a
                        request */
    uint64_t tokens; /**< tokens to prefill up to its first token, including
                        its own */
    bool is_full; /**< it must also wait until a running request completes */
    double prefill_tokens_per_ms; /**< measured speed of the engine; 0: the
                                     constants apply */
} GwOutdatedFacts;

/** Whether a request that is sent now is expected to start in time. */
bool GwOutdated_MaySend(const GwOutdatedFacts *facts);
/** Time at which a request without a first event is withdrawn; 0: never. */
GwTime GwOutdated_WithdrawAt(GwTime since, GwTime bound);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
