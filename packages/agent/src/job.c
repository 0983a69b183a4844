#define GW_LOG_PART "agent"
#include "job.h"

#include <string.h>

#include "answer.h"
#include "drain.h"
#include "agent_quarantine.h"
#include "galenagw/base/log.h"
#include "galenagw/policy/chain.h"
#include "job_private.h"
#include "keyed.h"
#include "offers.h"

/* A trial that is preempted more often is refused: each further run
 * would only take engine time. */
#define MAX_PREEMPTIONS 1
/* How long a fence is stored. */
#define FENCE_LIFETIME (120 * GW_SECOND)
/* Interval of the search for abandoned jobs and expired fences. */
#define SWEEP_PERIOD GW_SECOND
/* Interval of the search for expired claims and their key states. */
#define KEY_SWEEP_PERIOD (5 * GW_SECOND)

/* Attempts of a request up to `attempt` must not start any more. */
typedef struct {
    uint64_t id;
    uint32_t attempt;
    GwTime expires_at;
    GwRan ran; /* whether the request may have run, for the refusal */
} Fence;

static Job *create_job_(GwAgent *agent, GwSession *session,
                        const Gw__Wire__Submit *s);
static void remove_job_(Job *job);
static void delete_job_(Job *job);
static bool passes_fence_(GwAgent *agent, GwSession *session,
                          const Gw__Wire__Submit *s);
static void add_fence_(GwAgent *agent, uint64_t id, uint32_t attempt,
                       GwRan ran);
static GwRefusal submit_refusal_(GwAgent *agent, const Gw__Wire__Submit *s);
static void send_refusal_(GwAgent *agent, GwSession *session, uint64_t id,
                          uint32_t attempt, GwRefusal refusal, GwRan ran,
                          GwTime retry_after, const char *holder);
static void refuse_job_(Job *job, GwRefusal refusal, GwRan ran,
                        const char *holder);
static void enqueue_job_(Job *job);
static void finish_job_(Job *job, const GwEndpointResult *result);
static void refuse_expired_job_(Job *job);
static void start_job_(Job *job);
static void on_head_(void *user, int status, const char *type);
static void on_chunk_(void *user, const char *data, size_t len);
static void on_done_(void *user, const GwEndpointResult *result);
static void record_first_output_(Job *job);
static void record_cache_hits_(Job *job, const GwEndpointResult *result);
static gboolean is_fence_expired_(gpointer key, gpointer value, gpointer user);
static bool is_abandoned_(const Job *job, GwTime now);

static const GwEndpointCallOps call_ops = {on_head_, on_chunk_, on_done_};
static const KeyedOps keyed_ops = {enqueue_job_, refuse_job_, finish_job_};

void
Jobs_Submit(GwAgent *agent, GwSession *session, const Gw__Wire__Submit *s)
{
    Job *job = g_hash_table_lookup(agent->jobs, &s->request_id);
    GwRefusal refusal;
    GwTime quarantined;

    GwCounters_Add(&agent->counters, GW_COUNTER_REQUESTS, 1);
    Offers_ReleaseReservation(agent, s->probe_id);
    if (job != NULL) {
        // The same request was submitted on another connection. Attach that
        // session to the job instead of running the request a second time.
        Answer_Attach(job, session, s->attempt, job->first_seq);
        return;
    }
    if (!passes_fence_(agent, session, s))
        return;
    quarantined = AgentQuarantine_TimeLeft(agent, s);
    if (quarantined > 0) {
        send_refusal_(agent, session, s->request_id, s->attempt,
                      GW_REFUSAL_QUARANTINED, GW_RAN_NO, quarantined, NULL);
        return;
    }
    refusal = submit_refusal_(agent, s);
    if (refusal != GW_REFUSAL_NONE) {
        send_refusal_(agent, session, s->request_id, s->attempt, refusal,
                      GW_RAN_NO, 0, NULL);
        return;
    }
    job = create_job_(agent, session, s);
    if (job->key != NULL)
        Keyed_StartClaim(job, &keyed_ops);
    else
        enqueue_job_(job);
}

