#include "request_speed.h"

#include "selection.h"

/* Share of an engine's KV memory up to which the time to the first token shows
 * its speed. Beyond it, requests wait for memory or are preempted. */
#define SAMPLE_MEMORY_SHARE 0.9

static bool is_prefill_sample_(const GwRequest *r);
static void log_speed_(GwRequest *r, GwTime now);

void
GwRequestSpeed_FirstByte(GwRequest *r)
{
    GwInstance *instance = r->instance;
    GwTime now = GwTime_Now();
    GwSpeedSample sample = {
        .tokens = r->prefill_tokens,
        .running = r->chosen.in_flight,
        .elapsed = now - r->sent_at,
    };

    if (!is_prefill_sample_(r)) {
        GwEngineSpeed_NoteFirstByte(&instance->speed, now);
        return;
    }
    GwEngineSpeed_AddFirstByte(&instance->speed, &sample, now);
    // Sent to the agent with the next load of this process there.
    instance->sample_tokens += sample.tokens;
    instance->sample_us += (uint64_t)MAX(sample.elapsed, 0);
    log_speed_(r, now);
}

// Service times of streams depend on their length, not on the endpoint.
void
GwRequestSpeed_Completed(GwRequest *r)
{
    GwTime now = GwTime_Now();

    if (r->instance == NULL || r->instance->model != NULL || r->is_events ||
        r->reply.status < 200 || r->reply.status >= 300)
        return;
    GwEngineSpeed_AddServiceTime(&r->instance->speed, now - r->sent_at, now);
}

// Whether the time to the first byte shows how fast the engine prefills. It
// does not if the engine copied KV cache, was full or about to load weights,
// or if it may have prefilled requests first that arrived later.
static bool
is_prefill_sample_(const GwRequest *r)
{
    const GwInstance *instance = r->instance;
    const GwAgentReport *report = &instance->agent_report;
    const GwCandidate *c = &r->chosen;
    uint64_t memory = (uint64_t)c->kv_used + c->prefill_tokens +
                      r->info.prompt_tokens + r->info.output_tokens;

    // An answer that is not a stream begins when all its tokens are produced.
    if (instance->model == NULL || !r->is_events || c->copy_ms > 0 ||
        r->reply.status != 200)
        return false;
    if (report->preparing || report->switching || report->down ||
        c->in_flight >= c->slots ||
        (c->kv_total > 0 &&
         (double)memory > SAMPLE_MEMORY_SHARE * (double)c->kv_total))
        return false;
    // Where no urgent request was sent, others are prefilled in their order.
    return !GwSelection_IsDeferrable(r) ||
           (!GwAccount_IsLowPriority(r->account) &&
            instance->urgent_sent == 0 && report->others_urgent == 0);
}

// Logs the estimate of this process if its agent reports none.
static void
log_speed_(GwRequest *r, GwTime now)
{
    GwEventLog *log = r->gateway->log;
    GwInstance *instance = r->instance;
    double speed = GwEngineSpeed_TokensPerMs(&instance->speed, now);

    if (instance->agent_report.prefill_tokens_per_ms > 0 ||
        !GwEngineSpeed_ShouldLog(&instance->speed, speed, now))
        return;
    GwEvent_Begin(log, "engine_speed", NULL);
    GwEvent_Text(log, "instance", instance->id);
    GwEvent_Real(log, "prefill_tokens_per_ms", speed);
    GwEvent_Text(log, "learned_from", "own");
    GwEvent_End(log);
}
