#include "records_batch.h"

/* A frame is sent once its values have more bytes than this. */
#define FRAME_FLUSH_BYTES (1024 * 1024)

static void note_removal_(RecordsBatch *batch, const char *id);
static void send_partial_batch_(RecordsBatch *batch);

void
RecordsBatch_Add(void *user, GwList list, const GwRecord *record)
{
    RecordsBatch *batch = user;
    Gw__Wire__ListRecord *r;

    batch->is_cut = batch->max_records > 0 &&
                    batch->sent_records + batch->n >= batch->max_records;
    if (batch->is_cut)
        return;
    if (list == GW_LIST_INSTANCES && record->value == NULL)
        note_removal_(batch, record->key);
    r = &batch->records[batch->n];
    gw__wire__list_record__init(r);
    r->key = (char *)record->key;
    r->offset = (uint64_t)record->offset;
    r->removed = record->value == NULL;
    r->value.data = (uint8_t *)record->value;
    r->value.len = record->value != NULL ? record->len : 0;
    batch->pointers[batch->n++] = r;
    batch->bytes += r->value.len;
    if (batch->n == FRAME_RECORDS_MAX || batch->bytes > FRAME_FLUSH_BYTES)
        send_partial_batch_(batch);
}

// A frame carries either deferred removals or final ones, not both: an
// endpoint that has left must not get requests because the removals of others
// are deferred.
static void
note_removal_(RecordsBatch *batch, const char *id)
{
    GwTime until =
        MAX(GwInstances_RemovalsDeferredUntil(batch->instances, GwTime_Now()),
            GwInstances_RemovalDeferredUntil(batch->instances, id));

    if (batch->has_removal && (until > 0) != (batch->deferred_until > 0))
        send_partial_batch_(batch);
    batch->has_removal = true;
    batch->deferred_until = until;
}

// Records are sent in no particular order, so only the last frame carries the
// end.
static void
send_partial_batch_(RecordsBatch *batch)
{
    int64_t end = batch->end;

    batch->end = 0;
    RecordsBatch_Send(batch);
    batch->end = end;
}

void
RecordsBatch_Send(RecordsBatch *batch)
{
    GwTime held = MAX(batch->deferred_until - GwTime_Now(), 0);
    GW_FRAME(frame, reply, RECORDS_TELL, RecordsTell, records_tell);

    reply.list = batch->list;
    reply.end = (uint64_t)batch->end;
    reply.is_cut = batch->is_cut;
    reply.removals_held_ms = (uint32_t)(held / GW_MILLISECOND);
    reply.n_records = batch->n;
    reply.records = batch->pointers;
    GwSession_Send(batch->session, &frame);
    batch->sent_records += batch->n;
    batch->sent_bytes += batch->bytes;
    batch->n = 0;
    batch->bytes = 0;
    batch->has_removal = false;
    batch->deferred_until = 0;
}
