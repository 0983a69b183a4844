#define GW_LOG_PART "agent"
#include "job.h"

#include <string.h>

#include "answer.h"
#include "drain.h"
#include "ends.h"
#include "galenagw/base/log.h"
#include "galenagw/policy/chain.h"
#include "job_private.h"
#include "keyed.h"
#include "offers.h"

/* A trial is set aside this often, then refused. */
#define MAX_SET_ASIDE 1
#define FENCE_TIME (120 * GW_SECOND)
#define SWEEP_PERIOD GW_SECOND
#define KEY_SWEEP_PERIOD (5 * GW_SECOND)

/* Attempts of a request, up to this one, that must not start any more. */
typedef struct {
    uint64_t id;
    uint32_t attempt;
    GwTime until;
    GwRan ran;
} Fence;

static Job *new_(GwAgent *agent, GwSession *session,
                 const Gw__Wire__Submit *s);
static void remove_(Job *job);
static void delete_(Job *job);
static bool check_fence_(GwAgent *agent, GwSession *session,
                         const Gw__Wire__Submit *s);
static void fence_(GwAgent *agent, uint64_t id, uint32_t attempt, GwRan ran);
static GwRefusal check_(GwAgent *agent, const Gw__Wire__Submit *s);
static void send_refused_(GwAgent *agent, GwSession *session, uint64_t id,
                          uint32_t attempt, GwRefusal refusal, GwRan ran,
                          GwTime retry_after, const char *holder);
static void refuse_(Job *job, GwRefusal refusal, GwRan ran,
                    const char *holder);
static void enter_(Job *job);
static void finish_(Job *job, const GwEndpointResult *result);
static void expire_(Job *job);
static void start_(Job *job);
static void on_head_(void *user, int status, const char *type);
static void on_chunk_(void *user, const char *data, size_t len);
static void on_done_(void *user, const GwEndpointResult *result);
static void first_output_(Job *job);
static void learn_hits_(Job *job, const GwEndpointResult *result);
static gboolean fence_is_old_(gpointer key, gpointer value, gpointer user);
static bool abandoned_(const Job *job, GwTime now);

static const GwEndpointCallOps call_ops = {on_head_, on_chunk_, on_done_};
static const KeyedOps keyed_ops = {enter_, refuse_, finish_};

void
Jobs_Submit(GwAgent *agent, GwSession *session, const Gw__Wire__Submit *s)
{
    Job *job = g_hash_table_lookup(agent->jobs, &s->request_id);
    GwRefusal refusal;
    GwTime quarantined;

    GwCounters_Add(&agent->counters, GW_COUNTER_REQUESTS, 1);
    Offers_TakeUp(agent, s->probe_id);
    if (job != NULL) {
        // The same request again, on another connection: never a second run.
        Answer_Attach(job, session, s->attempt, job->base);
        return;
    }
    if (!check_fence_(agent, session, s))
        return;
    quarantined = Ends_Left(agent, s);
    if (quarantined > 0) {
        send_refused_(agent, session, s->request_id, s->attempt,
                      GW_REFUSAL_QUARANTINED, GW_RAN_NO, quarantined, NULL);
        return;
    }
    refusal = check_(agent, s);
    if (refusal != GW_REFUSAL_NONE) {
        send_refused_(agent, session, s->request_id, s->attempt, refusal,
                      GW_RAN_NO, 0, NULL);
        return;
    }
    job = new_(agent, session, s);
    if (job->key != NULL)
        Keyed_Claim(job, &keyed_ops);
    else
        enter_(job);
}

void
Jobs_Ack(GwAgent *agent, const Gw__Wire__Ack *ack)
{
    Job *job = g_hash_table_lookup(agent->jobs, &ack->request_id);

    // An acknowledgement of an older attempt says nothing of this one.
    if (job == NULL || ack->attempt != job->attempt)
        return;
    Answer_Acknowledge(job, ack->next_seq);
    if (job->state == JOB_FINISHED && job->final_sent &&
        ack->next_seq >= job->count) {
        fence_(agent, job->id, job->attempt, GW_RAN_UNKNOWN);
        remove_(job);
        return;
    }
    Answer_Flush(job);
}

