#include "galenagw/sidecar/roll.h"

/* Duration of the preparation: the minimum, and the maximum while long runs
 * are in flight. An engine with a load order accepts no requests until all
 * running ones have finished. So it first gets no more long runs and continues
 * with short ones, also while another engine of its group loads. Meanwhile the
 * other engines get all long runs. A maximum of 2.5 s, by which nearly all
 * runs have finished, overloaded those engines, and a maximum longer than a
 * load would delay the engines that follow. Runs that are left then continue
 * under the new weights. */
#define PREPARE_MIN (60 * GW_MILLISECOND)
#define PREPARE_MAX (200 * GW_MILLISECOND)

/* Duration of settling: the minimum, and the maximum while requests wait.
 * Entries stop sending requests when they receive the sidecar's broadcast.
 * With the order the engine refuses requests that are in transit or queued, so
 * the order is sent once none waits. That must be shown by a report which the
 * engine made after the last arrival. The sidecar's reports are current; those
 * that other callers of the engine get are some hundred milliseconds old. */
#define SETTLE_MIN (60 * GW_MILLISECOND)
#define SETTLE_MAX (900 * GW_MILLISECOND)

/* How long before the bound the order is sent at the latest. An engine that
 * starts late, with weights that must be replaced soon, may have requests in
 * its queue that would begin after the bound. Entries receive a version up to
 * 200 ms after it was acknowledged, the order takes some milliseconds, and
 * entries withdraw queued requests only 300 ms before the bound, without proof
 * that they were not run. */
#define ORDER_LEAD_TIME (800 * GW_MILLISECOND)

GwTime
GwRoll_TimeLeft(GwTime outdated_for, GwTime bound)
{
    return bound - ORDER_LEAD_TIME - outdated_for;
}

bool
GwRoll_IsPrepared(GwTime elapsed, unsigned long_runs, GwTime remaining)
{
    return remaining <= SETTLE_MAX ||
           elapsed >= (long_runs == 0 ? PREPARE_MIN : PREPARE_MAX);
}

bool
GwRoll_IsSettled(GwTime elapsed, bool has_waiting, GwTime remaining)
{
    if (remaining <= 0)
        return true;
    return elapsed >= (has_waiting ? SETTLE_MAX : SETTLE_MIN);
}