void
Jobs_Ack(GwAgent *agent, const Gw__Wire__Ack *ack)
{
    Job *job = g_hash_table_lookup(agent->jobs, &ack->request_id);

    // An acknowledgement of an earlier attempt does not apply to this one.
    if (job == NULL || ack->attempt != job->attempt)
        return;
    Answer_Acknowledge(job, ack->next_seq);
    if (job->state == JOB_FINISHED && job->final_sent &&
        ack->next_seq >= job->chunk_count) {
        add_fence_(agent, job->id, job->attempt, GW_RAN_UNKNOWN);
        remove_job_(job);
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
    // A request that may not run twice is not cancelled while it runs: its
    // caller may retry with the same key to get the answer.
    if (!job->idempotent && job->state == JOB_RUNNING) {
        job->session = NULL;
        job->detached_at = GwTime_Now();
        return;
    }
    add_fence_(agent, job->id, job->attempt, GW_RAN_UNKNOWN);
    remove_job_(job);
    Jobs_StartQueued(agent);
}

void
Jobs_Resume(GwAgent *agent, GwSession *session, const Gw__Wire__Resume *r)
{
    Job *job = g_hash_table_lookup(agent->jobs, &r->request_id);
    GW_FRAME(frame, result, RESUME_RESULT, ResumeResult, resume_result);

    result.request_id = r->request_id;
    result.attempt = r->attempt;
    result.known = job != NULL;
    // Step "fence": the entry will send the request to another agent. If a
    // Submit that is in transit on the old connection were accepted, the
    // request would run on both.
    if (job == NULL)
        add_fence_(agent, r->request_id, r->attempt, GW_RAN_NO);
    GwSession_Send(session, &frame);
    if (job == NULL)
        return;
    // The Acks of the chunks before that may have been lost with the session,
    // and the entry does not repeat them.
    if (r->attempt == job->attempt)
        Answer_Acknowledge(job, MIN(r->next_seq, job->next_send_seq));
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
Jobs_StartQueued(GwAgent *agent)
{
    GwTime now = GwTime_Now();
    GwTicket *t;

    if (agent->is_work_paused || !agent->endpoint_up)
        return;
    while ((t = GwAdmission_Next(agent->admission, now)) != NULL)
        start_job_((Job *)t);
    while ((t = GwAdmission_Preempt(agent->admission, now)) != NULL) {
        Job *job = (Job *)t;

        GwCounters_Add(&agent->counters, GW_COUNTER_TRIALS_PREEMPTED, 1);
        agent->endpoint.ops->cancel(agent->endpoint.impl, job->call);
        job->call = NULL;
        job->state = JOB_QUEUED;
        if (++job->preemptions > MAX_PREEMPTIONS)
            refuse_job_(job, GW_REFUSAL_TRIAL_ROOM, GW_RAN_UNKNOWN, NULL);
        while ((t = GwAdmission_Next(agent->admission, now)) != NULL)
            start_job_((Job *)t);
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
        refuse_expired_job_((Job *)t);
    if (now < agent->next_sweep_at)
        return;
    agent->next_sweep_at = now + SWEEP_PERIOD;
    g_hash_table_foreach_remove(agent->fences, is_fence_expired_, &now);
    if (agent->claims != NULL && now >= agent->next_key_sweep_at) {
        agent->next_key_sweep_at = now + KEY_SWEEP_PERIOD;
        Keyed_Sweep(agent, now);
    }
    old = g_ptr_array_new();
    g_hash_table_iter_init(&it, agent->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (is_abandoned_(value, now))
            g_ptr_array_add(old, value);
    }
    for (guint i = 0; i < old->len; i++) {
        Job *job = old->pdata[i];

        add_fence_(agent, job->id, job->attempt, GW_RAN_UNKNOWN);
        remove_job_(job);
    }
    if (old->len > 0)
        Jobs_StartQueued(agent);
}

void
Jobs_DeleteAll(GwAgent *agent)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, agent->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Job *job = value;

        if (job->call != NULL)
            agent->endpoint.ops->cancel(agent->endpoint.impl, job->call);
        g_hash_table_iter_remove(&it);
        delete_job_(job);
    }
}

static Job *
create_job_(GwAgent *agent, GwSession *session, const Gw__Wire__Submit *s)
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
    job->chain_weights = g_strdup(s->weights);
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
    XXH64_reset(&job->answer_digest, 0);
    g_hash_table_insert(agent->jobs, &job->id, job);
    return job;
}

static void
remove_job_(Job *job)
{
    GwAgent *agent = job->agent;

    if (job->call != NULL) {
        agent->endpoint.ops->cancel(agent->endpoint.impl, job->call);
        job->call = NULL;
    }
    if (job->state == JOB_CLAIMING)
        Claims_CancelRequest(agent->claims, job);
    Keyed_EndRun(job);
    GwAdmission_Leave(agent->admission, &job->ticket, GwTime_Now());
    g_hash_table_remove(agent->jobs, &job->id);
    delete_job_(job);
    AgentDrain_CheckFinished(agent);
}

