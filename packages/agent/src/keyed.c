#include "keyed.h"

#include <string.h>

#include "answer.h"

/* Larger answers of keyed jobs are not stored for replay. */
#define REPLAY_ANSWER_MAX_BYTES (64 * 1024)
/* Bound on the stored answers of all keys; the oldest are evicted first. A
 * retry with the key of an evicted answer is refused with outcome_unknown: the
 * request has run, but its answer is no longer stored. */
#define REPLAY_CACHE_MAX_BYTES (32 * 1024 * 1024)

static void on_claim_result_(void *user, ClaimResult result,
                             const char *holder);
static void run_or_replay_(Job *job);
static void replay_answer_(Job *job, const KeyState *ks);
static void follow_runner_(Job *job, Job *leader);
static void release_followers_(Job *job);
static uint64_t request_digest_(const Job *job);
static KeyState *find_or_add_key_state_(Job *job);
static void add_to_replay_cache_(Job *job, KeyState *ks);

void
Keyed_StartClaim(Job *job, const KeyedOps *ops)
{
    job->keyed_ops = ops;
    job->state = JOB_CLAIMING;
    job->claim =
        Claims_MakeKey(job->account, job->agent->options.pool, job->key);
    job->claimed_at = GwTime_Now();
    Claims_Request(job->agent->claims, &job->claim, on_claim_result_, job);
}

void
Keyed_AddChunk(Job *job, GBytes *data)
{
    KeyState *ks = job->key_state;

    if (ks == NULL || ks->runner != job)
        return;
    ks->answer_bytes += g_bytes_get_size(data);
    if (ks->answer_bytes > REPLAY_ANSWER_MAX_BYTES) {
        g_clear_pointer(&ks->answer, g_ptr_array_unref);
        return;
    }
    if (ks->answer == NULL)
        ks->answer =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    g_ptr_array_add(ks->answer, g_bytes_ref(data));
}

void
Keyed_Finish(Job *job, bool complete)
{
    KeyState *ks = job->key_state;

    if (ks == NULL || ks->runner != job)
        return;
    ks->answer_status = job->answer_status;
    g_free(ks->answer_type);
    ks->answer_type = g_strdup(job->answer_type);
    if (ks->answer == NULL)
        ks->answer =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    if (complete && ks->answer_bytes <= REPLAY_ANSWER_MAX_BYTES)
        add_to_replay_cache_(job, ks);
    else
        g_clear_pointer(&ks->answer, g_ptr_array_unref);
    Keyed_EndRun(job);
}

// Does not delete the key state: it contains the stored answer, or records
// that a run was started.
void
Keyed_EndRun(Job *job)
{
    KeyState *ks = job->key_state;

    if (ks == NULL || ks->runner != job)
        return;
    // The run was cancelled; part of an answer must not be replayed.
    if (job->state != JOB_FINISHED)
        g_clear_pointer(&ks->answer, g_ptr_array_unref);
    ks->runner = NULL;
    job->key_state = NULL;
    release_followers_(job);
}

// Claims are swept first and a key state is deleted only after its claim has
// expired: with a valid claim and no key state the request would run again.
void
Keyed_Sweep(GwAgent *agent, GwTime now)
{
    GHashTableIter it;
    gpointer value;

    Claims_Sweep(agent->claims, now);
    g_hash_table_iter_init(&it, agent->key_states);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        KeyState *ks = value;

        if (ks->runner != NULL || Claims_IsClaimed(agent->claims, &ks->key))
            continue;
        if (ks->answer != NULL && g_queue_remove(&agent->replay_cache, ks))
            agent->replay_cache_bytes -= ks->answer_bytes;
        g_hash_table_iter_remove(&it);
    }
}

void
Keyed_DeleteState(gpointer p)
{
    KeyState *ks = p;

    if (ks->answer != NULL)
        g_ptr_array_unref(ks->answer);
    g_free(ks->answer_type);
    g_free(ks);
}

