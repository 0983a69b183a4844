#include "galenagw/policy/credit.h"

#include <glib.h>
#include <math.h>

/* Leased credits expire after this time. */
#define CREDIT_LEASE_TERM GW_SECOND
/* A batch is what the rate yields in this time, in seconds. */
#define BATCH_S 0.1

const char *const GwCreditState_Names[GW_CREDIT_STATES] = {"go", "ask",
                                                           "refuse"};

uint32_t
GwCredit_Batch(double rate)
{
    return (uint32_t)MAX(1, ceil(rate * BATCH_S));
}

GwCreditState
GwCredit_Spend(GwCredit *credit, GwTime now)
{
    // The limit owner may have granted the credits of an expired lease to
    // other entries.
    if (now >= credit->lease_end)
        credit->credits = 0;
    if (credit->credits > 0) {
        credit->credits--;
        return GW_CREDIT_SEND;
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
        credit->lease_end = now + CREDIT_LEASE_TERM;
    else
        credit->refused_until = now + retry_after;
}

bool
GwCredit_SpendLocal(GwCredit *credit, double rate, int entries, GwTime now)
{
    double share = rate / MAX(entries, 1);
    GwLimit limit = {.rate = share, .burst = MAX(share, 1)};

    // A bucket is empty at its start, which is set one batch interval back, so
    // that the credits of that time can be spent at once.
    if (credit->local_bucket.filled_at == 0)
        GwBucket_Init(&credit->local_bucket, &limit,
                      now - (GwTime)(BATCH_S * GW_SECOND));
    GwBucket_SetLimit(&credit->local_bucket, &limit, now);
    return GwBucket_Take(&credit->local_bucket, 1, 0, now) == 1;
}
