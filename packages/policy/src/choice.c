#include "galenagw/policy/choice.h"

#include <glib.h>

/* Cost of prefill that is assumed before the first sample. */
#define INITIAL_US_PER_TOKEN 50.0
#define INITIAL_BASE_US 500.0
/* Least weight of a new sample. */
#define SAMPLE_WEIGHT_MIN 0.1
/* A prefill of fewer missing tokens is a sample of the fixed cost. */
#define SMALL_PREFILL_TOKENS 64
/* A shorter wait is not worth the round trip for another offer. */
#define SHORT_WAIT_US (500)
/* Reported if no candidate answered. */
#define DEFAULT_RETRY_AFTER (250 * GW_MILLISECOND)

static double next_sample_weight_(int *samples);

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
           offer->own_only && offer->ttft - offer->prefill < SHORT_WAIT_US;
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
    cost->us_per_token = INITIAL_US_PER_TOKEN;
    cost->base_us = INITIAL_BASE_US;
    cost->samples = cost->base_samples = 0;
}

void
GwPrefillCost_AddSample(GwPrefillCost *cost, uint64_t tokens, GwTime duration)
{
    double us = (double)MAX(duration, 0);

    if (tokens < SMALL_PREFILL_TOKENS) {
        cost->base_us +=
            next_sample_weight_(&cost->base_samples) * (us - cost->base_us);
        return;
    }
    us = MAX(us - cost->base_us, 0) / (double)tokens;
    cost->us_per_token +=
        next_sample_weight_(&cost->samples) * (us - cost->us_per_token);
}

GwTime
GwPrefillCost_Estimate(const GwPrefillCost *cost, uint64_t tokens)
{
    return (GwTime)(cost->base_us + cost->us_per_token * (double)tokens);
}

// Weight of the next sample: 1, 1/2, 1/3 and so on down to the minimum. The
// first samples thus replace the initial values at once; otherwise a restarted
// agent would underestimate the cost of prefill in its offers for a minute.
static double
next_sample_weight_(int *samples)
{
    double weight = 1.0 / (*samples + 1);

    if (weight < SAMPLE_WEIGHT_MIN)
        return SAMPLE_WEIGHT_MIN;
    (*samples)++;
    return weight;
}