void
Jobs_Cancel(GwAgent *agent, const Gw__Wire__Cancel *cancel)
{
    Job *job = g_hash_table_lookup(agent->jobs, &cancel->request_id);

    if (job == NULL || cancel->attempt != job->attempt)
        return;
    // A call that may not be repeated is not cut while it runs: its caller
    // may come back for the answer with the same key.
    if (!job->idempotent && job->state == JOB_RUNNING) {
        job->session = NULL;
        job->detached_at = GwTime_Now();
        return;
    }
    fence_(agent, job->id, job->attempt, GW_RAN_UNKNOWN);
    remove_(job);
    Jobs_Pump(agent);
}

void
Jobs_Resume(GwAgent *agent, GwSession *session, const Gw__Wire__Resume *r)
{
    Job *job = g_hash_table_lookup(agent->jobs, &r->request_id);
    GW_FRAME(frame, result, RESUME_RESULT, ResumeResult, resume_result);

    result.request_id = r->request_id;
    result.attempt = r->attempt;
    result.known = job != NULL;
    // Step "fence": a Submit still under way on the old connection must
    // find its id closed, or the request would run here and elsewhere.
    if (job == NULL)
        fence_(agent, r->request_id, r->attempt, GW_RAN_NO);
    GwSession_Send(session, &frame);
    if (job != NULL)
        Answer_Attach(job, session, r->attempt, r->next_seq);
}

void
Jobs_Detach(GwAgent *agent, GwSession *session)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, agent->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Job *job = value;

        if (job->session != session)
            continue;
        job->session = NULL;
        job->detached_at = GwTime_Now();
    }
}

void
Jobs_Pump(GwAgent *agent)
{
    GwTime now = GwTime_Now();
    GwTicket *t;

    if (agent->held || !agent->endpoint_up)
        return;
    while ((t = GwAdmission_Next(agent->admission, now)) != NULL)
        start_((Job *)t);
    while ((t = GwAdmission_Preempt(agent->admission, now)) != NULL) {
        Job *job = (Job *)t;

        GwCounters_Add(&agent->counters, GW_COUNTER_TRIALS_PREEMPTED, 1);
        agent->endpoint.ops->cancel(agent->endpoint.impl, job->call);
        job->call = NULL;
        job->state = JOB_QUEUED;
        // Over and over it would only burn the engine's time.
        if (++job->set_aside > MAX_SET_ASIDE)
            refuse_(job, GW_REFUSAL_TRIAL_ROOM, GW_RAN_UNKNOWN, NULL);
        while ((t = GwAdmission_Next(agent->admission, now)) != NULL)
            start_((Job *)t);
    }
}

void
Jobs_Tick(GwAgent *agent, GwTime now)
{
    GHashTableIter it;
    gpointer value;
    GwTicket *t;
    g_autoptr(GPtrArray) old = NULL;

    while ((t = GwAdmission_ExpireQueued(agent->admission, now)) != NULL)
        expire_((Job *)t);
    if (now < agent->next_sweep)
        return;
    agent->next_sweep = now + SWEEP_PERIOD;
    g_hash_table_foreach_remove(agent->fences, fence_is_old_, &now);
    if (agent->claims != NULL && now >= agent->next_key_sweep) {
        agent->next_key_sweep = now + KEY_SWEEP_PERIOD;
        Keyed_Sweep(agent, now);
    }
    old = g_ptr_array_new();
    g_hash_table_iter_init(&it, agent->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (abandoned_(value, now))
            g_ptr_array_add(old, value);
    }
    for (guint i = 0; i < old->len; i++) {
        Job *job = old->pdata[i];

        fence_(agent, job->id, job->attempt, GW_RAN_UNKNOWN);
        remove_(job);
    }
    if (old->len > 0)
        Jobs_Pump(agent);
}

