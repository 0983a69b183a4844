#include "galenagw/sidecar/roll.h"

/* A quarter of the engines at once. The users' sheets allow about a fifth to
 * load at once at full speed; a switch is a load for half of its time. */
#define AT_ONCE_SHARE 2
#define AT_ONCE_LEAST 2
/* Part of the bound after which an engine waits for no other: a switch takes
 * a second, two under load, and must be over by the bound. */
#define LATEST_SHARE 0.55
/* An engine that is not heard of is waited for no longer than a switch. */
#define LOST_WAIT (1500 * GW_MILLISECOND)

/* An order waits for all that runs, and the engine takes nothing meanwhile. So
 * it gets no more long runs first and goes on with short ones. Half of the
 * engines may be in that state, and the others get all long runs: waiting for
 * 2.5 s, which ends nearly all runs, filled those others. Callers of long runs
 * got 0.02 to 0.07 more of a day's worth in time with this, on days of high
 * load; what goes on under the new weights costs less. */
#define PREPARE_LEAST (60 * GW_MILLISECOND)
#define PREPARE_MOST (600 * GW_MILLISECOND)

/* Entries stop sending on our word. What is on the way, or waits at the
 * engine, would be turned away by the order: it is given once nothing waits,
 * which must have been seen in a report made after the last arrival. Reports
 * are some hundred milliseconds old at the engine's other callers, not here.
 */
#define SETTLE_LEAST (60 * GW_MILLISECOND)
#define SETTLE_MOST (900 * GW_MILLISECOND)

/* An engine that starts late, with weights that must soon be gone, still has
 * requests in its queue that would begin past the bound. The order comes this
 * much before it: entries learn of a version up to 200 ms after it was
 * acknowledged, the order takes some milliseconds, and entries withdraw what
 * waits only 300 ms before, with no promise then that it was not run. */
#define ORDER_BEFORE (800 * GW_MILLISECOND)

size_t
GwRoll_AtOnce(size_t engines)
{
    size_t n = (engines + AT_ONCE_SHARE - 1) / AT_ONCE_SHARE;

    return n > AT_ONCE_LEAST ? n : AT_ONCE_LEAST;
}

bool
GwRoll_MayStart(const GwRollFacts *facts)
{
    if (facts->is_first || facts->before_done)
        return true;
    if (facts->before_lost && facts->outdated >= LOST_WAIT)
        return true;
    return (double)facts->outdated >= LATEST_SHARE * (double)facts->bound ||
           GwRoll_Left(facts->outdated, facts->bound) <= 0;
}

GwTime
GwRoll_Left(GwTime outdated, GwTime bound)
{
    return bound - ORDER_BEFORE - outdated;
}

bool
GwRoll_IsPrepared(GwTime since, unsigned long_runs, GwTime left)
{
    return left <= SETTLE_MOST ||
           since >= (long_runs == 0 ? PREPARE_LEAST : PREPARE_MOST);
}

bool
GwRoll_IsSettled(GwTime since, bool waits, GwTime left)
{
    if (left <= 0)
        return true;
    return since >= (waits ? SETTLE_MOST : SETTLE_LEAST);
}