static void
on_claim_result_(void *user, ClaimResult result, const char *holder)
{
    Job *job = user;
    GwAgent *agent = job->agent;

    GwHistogram_Record(&agent->counters.histograms[GW_HISTOGRAM_CLAIM],
                       (uint64_t)(GwTime_Now() - job->claimed_at));
    job->state = JOB_QUEUED;
    switch (result) {
    case CLAIM_OWNED:
        run_or_replay_(job);
        break;
    case CLAIM_OWNED_ELSEWHERE:
        // The key belongs to another agent, or to an earlier incarnation of
        // this one. Only the holder, while it runs, has the outcome: the
        // entry asks it, or reports the outcome as unknown. An empty holder
        // name stands for the earlier incarnation, which cannot be asked.
        job->keyed_ops->refuse(
            job, GW_REFUSAL_CLAIMED_ELSEWHERE, GW_RAN_UNKNOWN,
            strcmp(holder, agent->options.name) != 0 ? holder : "");
        break;
    default:
        job->keyed_ops->refuse(job, GW_REFUSAL_LOG_UNAVAILABLE, GW_RAN_NO,
                               NULL);
    }
}

// Step "run once": the log assigns the key to this agent, so only this agent
// decides whether a run of the request was already started.
static void
run_or_replay_(Job *job)
{
    KeyState *ks = find_or_add_key_state_(job);

    if (ks->request_digest != request_digest_(job))
        job->keyed_ops->refuse(job, GW_REFUSAL_KEY_MISMATCH, GW_RAN_NO, NULL);
    else if (ks->runner != NULL)
        follow_runner_(job, ks->runner);
    else if (ks->answer != NULL)
        replay_answer_(job, ks);
    else if (ks->run_started)
        job->keyed_ops->refuse(job, GW_REFUSAL_OUTCOME_UNKNOWN, GW_RAN_UNKNOWN,
                               NULL);
    else {
        ks->runner = job;
        job->key_state = ks;
        job->keyed_ops->enqueue(job);
    }
}

static void
replay_answer_(Job *job, const KeyState *ks)
{
    GwEndpointResult result = {0};

    GwCounters_Add(&job->agent->counters, GW_COUNTER_REPLAYED_ANSWERS, 1);
    Answer_AddHead(job, ks->answer_status, ks->answer_type);
    for (guint i = 0; i < ks->answer->len; i++)
        Answer_AddChunk(job, ks->answer->pdata[i]);
    job->keyed_ops->finish(job, &result);
}

// The first job with this key still runs: wait for its answer.
static void
follow_runner_(Job *job, Job *leader)
{
    job->state = JOB_FOLLOWING;
    job->leader = leader;
}

static void
release_followers_(Job *job)
{
    GHashTableIter it;
    gpointer value;
    g_autoptr(GPtrArray) followers = g_ptr_array_new();

    g_hash_table_iter_init(&it, job->agent->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((Job *)value)->leader == job)
            g_ptr_array_add(followers, value);
    }
    for (guint i = 0; i < followers->len; i++) {
        Job *f = followers->pdata[i];

        f->leader = NULL;
        f->state = JOB_QUEUED;
        run_or_replay_(f);
    }
}

static uint64_t
request_digest_(const Job *job)
{
    gsize len;
    const void *body = g_bytes_get_data(job->body, &len);
    uint64_t h = XXH3_64bits(job->method, strlen(job->method));

    h = XXH3_64bits_withSeed(job->path, strlen(job->path), h);
    return XXH3_64bits_withSeed(body, len, h);
}

static KeyState *
find_or_add_key_state_(Job *job)
{
    KeyState *ks = g_hash_table_lookup(job->agent->key_states, &job->claim);

    if (ks != NULL)
        return ks;
    ks = g_new0(KeyState, 1);
    ks->key = job->claim;
    ks->request_digest = request_digest_(job);
    g_hash_table_insert(job->agent->key_states, &ks->key, ks);
    return ks;
}

static void
add_to_replay_cache_(Job *job, KeyState *ks)
{
    GwAgent *agent = job->agent;

    agent->replay_cache_bytes += ks->answer_bytes;
    g_queue_push_tail(&agent->replay_cache, ks);
    while (agent->replay_cache_bytes > REPLAY_CACHE_MAX_BYTES) {
        KeyState *old = g_queue_pop_head(&agent->replay_cache);

        agent->replay_cache_bytes -= old->answer_bytes;
        g_clear_pointer(&old->answer, g_ptr_array_unref);
    }
}
