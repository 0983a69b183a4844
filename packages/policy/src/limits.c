#include "galenagw/policy/limits.h"

#include <glib.h>
#include <math.h>

#define LEASE_TIME GW_SECOND
#define BATCH_SECONDS 0.1

const char *const GwCreditState_Names[GW_CREDITS] = {"go", "ask", "refuse"};

static void refill_(GwBucket *b, GwTime now);

void
GwBucket_Init(GwBucket *b, double rate, double burst, GwTime now)
{
    b->rate = rate;
    b->burst = MAX(burst, 1);
    b->level = b->burst;
    b->at = now;
}

void
GwBucket_SetRate(GwBucket *b, double rate, double burst, GwTime now)
{
    refill_(b, now);
    b->rate = rate;
    b->burst = MAX(burst, 1);
    b->level = MIN(b->level, b->burst);
}

uint32_t
GwBucket_Take(GwBucket *b, uint32_t want, GwTime now)
{
    uint32_t n;

    refill_(b, now);
    n = (uint32_t)MIN((double)want, floor(b->level));
    b->level -= n;
    return n;
}

GwTime
GwBucket_Wait(const GwBucket *b, GwTime now)
{
    double level =
        MIN(b->level + b->rate * (double)(now - b->at) / GW_SECOND, b->burst);

    if (level >= 1)
        return 0;
    if (b->rate <= 0)
        return 60 * GW_SECOND;
    return (GwTime)ceil((1 - level) / b->rate * (double)GW_SECOND);
}

uint32_t
GwCredit_Batch(double rate)
{
    return (uint32_t)MAX(1, ceil(rate * BATCH_SECONDS));
}

GwCreditState
GwCredit_Spend(GwCredit *credit, GwTime now)
{
    // Credits of an old lease may have been granted to others since.
    if (now >= credit->lease_end)
        credit->credits = 0;
    if (credit->credits > 0) {
        credit->credits--;
        return GW_CREDIT_GO;
    }
    return now < credit->refused_until ? GW_CREDIT_REFUSE : GW_CREDIT_ASK;
}

void
GwCredit_Granted(GwCredit *credit, uint32_t credits, GwTime retry_after,
                 GwTime now)
{
    credit->asking = false;
    credit->credits += credits;
    if (credits > 0)
        credit->lease_end = now + LEASE_TIME;
    else
        credit->refused_until = now + retry_after;
}

bool
GwCredit_SpendLocal(GwCredit *credit, double rate, int entries, GwTime now)
{
    double share = rate / MAX(entries, 1);

    if (credit->local.at == 0)
        GwBucket_Init(&credit->local, share, share * BATCH_SECONDS, now);
    GwBucket_SetRate(&credit->local, share, share, now);
    return GwBucket_Take(&credit->local, 1, now) == 1;
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
    b->level += b->rate * (double)(now - b->at) / GW_SECOND;
    b->level = MIN(b->level, b->burst);
    b->at = now;
}
