#include "request_load.h"

#include "selection.h"

/* Least change of the prompt tokens waiting at an engine that is sent to its
 * agent, unless none are left; 1000 tokens take 15 ms of prefill. */
#define REPORT_TOKENS_MIN 1000

int64_t
GwRequestLoad_MemoryTokens(const GwRequest *r)
{
    return (int64_t)r->info.prompt_tokens + r->info.output_tokens;
}

void
GwRequestLoad_Add(GwRequest *r, int64_t tokens_delta, int requests_delta)
{
    GwInstance *instance = r->instance;
    int64_t change;

    instance->prefill_tokens += (uint64_t)tokens_delta;
    if (!GwSelection_IsDeferrable(r)) {
        instance->urgent_tokens += (uint64_t)tokens_delta;
        instance->urgent_sent += (uint64_t)MAX(tokens_delta, 0);
    }
    if (GwAccount_IsLowPriority(r->account)) {
        instance->low_priority_tokens += (uint64_t)tokens_delta;
        instance->yielding_memory += (uint64_t)((int64_t)requests_delta *
                                                GwRequestLoad_MemoryTokens(r));
    }
    change = (int64_t)(instance->prefill_tokens -
                       instance->reported_prefill_tokens);
    if (change == 0)
        change = (int64_t)(instance->low_priority_tokens -
                           instance->reported_low_priority_tokens);
    if (change == 0)
        change = (int64_t)(instance->urgent_tokens -
                           instance->reported_urgent_tokens);
    if (requests_delta != 0 && GwSelection_IsLongRunning(r))
        instance->long_runs += (unsigned)requests_delta;
    else if (change == 0 || (ABS(change) < REPORT_TOKENS_MIN &&
                             instance->prefill_tokens != 0))
        return;
    instance->reported_prefill_tokens = instance->prefill_tokens;
    instance->reported_low_priority_tokens = instance->low_priority_tokens;
    instance->reported_urgent_tokens = instance->urgent_tokens;
    GwPeers_SendLoad(r->gateway->peers, instance);
    instance->sample_tokens = instance->sample_us = 0;
}
