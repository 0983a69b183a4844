#include "galenagw/policy/choice.h"

#include <glib.h>

#define FIRST_US_PER_TOKEN 50.0
#define FIRST_BASE_US 500.0
#define LEARN_SHARE 0.1
/* Below this many missing tokens a sample tells of the fixed part. */
#define SMALL_PREFILL 64
/* A wait that is not worth another round trip. */
#define SHORT_WAIT (500)
#define DEFAULT_RETRY_AFTER (250 * GW_MILLISECOND)

static double share_(int *samples);

int
GwChoice_Best(const GwOffer *offers, size_t n, double recompute_weight)
{
    int best = -1;
    double best_cost = 0;

    for (size_t i = 0; i < n; i++) {
        const GwOffer *o = &offers[i];
        double cost;

        if (!o->answered || o->refusal != GW_REFUSAL_NONE)
            continue;
        cost =
            (double)(o->ttft + o->rtt) + recompute_weight * (double)o->prefill;
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}

bool
GwChoice_IsGoodEnough(const GwOffer *offer)
{
    return offer->answered && offer->refusal == GW_REFUSAL_NONE &&
           offer->own_only && offer->ttft - offer->prefill < SHORT_WAIT;
}

GwRefusal
GwChoice_Refusal(const GwOffer *offers, size_t n, GwTime *retry_after)
{
    GwRefusal refusal = GW_REFUSAL_NO_ENDPOINT;
    GwTime least = GW_NEVER;

    for (size_t i = 0; i < n; i++) {
        if (!offers[i].answered || offers[i].refusal == GW_REFUSAL_NONE)
            continue;
        if (offers[i].retry_after >= least)
            continue;
        refusal = offers[i].refusal;
        least = offers[i].retry_after;
    }
    *retry_after = least == GW_NEVER ? DEFAULT_RETRY_AFTER : least;
    return refusal;
}

void
GwPrefillCost_Init(GwPrefillCost *cost)
{
    cost->us_per_token = FIRST_US_PER_TOKEN;
    cost->base_us = FIRST_BASE_US;
    cost->samples = cost->base_samples = 0;
}

void
GwPrefillCost_Learn(GwPrefillCost *cost, uint64_t tokens, GwTime took)
{
    double us = (double)MAX(took, 0);

    if (tokens < SMALL_PREFILL) {
        cost->base_us += share_(&cost->base_samples) * (us - cost->base_us);
        return;
    }
    us = MAX(us - cost->base_us, 0) / (double)tokens;
    cost->us_per_token += share_(&cost->samples) * (us - cost->us_per_token);
}

GwTime
GwPrefillCost_Estimate(const GwPrefillCost *cost, uint64_t tokens)
{
    return (GwTime)(cost->base_us + cost->us_per_token * (double)tokens);
}

// The first samples replace the guess at once: an agent that has just started
// must not promise for a minute what its engine cannot do.
static double
share_(int *samples)
{
    double share = 1.0 / (*samples + 1);

    if (share < LEARN_SHARE)
        return LEARN_SHARE;
    (*samples)++;
    return share;
}
