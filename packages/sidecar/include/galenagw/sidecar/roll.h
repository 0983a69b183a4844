/**
 * @defgroup roll Stages of a switch
 * @brief How an engine's switch to newer weights proceeds once it has started;
 * see switch_schedule for when it starts.
 *
 * A switch has three steps: in the preparation the engine gets no more long
 * runs, while it settles it gets no requests at all and its queue empties, and
 * then the load order is sent.
 * @{
 */
#ifndef GALENAGW_SIDECAR_ROLL_H
#define GALENAGW_SIDECAR_ROLL_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Time until the order must be sent, even if requests are queued or run at the
 * engine; the engine refuses the queued ones as not run. 0 or less: now.
 */
GwTime GwRoll_TimeLeft(GwTime outdated_for, GwTime bound);
/**
 * Whether the preparation is over, so that the engine gets no more short runs
 * either. Long runs that are still running then continue under the new
 * weights. With little @p remaining the preparation ends at once, so that the
 * remaining time is left for the queue to empty: a request that still waits
 * there when the order is sent begins at once at another engine or not at all.
 * @param elapsed time since the preparation started
 * @param long_runs long runs that are in flight at the engine
 * @param remaining result of GwRoll_TimeLeft
 */
bool GwRoll_IsPrepared(GwTime elapsed, unsigned long_runs, GwTime remaining);
/**
 * Whether the engine has settled, so that the order is sent.
 * @param elapsed time since entries were notified to send it no requests
 * @param has_waiting its last report shows queued requests, or entries wait
 * for first tokens from it
 * @param remaining result of GwRoll_TimeLeft
 */
bool GwRoll_IsSettled(GwTime elapsed, bool has_waiting, GwTime remaining);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
