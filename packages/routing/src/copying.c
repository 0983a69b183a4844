#include "galenagw/routing/copying.h"

#include <glib.h>

#include "galenagw/routing/engine_speed.h"

/* A copy between failure domains takes longer by this factor. */
#define OTHER_DOMAIN_FACTOR 2.0
/* Rate of links for which the configuration sets none, in tokens of about 160
 * KB: that of the slowest KV store of a known deployment. */
#define DEFAULT_LINK_TOKENS_PER_MS 160.0
/* Engines do not start copies that would have to wait for two seconds. The
 * limit is a little lower, because the estimates of links' load lack copies
 * that other entries have requested. */
#define LINK_WAIT_MAX_MS 1900.0
/* Probability that a KV store holds parts that it is not known to hold. In a
 * large fleet, a quarter to a third of the prompts whose parts had been
 * requested up to three seconds before were not known to be cached anywhere
 * although the parts had been saved. */
#define STORE_HIT_RATE 0.25
/* Time that an engine loses if it asks a KV store that holds nothing. */
#define STORE_MISS_MS 1.0

static double estimate_copy_ms_(const GwCopyTarget *t,
                                const GwCopySource *source);

GwCopyPlan
GwCopying_Plan(const GwCopyTarget *t, const GwCopySource *list, size_t n)
{
    double speed = GwCopying_PrefillSpeed(t->prefill_tokens_per_ms);
    uint32_t missing = t->shared_tokens - t->held_tokens;
    GwCopyPlan best = {.source_index = -1, .read_tokens = missing};
    double best_ms = t->wait_ms + missing / speed;

    for (size_t i = 0; i < n; i++) {
        const GwCopySource *source = &list[i];
        uint32_t remaining =
            t->shared_tokens - MIN(source->tokens, t->shared_tokens);
        double ms;
        double cost;

        if (source->address_hash == t->address_hash ||
            source->weights != t->weights || source->tokens <= t->held_tokens)
            continue;
        ms = estimate_copy_ms_(t, source);
        cost = MAX(t->wait_ms, ms) + remaining / speed;
        if (ms < 0 || cost >= best_ms)
            continue;
        best_ms = cost;
        best = (GwCopyPlan){(int)i, ms, remaining};
    }
    return best;
}

bool
GwCopying_ShouldTryStore(uint32_t read_tokens, uint32_t copied_tokens)
{
    return STORE_HIT_RATE * read_tokens >
           (1 - STORE_HIT_RATE) *
               (copied_tokens + STORE_MISS_MS * GW_PREFILL_TOKENS_PER_MS);
}

double
GwCopying_PrefillSpeed(double measured)
{
    return measured > 0 ? GW_PREFILL_TOKENS_PER_MS *
                              (measured / GW_NOMINAL_PREFILL_TOKENS_PER_MS)
                        : GW_PREFILL_TOKENS_PER_MS;
}

// Milliseconds until the copy is complete; negative if the engine would not
// start it.
static double
estimate_copy_ms_(const GwCopyTarget *t, const GwCopySource *source)
{
    GwTime start = MAX(MAX(t->busy_until, source->busy_until), t->now);
    double wait = (double)(start - t->now) / GW_MILLISECOND;
    double target_rate =
        t->tokens_per_ms > 0 ? t->tokens_per_ms : DEFAULT_LINK_TOKENS_PER_MS;
    double source_rate = source->tokens_per_ms > 0
                             ? source->tokens_per_ms
                             : DEFAULT_LINK_TOKENS_PER_MS;
    double ms =
        (source->tokens - t->held_tokens) / MIN(target_rate, source_rate);

    if (wait > LINK_WAIT_MAX_MS)
        return -1;
    return wait +
           (source->domain == t->domain ? ms : ms * OTHER_DOMAIN_FACTOR);
}
