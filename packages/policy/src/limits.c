#include "galenagw/policy/limits.h"

#include <math.h>
#include <string.h>

/* Part of a burst that is spread over the window. All of it would let more
 * through than the window allows when a home that granted a burst is followed
 * by one that does not know of it. */
#define SPREAD_SHARE 0.5

static void refill_(GwBucket *b, GwTime now);
static double pace_(const GwBucket *b, GwTime now);
static double debt_(const GwBucket *b, GwTime now);
static double room_(const GwBucket *b);
static void advance_(GwBucket *b, GwTime now);

GwLimit
GwLimit_Part(const GwLimit *limit, unsigned parts)
{
    double n = MAX(parts, 1);
    GwLimit part = *limit;

    part.rate /= n;
    // Whole units are granted: parts of a burst must add up to it.
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
GwBucket_Init(GwBucket *b, const GwLimit *limit, GwTime since)
{
    *b = (GwBucket){.limit = *limit, .since = since, .at = since};
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
    double there;
    double taken;

    refill_(b, now);
    there = MIN(b->level + debt_(b, now), room_(b));
    taken = MAX(floor(MIN(need, there)), 0);
    ahead = floor(MIN(ahead, b->level - taken - b->limit.burst / 2));
    if (taken == need && ahead > 0)
        taken += ahead;
    b->level -= taken;
    b->taken[b->step % (GW_LIMIT_STEPS + 1)] += taken;
    return taken;
}

void
GwBucket_Return(GwBucket *b, double units, GwTime now)
{
    double *taken;

    refill_(b, now);
    units = MAX(units, 0);
    b->level = MIN(b->level + units, b->limit.burst);
    // Of which step they were is not told: the newest are the likeliest.
    for (int i = 0; i <= GW_LIMIT_STEPS && units > 0; i++) {
        double part;

        taken = &b->taken[(b->step + GW_LIMIT_STEPS + 1 - i) %
                          (GW_LIMIT_STEPS + 1)];
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
    budget->level = max;
}

void
GwRetryBudget_First(GwRetryBudget *budget)
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
    double time = (double)MAX(now - b->at, 0) / (double)GW_SECOND;

    b->level = MIN(b->level + pace_(b, now) * time, b->limit.burst);
    b->at = MAX(now, b->at);
    advance_(b, b->at);
}

// Units a second.
static double
pace_(const GwBucket *b, GwTime now)
{
    double spread;

    if (b->limit.window == 0 || now - b->since < b->limit.window)
        return b->limit.rate;
    spread = SPREAD_SHARE * b->limit.burst * (double)GW_SECOND /
             (double)b->limit.window;
    return b->limit.rate + spread;
}

static double
debt_(const GwBucket *b, GwTime now)
{
    return now - b->since < b->limit.window ? 0 : b->limit.debt;
}

// Units that the window has room for.
static double
room_(const GwBucket *b)
{
    double room = b->limit.burst +
                  b->limit.rate * (double)b->limit.window / (double)GW_SECOND;

    if (b->limit.window == 0)
        return INFINITY;
    for (int i = 0; i <= GW_LIMIT_STEPS; i++)
        room -= b->taken[i];
    return room;
}

static void
advance_(GwBucket *b, GwTime now)
{
    GwTime length = MAX(b->limit.window / GW_LIMIT_STEPS, 1);
    int64_t step = now / length;

    if (b->limit.window == 0)
        return;
    if (step < b->step || step - b->step > GW_LIMIT_STEPS) {
        memset(b->taken, 0, sizeof(b->taken));
        b->step = step;
    }
    while (b->step < step) {
        b->step++;
        b->taken[b->step % (GW_LIMIT_STEPS + 1)] = 0;
    }
}