void
Jobs_Clear(GwAgent *agent)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, agent->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Job *job = value;

        if (job->call != NULL)
            agent->endpoint.ops->cancel(agent->endpoint.impl, job->call);
        g_hash_table_iter_remove(&it);
        delete_(job);
    }
}

static Job *
new_(GwAgent *agent, GwSession *session, const Gw__Wire__Submit *s)
{
    Job *job = g_new0(Job, 1);

    job->agent = agent;
    job->id = s->request_id;
    job->attempt = s->attempt;
    job->session = session;
    job->account = g_strdup(s->account);
    job->method = g_strdup(s->method);
    job->path = g_strdup(s->path);
    job->content_type = g_strdup(s->content_type);
    job->key = s->key[0] != '\0' ? g_strdup(s->key) : NULL;
    job->weights = g_strdup(s->weights);
    job->body = g_bytes_new(s->body.data, s->body.len);
    job->idempotent = s->idempotent;
    job->stream = s->stream;
    job->chain_len = MIN(s->n_chain, s->n_chunk_bytes);
    job->chain = g_memdup2(s->chain, job->chain_len * sizeof(uint64_t));
    job->chunk_bytes =
        g_memdup2(s->chunk_bytes, job->chain_len * sizeof(uint32_t));
    job->ticket.trial = s->trial;
    job->ticket.urgency = (int)s->urgency;
    job->ticket.deadline = s->budget_ms > 0
                               ? GwTime_Now() + s->budget_ms * GW_MILLISECOND
                               : GW_NEVER;
    job->chunks =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    XXH64_reset(&job->digest, 0);
    g_hash_table_insert(agent->jobs, &job->id, job);
    return job;
}

static void
remove_(Job *job)
{
    GwAgent *agent = job->agent;

    if (job->call != NULL) {
        agent->endpoint.ops->cancel(agent->endpoint.impl, job->call);
        job->call = NULL;
    }
    if (job->state == JOB_CLAIMING)
        Claims_Forget(agent->claims, job);
    Keyed_Leave(job);
    GwAdmission_Leave(agent->admission, &job->ticket, GwTime_Now());
    g_hash_table_remove(agent->jobs, &job->id);
    delete_(job);
    AgentDrain_Check(agent);
}

static void
delete_(Job *job)
{
    g_free(job->account);
    g_free(job->method);
    g_free(job->path);
    g_free(job->content_type);
    g_free(job->key);
    g_free(job->weights);
    g_free(job->answer_type);
    g_bytes_unref(job->body);
    g_free(job->chain);
    g_free(job->chunk_bytes);
    g_ptr_array_unref(job->chunks);
    g_free(job);
}

static bool
check_fence_(GwAgent *agent, GwSession *session, const Gw__Wire__Submit *s)
{
    const Fence *f = g_hash_table_lookup(agent->fences, &s->request_id);

    if (f == NULL || s->attempt > f->attempt)
        return true;
    send_refused_(agent, session, s->request_id, s->attempt, GW_REFUSAL_FENCED,
                  f->ran, 0, NULL);
    return false;
}

static void
fence_(GwAgent *agent, uint64_t id, uint32_t attempt, GwRan ran)
{
    Fence *f = g_new0(Fence, 1);

    f->id = id;
    f->attempt = attempt;
    f->until = GwTime_Now() + FENCE_TIME;
    f->ran = ran;
    g_hash_table_replace(agent->fences, &f->id, f);
}

static GwRefusal
check_(GwAgent *agent, const Gw__Wire__Submit *s)
{
    size_t resident;

    if (agent->draining)
        return GW_REFUSAL_LEAVING;
    if (!agent->endpoint_up)
        return GW_REFUSAL_NO_ENDPOINT;
    if (agent->endpoint_loading || agent->held)
        return GW_REFUSAL_WRONG_VERSION;
    if (!s->trial)
        return GW_REFUSAL_NONE;
    resident = Offers_Resident(agent, s->weights, s->chain, s->n_chain);
    return Offers_TrialCacheFull(agent, s->n_chain - resident)
               ? GW_REFUSAL_TRIAL_ROOM
               : GW_REFUSAL_NONE;
}

