#include "galenagw/platform/log_service.h"

#define WAIT_MS 2000
#define FIRST_BACKOFF (50 * GW_MILLISECOND)
#define MAX_BACKOFF (2 * GW_SECOND)

struct GwLogTail {
    GwLoop *loop;
    GwLog log;
    char *stream;
    uint64_t next;
    GRand *rand;
    const GwLogTailOps *ops;
    void *user;
    GwLogCall *call;
    GwTimer retry;
    GwTime backoff;
    bool at_end; /* nothing was left at the last read */
};

static void read_on_(void *user);
static void on_read_(void *user, const GwLogBatch *batch);
static void hand_over_(GwLogTail *tail, const GwLogBatch *batch);

GwLogTail *
GwLogTail_New(GwLoop *loop, GwLog log, const char *stream, uint64_t from,
              GRand *rand, const GwLogTailOps *ops, void *user)
{
    GwLogTail *tail = g_new0(GwLogTail, 1);

    tail->loop = loop;
    tail->log = log;
    tail->stream = g_strdup(stream);
    tail->next = from;
    tail->rand = rand;
    tail->ops = ops;
    tail->user = user;
    tail->backoff = FIRST_BACKOFF;
    GwTimer_Init(&tail->retry, loop, read_on_, tail);
    read_on_(tail);
    return tail;
}

void
GwLogTail_Skip(GwLogTail *tail, uint64_t next)
{
    tail->next = MAX(tail->next, next);
}

void
GwLogTail_Delete(GwLogTail *tail)
{
    if (tail == NULL)
        return;
    GwTimer_Stop(&tail->retry);
    if (tail->call != NULL)
        tail->log.ops->cancel(tail->log.impl, tail->call);
    g_free(tail->stream);
    g_free(tail);
}

static void
read_on_(void *user)
{
    GwLogTail *tail = user;

    // Until the end was seen once, an empty stream must say so at once:
    // others wait to know that they have read it all.
    tail->call =
        tail->log.ops->read(tail->log.impl, tail->stream, tail->next,
                            tail->at_end ? WAIT_MS : 0, on_read_, tail);
}

static void
on_read_(void *user, const GwLogBatch *batch)
{
    GwLogTail *tail = user;

    tail->call = NULL;
    if (!batch->ok) {
        tail->at_end = false;
        tail->ops->on_round(tail->user, false, false);
        GwTimer_Start(&tail->retry, GwTime_Jitter(tail->rand, tail->backoff));
        tail->backoff = MIN(tail->backoff * 2, MAX_BACKOFF);
        return;
    }
    tail->backoff = FIRST_BACKOFF;
    hand_over_(tail, batch);
    tail->at_end = tail->next >= batch->next;
    tail->ops->on_round(tail->user, true, tail->at_end);
    GwTimer_Start(&tail->retry, 0);
}

static void
hand_over_(GwLogTail *tail, const GwLogBatch *batch)
{
    size_t i;
    json_t *row;

    if (tail->ops->on_start != NULL)
        tail->ops->on_start(tail->user, batch->first);
    tail->next = MAX(tail->next, batch->first);
    json_array_foreach((json_t *)batch->records, i, row)
    {
        uint64_t offset =
            (uint64_t)json_integer_value(json_object_get(row, "offset"));

        if (offset < tail->next)
            continue;
        tail->next = offset + 1;
        tail->ops->on_record(tail->user, offset, json_object_get(row, "data"));
    }
}
