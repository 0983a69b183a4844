/* A job's answer: numbered chunks, sent ahead within a window. */
#include "answer.h"

/* Chunks sent ahead of the entry's acknowledgement. */
#define WINDOW_CHUNKS 64
/* Reading from the endpoint stops above this, until the entry catches up. */
#define WINDOW_BYTES (256 * 1024)

static void send_chunk_(Job *job, uint32_t seq);
static void send_final_(Job *job);
static void throttle_(Job *job);

void
Answer_AddHead(Job *job, int status, const char *type)
{
    if (job->count > 0)
        return;
    job->status = status;
    job->answer_type = g_strdup(type);
    g_ptr_array_add(job->chunks, g_bytes_new(NULL, 0));
    job->count = 1;
}

void
Answer_AddChunk(Job *job, GBytes *data)
{
    gsize len;
    const void *bytes = g_bytes_get_data(data, &len);

    XXH64_update(&job->digest, bytes, len);
    g_ptr_array_add(job->chunks, g_bytes_ref(data));
    job->held_bytes += len;
    job->count++;
    GwCounters_Add(&job->agent->counters, GW_COUNTER_CHUNKS, 1);
}

void
Answer_Acknowledge(Job *job, uint32_t next_seq)
{
    while (job->base < next_seq && job->chunks->len > 0) {
        job->held_bytes -= g_bytes_get_size(job->chunks->pdata[0]);
        g_ptr_array_remove_index(job->chunks, 0);
        job->base++;
    }
}

void
Answer_Flush(Job *job)
{
    throttle_(job);
    if (job->session == NULL)
        return;
    while (job->next_send < job->count &&
           job->next_send < job->base + WINDOW_CHUNKS)
        send_chunk_(job, job->next_send++);
    if (job->state == JOB_FINISHED && job->next_send == job->count &&
        !job->final_sent)
        send_final_(job);
}

void
Answer_Attach(Job *job, GwSession *session, uint32_t attempt,
              uint32_t next_seq)
{
    job->session = session;
    job->attempt = attempt;
    job->next_send = MAX(next_seq, job->base);
    job->final_sent = false;
    Answer_Flush(job);
}

static void
send_chunk_(Job *job, uint32_t seq)
{
    gsize len;
    GBytes *bytes = job->chunks->pdata[seq - job->base];
    const void *data = g_bytes_get_data(bytes, &len);
    GW_FRAME(frame, chunk, CHUNK, Chunk, chunk);

    chunk.request_id = job->id;
    chunk.attempt = job->attempt;
    chunk.seq = seq;
    chunk.data.data = (uint8_t *)data;
    chunk.data.len = len;
    if (seq == 0) {
        chunk.status = (uint32_t)job->status;
        chunk.content_type = job->answer_type;
    }
    GwSession_Send(job->session, &frame);
}

static void
send_final_(Job *job)
{
    GW_FRAME(frame, final, FINAL, Final, final);

    final.request_id = job->id;
    final.attempt = job->attempt;
    final.count = job->count;
    final.digest = XXH64_digest(&job->digest);
    final.prompt_tokens = job->result.prompt_tokens;
    final.cached_tokens = job->result.cached_tokens;
    final.broken = job->result.end != GW_CALL_COMPLETE;
    job->final_sent = true;
    GwSession_Send(job->session, &frame);
}

// A slow caller must not fill memory: reading from the endpoint stops until
// its entry has acknowledged more.
static void
throttle_(Job *job)
{
    const GwEndpoint *endpoint = &job->agent->endpoint;
    bool pause =
        job->held_bytes > (job->paused ? WINDOW_BYTES / 2 : WINDOW_BYTES);

    if (job->call == NULL || pause == job->paused)
        return;
    job->paused = pause;
    endpoint->ops->pause(endpoint->impl, job->call, pause);
}