static void
delete_job_(Job *job)
{
    g_free(job->account);
    g_free(job->method);
    g_free(job->path);
    g_free(job->content_type);
    g_free(job->key);
    g_free(job->chain_weights);
    g_free(job->answer_type);
    g_bytes_unref(job->body);
    g_free(job->chain);
    g_free(job->chunk_bytes);
    g_ptr_array_unref(job->chunks);
    g_free(job);
}

static bool
passes_fence_(GwAgent *agent, GwSession *session, const Gw__Wire__Submit *s)
{
    const Fence *f = g_hash_table_lookup(agent->fences, &s->request_id);

    if (f == NULL || s->attempt > f->attempt)
        return true;
    send_refusal_(agent, session, s->request_id, s->attempt, GW_REFUSAL_FENCED,
                  f->ran, 0, NULL);
    return false;
}

static void
add_fence_(GwAgent *agent, uint64_t id, uint32_t attempt, GwRan ran)
{
    Fence *f = g_new0(Fence, 1);

    f->id = id;
    f->attempt = attempt;
    f->expires_at = GwTime_Now() + FENCE_LIFETIME;
    f->ran = ran;
    g_hash_table_replace(agent->fences, &f->id, f);
}

static GwRefusal
submit_refusal_(GwAgent *agent, const Gw__Wire__Submit *s)
{
    size_t resident;

    if (agent->draining)
        return GW_REFUSAL_LEAVING;
    if (!agent->endpoint_up)
        return GW_REFUSAL_NO_ENDPOINT;
    if (agent->endpoint_loading || agent->is_work_paused)
        return GW_REFUSAL_WRONG_VERSION;
    if (!s->trial)
        return GW_REFUSAL_NONE;
    resident = Offers_ResidentChunks(agent, s->weights, s->chain, s->n_chain);
    return Offers_ExceedsTrialShare(agent, s->n_chain - resident)
               ? GW_REFUSAL_TRIAL_ROOM
               : GW_REFUSAL_NONE;
}