static void
send_refused_(GwAgent *agent, GwSession *session, uint64_t id,
              uint32_t attempt, GwRefusal refusal, GwRan ran,
              GwTime retry_after, const char *holder)
{
    GW_FRAME(frame, refused, REFUSED, Refused, refused);

    GwCounters_Refuse(&agent->counters, refusal);
    if (session == NULL)
        return;
    refused.request_id = id;
    refused.attempt = attempt;
    refused.refusal = refusal;
    refused.ran = (Gw__Wire__Ran)ran;
    refused.retry_after_ms = (uint32_t)(retry_after / GW_MILLISECOND);
    refused.holder = (char *)(holder != NULL ? holder : "");
    GwSession_Send(session, &frame);
}

// The refusal ends the job. Should it be lost on the way, a resume finds no
// job and the entry learns the same: not run, and fenced.
static void
refuse_(Job *job, GwRefusal refusal, GwRan ran, const char *holder)
{
    GwEstimate e = GwAdmission_Estimate(job->agent->admission, &job->ticket,
                                        GwTime_Now());

    send_refused_(job->agent, job->session, job->id, job->attempt, refusal,
                  ran, e.retry_after, holder);
    fence_(job->agent, job->id, job->attempt, ran);
    remove_(job);
}

static void
enter_(Job *job)
{
    GwAgent *agent = job->agent;
    size_t resident =
        Offers_Resident(agent, job->weights, job->chain, job->chain_len);
    GwRefusal refusal;

    job->missing = job->chain_len - resident;
    job->leading =
        GwCacheView_Leading(agent->view, job->chain, job->chain_len);
    job->ticket.prefill =
        Offers_Prefill(agent, job->chunk_bytes, resident, job->chain_len);
    refusal = GwAdmission_Enter(agent->admission, &job->ticket, GwTime_Now());
    if (refusal != GW_REFUSAL_NONE) {
        refuse_(job, refusal, GW_RAN_NO, NULL);
        return;
    }
    job->state = JOB_QUEUED;
    // A trial may be set aside before the engine has its blocks: it counts
    // from its first output on.
    if (!job->ticket.trial)
        GwCacheView_Insert(agent->view, job->chain, job->chain_len, false);
    Jobs_Pump(agent);
}

// A trial that was set aside had begun: "not run" would not be true of it.
static void
expire_(Job *job)
{
    refuse_(job, GW_REFUSAL_DEADLINE,
            job->started > 0 ? GW_RAN_UNKNOWN : GW_RAN_NO, NULL);
}

static void
start_(Job *job)
{
    GwAgent *agent = job->agent;
    gsize body_len;
    const char *body = g_bytes_get_data(job->body, &body_len);
    g_autofree char *salt = g_strdup_printf(
        "%s/%s", job->account, agent->weights != NULL ? agent->weights : "");
    GwEndpointRequest request = {
        .method = job->method,
        .path = job->path,
        .content_type = job->content_type,
        .body = body,
        .body_len = body_len,
        .key = job->key,
        .stream = job->stream,
        // Ten urgencies; every trial comes after all of them.
        .priority = job->ticket.urgency + (job->ticket.trial ? 10 : 0),
        .cache_salt = salt,
        .chain = job->chain,
        .chunk_bytes = job->chunk_bytes,
        .chain_len = job->chain_len,
    };

    job->state = JOB_RUNNING;
    job->started = GwTime_Now();
    if (job->key_state != NULL)
        job->key_state->ran = true;
    GwHistogram_Record(&agent->counters.histograms[GW_HISTOGRAM_QUEUE_WAIT],
                       (uint64_t)(job->started - job->ticket.since));
    GwCounters_Add(&agent->counters, GW_COUNTER_ATTEMPTS, 1);
    job->call = agent->endpoint.ops->start(agent->endpoint.impl, &request,
                                           &call_ops, job);
}

static void
on_head_(void *user, int status, const char *type)
{
    Job *job = user;

    Answer_AddHead(job, status, type);
    Answer_Flush(job);
}

