#include "galenagw/policy/credit.h"

#include <glib.h>
#include <math.h>

#define LEASE_TIME GW_SECOND
#define BATCH_SECONDS 0.1

const char *const GwCreditState_Names[GW_CREDITS] = {"go", "ask", "refuse"};

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
    GwLimit limit = {.rate = share, .burst = MAX(share, 1)};

    if (credit->local.at == 0)
        GwBucket_Init(&credit->local, &limit,
                      now - (GwTime)(BATCH_SECONDS * GW_SECOND));
    GwBucket_SetLimit(&credit->local, &limit, now);
    return GwBucket_Take(&credit->local, 1, 0, now) == 1;
}
