#include "galenagw/routing/budget.h"

#include <math.h>
#include <xxhash.h>

/* The horizon is this part of the window, and this share of the ratio is used:
 * the retries of a window are allowed by requests of 5/4 windows, of which
 * 4/5 of the ratio are the ratio of one window. */
#define HORIZONS_PER_WINDOW 4
#define USABLE_SHARE 0.8

/* With fewer retries left, those of a few requests that fail at the same time
 * may exceed them. */
#define LOW_RETRIES 4

static double draw_rounding_(const GwBudget *b);
static double count_allowed_(const GwBudget *b, const GwBudgetBound *bound);
static unsigned count_requests_(const GwBudget *b);
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
    if (sum_(b->retries) + 1 >
        floor(count_allowed_(b, bound) + draw_rounding_(b)))
        return false;
    b->retries[b->step % (GW_BUDGET_STEPS + 1)]++;
    return true;
}

bool
GwBudget_IsLow(GwBudget *b, const GwBudgetBound *bound, GwTime now)
{
    advance_window_(b, bound, now);
    return count_requests_(b) > 0 &&
           sum_(b->retries) + LOW_RETRIES > count_allowed_(b, bound);
}

// A random number below 1, another one for each horizon and process. If the
// retries that are allowed were rounded down, many processes with few requests
// each would together use hardly any; rounded at random, their sum is right.
static double
draw_rounding_(const GwBudget *b)
{
    uint64_t x = b->seed + (uint64_t)(b->step / GW_BUDGET_STEPS);

    return (double)XXH64(&x, sizeof(x), 0) / ((double)UINT64_MAX + 1);
}

static double
count_allowed_(const GwBudget *b, const GwBudgetBound *bound)
{
    return USABLE_SHARE * bound->ratio * count_requests_(b);
}

// The newest step is incomplete, so these are the requests of less than the
// horizon. The retries of all steps are those of more than it.
static unsigned
count_requests_(const GwBudget *b)
{
    return sum_(b->first_sends) -
           b->first_sends[(b->step + 1) % (GW_BUDGET_STEPS + 1)];
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
    GwTime length =
        MAX(bound->window / HORIZONS_PER_WINDOW / GW_BUDGET_STEPS, 1);
    int64_t step = now / length;

    if (step - b->step > GW_BUDGET_STEPS) {
        *b = (GwBudget){.step = step, .seed = b->seed};
        return;
    }
    while (b->step < step) {
        b->step++;
        b->first_sends[b->step % (GW_BUDGET_STEPS + 1)] = 0;
        b->retries[b->step % (GW_BUDGET_STEPS + 1)] = 0;
    }
}
