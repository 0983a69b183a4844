#include "request_load.h"

#include "choosing.h"

/* A change of the prompts that wait at an engine is told to its agent from
 * this size on, in tokens: 15 ms of reading. */
#define NOTE_TOKENS 1000

int64_t
GwRequestLoad_Memory(const GwRequest *r)
{
    return (int64_t)r->ask.prompt_tokens + r->ask.output_tokens;
}

void
GwRequestLoad_Add(GwRequest *r, int64_t tokens, int runs)
{
    GwInstance *instance = r->instance;
    int64_t change;

    instance->prefill_tokens += (uint64_t)tokens;
    if (GwAccount_Yields(r->account)) {
        instance->yielding_tokens += (uint64_t)tokens;
        instance->yielding_memory +=
            (uint64_t)((int64_t)runs * GwRequestLoad_Memory(r));
    }
    change = (int64_t)(instance->prefill_tokens - instance->noted_tokens);
    if (change == 0)
        change =
            (int64_t)(instance->yielding_tokens - instance->noted_yielding);
    if (runs != 0 && GwChoosing_IsLong(r))
        instance->long_runs += (unsigned)runs;
    else if (change == 0 ||
             (ABS(change) < NOTE_TOKENS && instance->prefill_tokens != 0))
        return;
    instance->noted_tokens = instance->prefill_tokens;
    instance->noted_yielding = instance->yielding_tokens;
    GwPeers_NoteLoad(r->gateway->peers, instance);
}