static void
on_chunk_(void *user, const char *data, size_t len)
{
    Job *job = user;
    GBytes *bytes = g_bytes_new(data, len);

    if (!job->has_output)
        first_output_(job);
    Answer_AddChunk(job, bytes);
    Keyed_AddChunk(job, bytes);
    g_bytes_unref(bytes);
    Answer_Flush(job);
}

static void
on_done_(void *user, const GwEndpointResult *result)
{
    Job *job = user;
    GwAgent *agent = job->agent;
    KeyState *ks = job->key_state;

    job->call = NULL;
    GwAdmission_Leave(agent->admission, &job->ticket, GwTime_Now());
    learn_hits_(job, result);
    if (result->end == GW_CALL_BROKEN)
        Ends_Broke(job);
    else if (result->end == GW_CALL_COMPLETE)
        Ends_Answered(job);
    if (result->end == GW_CALL_NOT_RUN && job->count == 0) {
        // Proven not run, so the key may be tried again.
        if (ks != NULL)
            ks->ran = false;
        refuse_(job, GW_REFUSAL_ENDPOINT_FAILED, GW_RAN_NO, NULL);
    }
    else if (result->end != GW_CALL_COMPLETE && job->count == 0) {
        refuse_(job,
                job->idempotent ? GW_REFUSAL_ENDPOINT_FAILED
                                : GW_REFUSAL_OUTCOME_UNKNOWN,
                GW_RAN_UNKNOWN, NULL);
    }
    else {
        finish_(job, result);
    }
    Jobs_Pump(agent);
}

static void
first_output_(Job *job)
{
    GwAgent *agent = job->agent;
    GwTime now = GwTime_Now();
    GwTime begun = MAX(job->started, agent->last_prefill_end);
    size_t resident = job->chain_len - job->missing;

    job->has_output = true;
    // Prefills at one engine follow each other: the time since the last one
    // ended is this one's own.
    GwPrefillCost_Learn(
        &agent->cost,
        GwChain_Tokens(job->chunk_bytes, resident, job->chain_len),
        now - begun);
    if (job->ticket.trial)
        GwCacheView_Insert(agent->view, job->chain, job->chain_len, true);
    agent->last_prefill_end = now;
    GwAdmission_Output(agent->admission, &job->ticket, now);
}

// What the engine says it reused tells how far the view can be trusted.
static void
learn_hits_(Job *job, const GwEndpointResult *result)
{
    uint64_t tokens = 0;
    size_t hit = 0;

    if (result->prompt_tokens == 0)
        return;
    while (hit < job->leading) {
        tokens += GwChain_Tokens(job->chunk_bytes, hit, hit + 1);
        if (tokens > result->cached_tokens)
            break;
        hit++;
    }
    GwCacheView_Learn(job->agent->view, job->leading, hit);
}

static void
finish_(Job *job, const GwEndpointResult *result)
{
    job->state = JOB_FINISHED;
    job->result = *result;
    if (job->session == NULL && job->detached_at == 0)
        job->detached_at = GwTime_Now();
    Keyed_Finish(job, result->end == GW_CALL_COMPLETE);
    GwCounters_Add(&job->agent->counters, GW_COUNTER_ANSWERS, 1);
    GwCounters_Add(&job->agent->counters, GW_COUNTER_PROMPT_TOKENS,
                   result->prompt_tokens);
    GwCounters_Add(&job->agent->counters, GW_COUNTER_CACHED_TOKENS,
                   result->cached_tokens);
    Answer_Flush(job);
}

static gboolean
fence_is_old_(gpointer key, gpointer value, gpointer user)
{
    return ((const Fence *)value)->until < *(const GwTime *)user;
}

// Its entry is gone for good. What may not be repeated runs to its end.
static bool
abandoned_(const Job *job, GwTime now)
{
    if (job->session != NULL ||
        now - job->detached_at < job->agent->options.detach_time)
        return false;
    return job->idempotent || job->state != JOB_RUNNING;
}
