#include "galenagw/routing/overload.h"

#include <glib.h>

#include "galenagw/routing/engine_speed.h"

/* Tokens that an engine prefills per millisecond for requests that can wait:
 * waiting tokens divided by the time to the first event. An idle engine is
 * specified with 66. Steps that also produce tokens, and prompts of urgent
 * requests that are scheduled first, reduce this to 45 under low load and to
 * 25 if the memory is nearly full. The rate is interpolated by the share of
 * memory in use. The lower value is a little less than 25, and applies to
 * memory that is far from full, because urgent prompts continue to arrive
 * while a request waits, and waiting requests hold memory, too. */
#define FAST_PREFILL_TOKENS_PER_MS 45.0
#define SLOW_PREFILL_TOKENS_PER_MS 22.0
#define LOW_MEMORY_SHARE 0.1
#define HIGH_MEMORY_SHARE 0.4
/* A long prompt may miss its target even on an idle engine. Such a request is
 * accepted as long as it spends at most this share of the target waiting. */
#define TARGET_WAIT_SHARE 0.5
/* Short prompts delay others little. They are accepted up to this multiple of
 * their target, with which most of them are answered late instead of not at
 * all. */
#define SHORT_PROMPT_TOKENS 4000
#define SHORT_PROMPT_TARGET_FACTOR 3.0
/* Time in which running requests complete and release all memory of an engine.
 * Requests run for three seconds and more if the engine also prefills all the
 * time. If memory is ignored, prompts are preempted and prefilled again, which
 * is a sixth of all prefill work under overload. */
#define MEMORY_RELEASE_TIME (3 * GW_SECOND)

static double relative_speed_(double prefill_tokens_per_ms);

GwTime
GwOverload_Defer(const GwOverloadFacts *f)
{
    double wait = (double)f->waiting_tokens /
                  GwOverload_PrefillTokensPerMs(f) * GW_MILLISECOND;
    double prefill = (double)f->own_tokens / GwOverload_PrefillTokensPerMs(f) *
                     GW_MILLISECOND;
    double target = (double)f->target_latency;
    double excess;

    if (!f->can_wait || f->target_latency == 0)
        return 0;
    if (f->own_tokens < SHORT_PROMPT_TOKENS)
        target *= SHORT_PROMPT_TARGET_FACTOR;
    if (f->share_excess > 1)
        target /= f->share_excess;
    if (f->waiting_tokens > 0)
        wait += (double)GwOverload_MemoryWait(f->kv_used, f->waiting_tokens,
                                              f->kv_needed, f->kv_total,
                                              GW_MEMORY_SHARE_MAX);
    if (wait + prefill <= target || wait <= target * TARGET_WAIT_SHARE)
        return 0;
    excess = wait - target * TARGET_WAIT_SHARE;
    // A client that cannot return in time should wait here instead.
    if ((double)f->left < excess + wait)
        return 0;
    return GwOverload_BoundRetryAfter(excess);
}

GwTime
GwOverload_MemoryWait(uint64_t used, uint64_t waiting, uint64_t needed,
                      uint32_t total, double share)
{
    double excess = (double)(used + waiting + needed) - share * (double)total;

    if (total == 0 || excess <= 0)
        return 0;
    return (GwTime)(excess / total * (double)MEMORY_RELEASE_TIME);
}

GwTime
GwOverload_SlowestPrefill(uint64_t tokens, double prefill_tokens_per_ms)
{
    return (GwTime)((double)tokens / SLOW_PREFILL_TOKENS_PER_MS /
                    relative_speed_(prefill_tokens_per_ms) * GW_MILLISECOND);
}

double
GwOverload_PrefillTokensPerMs(const GwOverloadFacts *f)
{
    double used = f->kv_total > 0 ? (double)f->kv_used / f->kv_total : 0;
    double fullness =
        (used - LOW_MEMORY_SHARE) / (HIGH_MEMORY_SHARE - LOW_MEMORY_SHARE);

    double speed = relative_speed_(f->prefill_tokens_per_ms);

    // Engines schedule the most urgent prompts before those that slow down
    // the others.
    if (!f->can_wait)
        return GW_NOMINAL_PREFILL_TOKENS_PER_MS * speed;
    return (FAST_PREFILL_TOKENS_PER_MS -
            CLAMP(fullness, 0, 1) *
                (FAST_PREFILL_TOKENS_PER_MS - SLOW_PREFILL_TOKENS_PER_MS)) *
           speed;
}

GwTime
GwOverload_BoundRetryAfter(double delay)
{
    return (GwTime)CLAMP(delay, GW_RETRY_AFTER_MIN, GW_RETRY_AFTER_MAX);
}

// Speed relative to an engine that the constants describe; 1 if not measured.
static double
relative_speed_(double prefill_tokens_per_ms)
{
    return prefill_tokens_per_ms > 0
               ? prefill_tokens_per_ms / GW_NOMINAL_PREFILL_TOKENS_PER_MS
               : 1;
}
