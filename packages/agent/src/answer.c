/* A job's answer: numbered chunks, sent within a window beyond the entry's
 * last acknowledgement. */
#include "answer.h"

#include "galenagw/wire/answer_window.h"

static void send_chunk_(Job *job, uint32_t seq);
static void send_final_(Job *job);
static void update_pause_(Job *job);

void
Answer_AddHead(Job *job, int status, const char *type)
{
    if (job->chunk_count > 0)
        return;
    job->answer_status = status;
    job->answer_type = g_strdup(type);
    g_ptr_array_add(job->chunks, g_bytes_new(NULL, 0));
    job->chunk_count = 1;
}

void
Answer_AddChunk(Job *job, GBytes *data)
{
    gsize len;
    const void *bytes = g_bytes_get_data(data, &len);

    XXH64_update(&job->answer_digest, bytes, len);
    g_ptr_array_add(job->chunks, g_bytes_ref(data));
    job->buffered_bytes += len;
    job->chunk_count++;
    GwCounters_Add(&job->agent->counters, GW_COUNTER_CHUNKS, 1);
}

void
Answer_Acknowledge(Job *job, uint32_t next_seq)
{
    while (job->first_seq < next_seq && job->chunks->len > 0) {
        job->buffered_bytes -= g_bytes_get_size(job->chunks->pdata[0]);
        g_ptr_array_remove_index(job->chunks, 0);
        job->first_seq++;
    }
}

void
Answer_Flush(Job *job)
{
    update_pause_(job);
    if (job->session == NULL)
        return;
    while (job->next_send_seq < job->chunk_count &&
           job->next_send_seq < job->first_seq + GW_ANSWER_WINDOW_CHUNKS)
        send_chunk_(job, job->next_send_seq++);
    if (job->state == JOB_FINISHED && job->next_send_seq == job->chunk_count &&
        !job->final_sent)
        send_final_(job);
}

void
Answer_Attach(Job *job, GwSession *session, uint32_t attempt,
              uint32_t next_seq)
{
    job->session = session;
    job->attempt = attempt;
    job->next_send_seq = MAX(next_seq, job->first_seq);
    job->final_sent = false;
    Answer_Flush(job);
}

static void
send_chunk_(Job *job, uint32_t seq)
{
    gsize len;
    GBytes *bytes = job->chunks->pdata[seq - job->first_seq];
    const void *data = g_bytes_get_data(bytes, &len);
    GW_FRAME(frame, chunk, CHUNK, Chunk, chunk);

    chunk.request_id = job->id;
    chunk.attempt = job->attempt;
    chunk.seq = seq;
    chunk.data.data = (uint8_t *)data;
    chunk.data.len = len;
    if (seq == 0) {
        chunk.status = (uint32_t)job->answer_status;
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
    final.count = job->chunk_count;
    final.digest = XXH64_digest(&job->answer_digest);
    final.prompt_tokens = job->result.prompt_tokens;
    final.cached_tokens = job->result.cached_tokens;
    final.broken = job->result.outcome != GW_ENDPOINT_COMPLETE;
    job->final_sent = true;
    GwSession_Send(job->session, &frame);
}

// Bounds the memory that the answer to a slow caller takes: reading from the
// endpoint is paused until the entry has acknowledged enough chunks. An entry
// of an older version counts only chunks, so it may not acknowledge until it
// has received an interval of them.
static void
update_pause_(Job *job)
{
    const GwEndpoint *endpoint = &job->agent->endpoint;
    bool pause =
        job->chunks->len >= GW_ANSWER_ACK_CHUNKS &&
        job->buffered_bytes > (job->paused ? GW_ANSWER_WINDOW_BYTES / 2
                                           : GW_ANSWER_WINDOW_BYTES);

    if (job->call == NULL || pause == job->paused)
        return;
    job->paused = pause;
    endpoint->ops->pause(endpoint->impl, job->call, pause);
}
