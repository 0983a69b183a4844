#include "galenagw/routing/budget.h"

#include <string.h>

/* Part of the bound that is used. The rest is for what counts differently
 * at the other end: a send that was cut on the way, a window that slides
 * between our steps. */
#define USED_SHARE 0.75

static void advance_(GwBudget *b, const GwBudgetBound *bound, GwTime now);

void
GwBudget_AddRequest(GwBudget *b, const GwBudgetBound *bound, GwTime now)
{
    advance_(b, bound, now);
    b->first[b->step % (GW_BUDGET_STEPS + 1)]++;
}

bool
GwBudget_TakeRepeat(GwBudget *b, const GwBudgetBound *bound,
                    unsigned processes, GwTime now)
{
    double allowed;
    unsigned first = 0;
    unsigned repeats = 0;

    advance_(b, bound, now);
    for (int i = 0; i <= GW_BUDGET_STEPS; i++) {
        first += b->first[i];
        repeats += b->repeats[i];
    }
    allowed = USED_SHARE * (bound->ratio * first +
                            (double)bound->slack / MAX(processes, 1));
    if (repeats + 1 > allowed)
        return false;
    b->repeats[b->step % (GW_BUDGET_STEPS + 1)]++;
    return true;
}

static void
advance_(GwBudget *b, const GwBudgetBound *bound, GwTime now)
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
        b->first[b->step % (GW_BUDGET_STEPS + 1)] = 0;
        b->repeats[b->step % (GW_BUDGET_STEPS + 1)] = 0;
    }
}
