#include "galenagw/routing/budget.h"

#include <string.h>

/* Share of the ratio that is used. The remainder allows for differences to
 * what endpoints count: requests that were lost on the way, and windows whose
 * limits lie between the steps counted here. */
#define USABLE_SHARE 0.75

/* With fewer retries left, those of a few requests that fail at the same time
 * may exceed them. */
#define LOW_RETRIES 4

static double count_allowed_(const GwBudget *b, const GwBudgetBound *bound);
static unsigned sum_(const unsigned *steps);
static void advance_window_(GwBudget *b, const GwBudgetBound *bound,
                            GwTime now);

void
GwBudget_AddRequest(GwBudget *b, const GwBudgetBound *bound, GwTime now)
{
    advance_window_(b, bound, now);
    b->first_sends[b->step % (GW_BUDGET_STEPS + 1)]++;
}

bool
GwBudget_UseRetry(GwBudget *b, const GwBudgetBound *bound, GwTime now)
{
    advance_window_(b, bound, now);
    if (sum_(b->retries) + 1 > count_allowed_(b, bound))
        return false;
    b->retries[b->step % (GW_BUDGET_STEPS + 1)]++;
    return true;
}

bool
GwBudget_IsLow(GwBudget *b, const GwBudgetBound *bound, GwTime now)
{
    advance_window_(b, bound, now);
    return sum_(b->first_sends) > 0 &&
           sum_(b->retries) + LOW_RETRIES > count_allowed_(b, bound);
}

static double
count_allowed_(const GwBudget *b, const GwBudgetBound *bound)
{
    return USABLE_SHARE * bound->ratio * sum_(b->first_sends);
}

static unsigned
sum_(const unsigned *steps)
{
    unsigned n = 0;

    for (int i = 0; i <= GW_BUDGET_STEPS; i++)
        n += steps[i];
    return n;
}

static void
advance_window_(GwBudget *b, const GwBudgetBound *bound, GwTime now)
{
    GwTime length = MAX(bound->window / GW_BUDGET_STEPS, 1);
    int64_t step = now / length;

    if (step - b->step > GW_BUDGET_STEPS) {
        memset(b, 0, sizeof(*b));
        b->step = step;
        return;
    }
    while (b->step < step) {
        b->step++;
        b->first_sends[b->step % (GW_BUDGET_STEPS + 1)] = 0;
        b->retries[b->step % (GW_BUDGET_STEPS + 1)] = 0;
    }
}
