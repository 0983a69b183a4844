#include "galenagw/policy/limits.h"

#include <math.h>
#include <string.h>

/* Share of the burst that a bucket gets in addition to its rate, evenly over
 * each window. An account that is at its limit all the time thus gets nearly
 * all units that the window allows (rate and one burst), not only those of the
 * rate. The share is not 1: if the limit owner (the process that holds the
 * bucket) has granted a burst and is replaced by one that has no record of it,
 * both together could grant more than the window allows. */
#define BURST_SPREAD_SHARE 0.5
/* Retries that a process may send before it has first attempts to count: those
 * of one request. With a full level at each start, processes that are
 * restarted in series would multiply the load of the failure that they were
 * lost to. */
#define START_RETRIES 2

static void refill_(GwBucket *b, GwTime now);
static double fill_rate_(const GwBucket *b, GwTime now);
static double allowed_debt_(const GwBucket *b, GwTime now);
static double window_units_left_(const GwBucket *b);
static void advance_window_(GwBucket *b, GwTime now);

GwLimit
GwLimit_Part(const GwLimit *limit, unsigned parts)
{
    double n = MAX(parts, 1);
    GwLimit part = *limit;

    part.rate /= n;
    // Owners grant whole units. If the parts were not rounded up, a request
    // for the entire burst of an idle account could get less than it.
    part.burst = ceil(limit->burst / n);
    part.debt /= n;
    return part;
}

GwTime
GwLimit_TimeFor(const GwLimit *limit, double units)
{
    if (units <= 0 || limit->rate <= 0)
        return 0;
    return (GwTime)ceil(units / limit->rate * (double)GW_SECOND);
}

void
GwBucket_Init(GwBucket *b, const GwLimit *limit, GwTime started_at)
{
    *b = (GwBucket){
        .limit = *limit, .started_at = started_at, .filled_at = started_at};
}

void
GwBucket_SetLimit(GwBucket *b, const GwLimit *limit, GwTime now)
{
    refill_(b, now);
    b->limit = *limit;
    b->level = MIN(b->level, limit->burst);
}

double
GwBucket_Take(GwBucket *b, double need, double ahead, GwTime now)
{
    double available;
    double taken;

    refill_(b, now);
    available = MIN(b->level + allowed_debt_(b, now), window_units_left_(b));
    taken = MAX(floor(MIN(need, available)), 0);
    // Units that the account is expected to need soon (ahead) are granted only
    // from the upper half, so that the lower half is left for requests that
    // wait. Units ahead need no check against the window: the bucket gets half
    // of a burst per window in addition to its rate, so at least the units by
    // which the level exceeds half of the burst are left in the window, unless
    // the limit was lowered within it.
    ahead = floor(MIN(ahead, b->level - taken - b->limit.burst / 2));
    if (taken == need && ahead > 0)
        taken += ahead;
    b->level -= taken;
    b->taken[b->step % (GW_LIMIT_WINDOW_STEPS + 1)] += taken;
    return taken;
}

void
GwBucket_Return(GwBucket *b, double units, GwTime now)
{
    double *taken;

    refill_(b, now);
    units = MAX(units, 0);
    b->level = MIN(b->level + units, b->limit.burst);
    // In which steps of the window the units were taken is not recorded. They
    // are subtracted from the newest steps first, because units are usually
    // returned soon after they were taken.
    for (int i = 0; i <= GW_LIMIT_WINDOW_STEPS && units > 0; i++) {
        double part;

        taken = &b->taken[(b->step + GW_LIMIT_WINDOW_STEPS + 1 - i) %
                          (GW_LIMIT_WINDOW_STEPS + 1)];
        part = MIN(*taken, units);
        *taken -= part;
        units -= part;
    }
}

void
GwRetryBudget_Init(GwRetryBudget *budget, double share, double max)
{
    budget->share = share;
    budget->max = max;
    budget->level = MIN(max, START_RETRIES);
}

void
GwRetryBudget_AddFirstAttempt(GwRetryBudget *budget)
{
    budget->level = MIN(budget->level + budget->share, budget->max);
}

bool
GwRetryBudget_Take(GwRetryBudget *budget)
{
    if (budget->level < 1)
        return false;
    budget->level -= 1;
    return true;
}

static void
refill_(GwBucket *b, GwTime now)
{
    double time = (double)MAX(now - b->filled_at, 0) / (double)GW_SECOND;

    b->level = MIN(b->level + fill_rate_(b, now) * time, b->limit.burst);
    b->filled_at = MAX(now, b->filled_at);
    advance_window_(b, b->filled_at);
}

// Rate at which the bucket fills, in units per second. In the first window it
// gets no additional share of the burst: an earlier bucket of the same account
// may have granted a burst in this window, see BURST_SPREAD_SHARE.
static double
fill_rate_(const GwBucket *b, GwTime now)
{
    double spread;

    if (b->limit.window == 0 || now - b->started_at < b->limit.window)
        return b->limit.rate;
    spread = BURST_SPREAD_SHARE * b->limit.burst * (double)GW_SECOND /
             (double)b->limit.window;
    return b->limit.rate + spread;
}

// Number of units by which the level may be below zero. None in the first
// window, in which an earlier bucket of the same account may have granted the
// debt already.
static double
allowed_debt_(const GwBucket *b, GwTime now)
{
    return now - b->started_at < b->limit.window ? 0 : b->limit.debt;
}

// Units that may still be taken in the window that ends now. It is a sliding
// window, whose begin is rounded down to a step.
static double
window_units_left_(const GwBucket *b)
{
    double left = b->limit.burst +
                  b->limit.rate * (double)b->limit.window / (double)GW_SECOND;

    if (b->limit.window == 0)
        return INFINITY;
    for (int i = 0; i <= GW_LIMIT_WINDOW_STEPS; i++)
        left -= b->taken[i];
    return left;
}

static void
advance_window_(GwBucket *b, GwTime now)
{
    GwTime step_length = MAX(b->limit.window / GW_LIMIT_WINDOW_STEPS, 1);
    int64_t step = now / step_length;

    if (b->limit.window == 0)
        return;
    // All counts are dropped after a gap of a window, when they are too old,
    // and if the limit has got a window of another length: the steps then have
    // another length and other numbers, lower or far higher ones, and the
    // counts cannot be converted. Until the next window only the level then
    // bounds the units of the account.
    if (step < b->step || step - b->step > GW_LIMIT_WINDOW_STEPS) {
        memset(b->taken, 0, sizeof(b->taken));
        b->step = step;
    }
    while (b->step < step) {
        b->step++;
        b->taken[b->step % (GW_LIMIT_WINDOW_STEPS + 1)] = 0;
    }
}