static void
send_refusal_(GwAgent *agent, GwSession *session, uint64_t id,
              uint32_t attempt, GwRefusal refusal, GwRan ran,
              GwTime retry_after, const char *holder)
{
    GW_FRAME(frame, refused, REFUSED, Refused, refused);

    GwCounters_AddRefusal(&agent->counters, refusal);
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

// Deletes the job. If the refusal is lost in transit, the entry's Resume finds
// no job, and its result means the same: the request is not run here, and its
// attempt is fenced.
static void
refuse_job_(Job *job, GwRefusal refusal, GwRan ran, const char *holder)
{
    GwEstimate e = GwAdmission_Estimate(job->agent->admission, &job->ticket,
                                        GwTime_Now());

    send_refusal_(job->agent, job->session, job->id, job->attempt, refusal,
                  ran, e.retry_after, holder);
    add_fence_(job->agent, job->id, job->attempt, ran);
    remove_job_(job);
}

static void
enqueue_job_(Job *job)
{
    GwAgent *agent = job->agent;
    size_t resident = Offers_ResidentChunks(agent, job->chain_weights,
                                            job->chain, job->chain_len);
    GwRefusal refusal;

    job->missing_chunks = job->chain_len - resident;
    job->leading_chunks =
        GwCacheView_Leading(agent->cache_view, job->chain, job->chain_len);
    job->ticket.prefill =
        Offers_PrefillTime(agent, job->chunk_bytes, resident, job->chain_len);
    refusal = GwAdmission_Enter(agent->admission, &job->ticket, GwTime_Now());
    if (refusal != GW_REFUSAL_NONE) {
        refuse_job_(job, refusal, GW_RAN_NO, NULL);
        return;
    }
    job->state = JOB_QUEUED;
    // A trial may be preempted before the engine has cached its prompt. It is
    // added to the cache view with its first output.
    if (!job->ticket.trial)
        GwCacheView_Insert(agent->cache_view, job->chain, job->chain_len,
                           false);
    Jobs_StartQueued(agent);
}

// A preempted trial has started, so it must not be reported as not run.
static void
refuse_expired_job_(Job *job)
{
    refuse_job_(job, GW_REFUSAL_DEADLINE,
                job->started_at > 0 ? GW_RAN_UNKNOWN : GW_RAN_NO, NULL);
}

static void
start_job_(Job *job)
{
    GwAgent *agent = job->agent;
    gsize body_len;
    const char *body = g_bytes_get_data(job->body, &body_len);
    g_autofree char *salt = g_strdup_printf(
        "%s/%s", job->account,
        agent->loaded_weights != NULL ? agent->loaded_weights : "");
    GwEndpointRequest request = {
        .method = job->method,
        .path = job->path,
        .content_type = job->content_type,
        .body = body,
        .body_len = body_len,
        .key = job->key,
        .stream = job->stream,
        // Urgencies are below 10, so all trials come after paying requests.
        .priority = job->ticket.urgency + (job->ticket.trial ? 10 : 0),
        .cache_salt = salt,
        .chain = job->chain,
        .chunk_bytes = job->chunk_bytes,
        .chain_len = job->chain_len,
    };

    job->state = JOB_RUNNING;
    job->started_at = GwTime_Now();
    if (job->key_state != NULL)
        job->key_state->run_started = true;
    GwHistogram_Record(&agent->counters.histograms[GW_HISTOGRAM_QUEUE_WAIT],
                       (uint64_t)(job->started_at - job->ticket.since));
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
        record_first_output_(job);
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
    record_cache_hits_(job, result);
    if (result->outcome == GW_ENDPOINT_BROKEN)
        AgentQuarantine_OnRequestBroken(job);
    else if (result->outcome == GW_ENDPOINT_COMPLETE)
        AgentQuarantine_OnRequestCompleted(job);
    if (result->outcome == GW_ENDPOINT_NOT_RUN && job->chunk_count == 0) {
        // The request did not run, so a retry with this key may run.
        if (ks != NULL)
            ks->run_started = false;
        refuse_job_(job, GW_REFUSAL_ENDPOINT_FAILED, GW_RAN_NO, NULL);
    }
    else if (result->outcome != GW_ENDPOINT_COMPLETE &&
             job->chunk_count == 0) {
        refuse_job_(job,
                    job->idempotent ? GW_REFUSAL_ENDPOINT_FAILED
                                    : GW_REFUSAL_OUTCOME_UNKNOWN,
                    GW_RAN_UNKNOWN, NULL);
    }
    else {
        finish_job_(job, result);
    }
    Jobs_StartQueued(agent);
}

static void
record_first_output_(Job *job)
{
    GwAgent *agent = job->agent;
    GwTime now = GwTime_Now();
    GwTime begun = MAX(job->started_at, agent->last_prefill_end);
    size_t resident = job->chain_len - job->missing_chunks;

    job->has_output = true;
    // An engine prefills one prompt after the other, so this prefill began
    // when the previous one ended, if that was after this job was started.
    GwPrefillCost_AddSample(
        &agent->prefill_cost,
        GwChain_Tokens(job->chunk_bytes, resident, job->chain_len),
        now - begun);
    if (job->ticket.trial)
        GwCacheView_Insert(agent->cache_view, job->chain, job->chain_len,
                           true);
    agent->last_prefill_end = now;
    GwAdmission_Output(agent->admission, &job->ticket, now);
}

// Compares the number of cached tokens that the engine reports with the
// leading chunks that the cache view contained when the job was queued. From
// this the cache view learns which share of its unconfirmed chunks the engine
// has cached.
static void
record_cache_hits_(Job *job, const GwEndpointResult *result)
{
    uint64_t tokens = 0;
    size_t hit = 0;

    if (result->prompt_tokens == 0)
        return;
    while (hit < job->leading_chunks) {
        tokens += GwChain_Tokens(job->chunk_bytes, hit, hit + 1);
        if (tokens > result->cached_tokens)
            break;
        hit++;
    }
    GwCacheView_AddHitSample(job->agent->cache_view, job->leading_chunks, hit);
}

static void
finish_job_(Job *job, const GwEndpointResult *result)
{
    job->state = JOB_FINISHED;
    job->result = *result;
    if (job->session == NULL && job->detached_at == 0)
        job->detached_at = GwTime_Now();
    Keyed_Finish(job, result->outcome == GW_ENDPOINT_COMPLETE);
    GwCounters_Add(&job->agent->counters, GW_COUNTER_ANSWERS, 1);
    GwCounters_Add(&job->agent->counters, GW_COUNTER_PROMPT_TOKENS,
                   result->prompt_tokens);
    GwCounters_Add(&job->agent->counters, GW_COUNTER_CACHED_TOKENS,
                   result->cached_tokens);
    Answer_Flush(job);
}

static gboolean
is_fence_expired_(gpointer key, gpointer value, gpointer user)
{
    return ((const Fence *)value)->expires_at < *(const GwTime *)user;
}

// Whether no entry has resumed the job within the detach time. A running
// request that may not run twice is not abandoned.
static bool
is_abandoned_(const Job *job, GwTime now)
{
    if (job->session != NULL ||
        now - job->detached_at < job->agent->options.detach_time)
        return false;
    return job->idempotent || job->state != JOB_RUNNING;
}
