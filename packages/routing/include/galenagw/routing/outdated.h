/**
 * @defgroup outdated Outdated weights
 * @brief Until when an engine with older weights gets requests.
 *
 * A request must not begin on older weights later than a bound after a newer
 * version was named, and it begins with its first token: after all prompts
 * that wait before it, and its own, were read. So the moment after which an
 * engine gets no more requests depends on what waits there.
 *
 * What was expected may take longer. A request that still waits shortly
 * before the bound is withdrawn: its connection is closed, and the engine
 * drops it from its queue.
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

/** What is known when a request could go to an engine. */
typedef struct {
    GwTime since; /**< when a newer version was named; 0: it has the newest */
    GwTime now;
    GwTime bound;    /**< after the naming */
    uint64_t tokens; /**< read there up to its first token, its own as well */
    bool is_full;    /**< it must wait for the end of a run there, too */
} GwOutdatedFacts;

/** Whether a request that is sent now is expected to begin in time. */
bool GwOutdated_MaySend(const GwOutdatedFacts *facts);
/** When a request without a first event is withdrawn; 0: never. */
GwTime GwOutdated_WithdrawAt(GwTime since, GwTime bound);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
