#include "keyed.h"

#include <string.h>

#include "answer.h"

/* Answers of keyed calls above this size are not kept for repeats. */
#define KEEP_MAX (64 * 1024)
/* Bound on all kept answers; the oldest go first. A repeat then hears that
   the call has run and that its answer is not known. */
#define KEEP_TOTAL (32 * 1024 * 1024)

static void on_claim_(void *user, ClaimResult result, const char *holder);
static void own_key_(Job *job);
static void replay_(Job *job, const KeyState *ks);
static void follow_(Job *job, Job *leader);
static void release_followers_(Job *job);
static uint64_t digest_request_(const Job *job);
static KeyState *key_state_(Job *job);
static void keep_answer_(Job *job, KeyState *ks);

void
Keyed_Claim(Job *job, const KeyedOps *ops)
{
    job->keyed_ops = ops;
    job->state = JOB_CLAIMING;
    job->claim = Claims_Key(job->account, job->agent->options.pool, job->key);
    job->claimed_at = GwTime_Now();
    Claims_Request(job->agent->claims, &job->claim, on_claim_, job);
}

void
Keyed_AddChunk(Job *job, GBytes *data)
{
    KeyState *ks = job->key_state;

    if (ks == NULL || ks->runner != job)
        return;
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
    ks->status = job->status;
    g_free(ks->answer_type);
    ks->answer_type = g_strdup(job->answer_type);
    if (ks->answer == NULL)
        ks->answer =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    if (complete && job->held_bytes <= KEEP_MAX)
        keep_answer_(job, ks);
    else
        g_clear_pointer(&ks->answer, g_ptr_array_unref);
    Keyed_Leave(job);
}

// The runner leaves: keep its answer for repeats, or what is known of it.
void
Keyed_Leave(Job *job)
{
    KeyState *ks = job->key_state;

    if (ks == NULL || ks->runner != job)
        return;
    ks->runner = NULL;
    job->key_state = NULL;
    release_followers_(job);
}

// In this order: as long as its claim binds, a key without a memory of its
// run would be run again.
void
Keyed_Sweep(GwAgent *agent, GwTime now)
{
    GHashTableIter it;
    gpointer value;

    Claims_Sweep(agent->claims, now);
    g_hash_table_iter_init(&it, agent->key_states);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        KeyState *ks = value;

        if (ks->runner != NULL || Claims_Binds(agent->claims, &ks->key))
            continue;
        if (ks->answer != NULL && g_queue_remove(&agent->kept, ks))
            agent->kept_bytes -= ks->answer_bytes;
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
on_claim_(void *user, ClaimResult result, const char *holder)
{
    Job *job = user;
    GwAgent *agent = job->agent;

    GwHistogram_Record(&agent->counters.histograms[GW_HISTOGRAM_CLAIM],
                       (uint64_t)(GwTime_Now() - job->claimed_at));
    job->state = JOB_QUEUED;
    switch (result) {
    case CLAIM_OURS:
        own_key_(job);
        break;
    case CLAIM_OTHERS:
        // Another agent's, or ours before a restart. Only a living holder
        // can tell more; the entry asks it, or says "unknown".
        job->keyed_ops->refuse(
            job, GW_REFUSAL_CLAIMED_ELSEWHERE, GW_RAN_UNKNOWN,
            strcmp(holder, agent->options.name) != 0 ? holder : "");
        break;
    default:
        job->keyed_ops->refuse(job, GW_REFUSAL_LOG_UNAVAILABLE, GW_RAN_NO,
                               NULL);
    }
}

// Step "run once": the log gave the key to us; whether its call has already
// been started is ours alone to know.
static void
own_key_(Job *job)
{
    KeyState *ks = key_state_(job);

    if (ks->request_digest != digest_request_(job))
        job->keyed_ops->refuse(job, GW_REFUSAL_KEY_MISMATCH, GW_RAN_NO, NULL);
    else if (ks->runner != NULL)
        follow_(job, ks->runner);
    else if (ks->answer != NULL)
        replay_(job, ks);
    else if (ks->ran)
        job->keyed_ops->refuse(job, GW_REFUSAL_OUTCOME_UNKNOWN, GW_RAN_UNKNOWN,
                               NULL);
    else {
        ks->runner = job;
        job->key_state = ks;
        job->keyed_ops->enter(job);
    }
}

static void
replay_(Job *job, const KeyState *ks)
{
    GwEndpointResult result = {0};

    GwCounters_Add(&job->agent->counters, GW_COUNTER_REPLAYED_ANSWERS, 1);
    Answer_AddHead(job, ks->status, ks->answer_type);
    for (guint i = 0; i < ks->answer->len; i++)
        Answer_AddChunk(job, ks->answer->pdata[i]);
    job->keyed_ops->finish(job, &result);
}

// The first call with this key still runs: wait for its answer.
static void
follow_(Job *job, Job *leader)
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
        own_key_(f);
    }
}

static uint64_t
digest_request_(const Job *job)
{
    gsize len;
    const void *body = g_bytes_get_data(job->body, &len);
    uint64_t h = XXH3_64bits(job->method, strlen(job->method));

    h = XXH3_64bits_withSeed(job->path, strlen(job->path), h);
    return XXH3_64bits_withSeed(body, len, h);
}

static KeyState *
key_state_(Job *job)
{
    KeyState *ks = g_hash_table_lookup(job->agent->key_states, &job->claim);

    if (ks != NULL)
        return ks;
    ks = g_new0(KeyState, 1);
    ks->key = job->claim;
    ks->request_digest = digest_request_(job);
    g_hash_table_insert(job->agent->key_states, &ks->key, ks);
    return ks;
}

static void
keep_answer_(Job *job, KeyState *ks)
{
    GwAgent *agent = job->agent;

    for (guint i = 0; i < ks->answer->len; i++)
        ks->answer_bytes += g_bytes_get_size(ks->answer->pdata[i]);
    agent->kept_bytes += ks->answer_bytes;
    g_queue_push_tail(&agent->kept, ks);
    while (agent->kept_bytes > KEEP_TOTAL) {
        KeyState *old = g_queue_pop_head(&agent->kept);

        agent->kept_bytes -= old->answer_bytes;
        g_clear_pointer(&old->answer, g_ptr_array_unref);
    }
}
