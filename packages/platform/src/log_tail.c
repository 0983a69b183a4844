#include "galenagw/platform/log_service.h"

/* How long a read waits at the service for the next record. */
#define READ_WAIT_MS 2000
/* Delay before the retry of a failed read; doubled with each failure. */
#define BACKOFF_MIN (50 * GW_MILLISECOND)
#define BACKOFF_MAX (2 * GW_SECOND)

struct GwLogTail {
    GwLoop *loop;
    GwLog log;
    char *stream;
    uint64_t next_offset; /* offset of the next record */
    GRand *rand;
    const GwLogTailOps *ops;
    void *user;
    GwLogCall *call;    /* read in progress; NULL: none */
    GwTimer read_timer; /* starts the next read */
    GwTime backoff;     /* delay before the next retry */
    bool was_at_end;    /* the last read reached the end of the stream */
};

static void start_read_(void *user);
static void on_read_done_(void *user, const GwLogBatch *batch);
static void deliver_records_(GwLogTail *tail, const GwLogBatch *batch);

GwLogTail *
GwLogTail_New(GwLoop *loop, GwLog log, const char *stream, uint64_t from,
              GRand *rand, const GwLogTailOps *ops, void *user)
{
    GwLogTail *tail = g_new0(GwLogTail, 1);

    tail->loop = loop;
    tail->log = log;
    tail->stream = g_strdup(stream);
    tail->next_offset = from;
    tail->rand = rand;
    tail->ops = ops;
    tail->user = user;
    tail->backoff = BACKOFF_MIN;
    GwTimer_Init(&tail->read_timer, loop, start_read_, tail);
    start_read_(tail);
    return tail;
}

void
GwLogTail_SkipTo(GwLogTail *tail, uint64_t next)
{
    tail->next_offset = MAX(tail->next_offset, next);
}

void
GwLogTail_Delete(GwLogTail *tail)
{
    if (tail == NULL)
        return;
    GwTimer_Stop(&tail->read_timer);
    if (tail->call != NULL)
        tail->log.ops->cancel(tail->log.impl, tail->call);
    g_free(tail->stream);
    g_free(tail);
}

static void
start_read_(void *user)
{
    GwLogTail *tail = user;

    // Until a read has reached the end of the stream, the service must answer
    // at once, also if there are no records: the user of the tail waits for
    // the result `at_end`.
    tail->call = tail->log.ops->read(
        tail->log.impl, tail->stream, tail->next_offset,
        tail->was_at_end ? READ_WAIT_MS : 0, on_read_done_, tail);
}

static void
on_read_done_(void *user, const GwLogBatch *batch)
{
    GwLogTail *tail = user;

    tail->call = NULL;
    if (!batch->ok) {
        tail->was_at_end = false;
        tail->ops->on_read_done(tail->user, false, false);
        GwTimer_Start(&tail->read_timer,
                      GwTime_Jitter(tail->rand, tail->backoff));
        tail->backoff = MIN(tail->backoff * 2, BACKOFF_MAX);
        return;
    }
    tail->backoff = BACKOFF_MIN;
    deliver_records_(tail, batch);
    tail->was_at_end = tail->next_offset >= batch->end_offset;
    tail->ops->on_read_done(tail->user, true, tail->was_at_end);
    GwTimer_Start(&tail->read_timer, 0);
}

// Calls on_record for the records that have not been delivered before.
static void
deliver_records_(GwLogTail *tail, const GwLogBatch *batch)
{
    size_t i;
    json_t *row;

    if (tail->ops->on_first_offset != NULL)
        tail->ops->on_first_offset(tail->user, batch->first_offset);
    tail->next_offset = MAX(tail->next_offset, batch->first_offset);
    json_array_foreach((json_t *)batch->records, i, row)
    {
        uint64_t offset =
            (uint64_t)json_integer_value(json_object_get(row, "offset"));

        if (offset < tail->next_offset)
            continue;
        tail->next_offset = offset + 1;
        tail->ops->on_record(tail->user, offset, json_object_get(row, "data"));
    }
}
