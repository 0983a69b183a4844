#include "quarantine_store.h"

#include <string.h>

#include "galenagw/adapter/store.h"
#include "galenagw/http/caller.h"

#define CALL_TIMEOUT (2 * GW_SECOND)
/* Mean delay after a failed read or write. Until the rows are read, this
 * gateway has only the quarantined requests that it receives from peers or
 * detects itself, by further terminations of endpoints. */
#define STORE_RETRY_INTERVAL (2 * GW_SECOND)
/* After so many answers that cannot be decoded, the rows are not read, so that
 * they do not keep this gateway from writing its own. */
#define UNREADABLE_ANSWERS_MAX 3
/* Maximum number of rows that wait to be written or removed. Requests are
 * quarantined rarely, so only a defect in this program can cause more, or a
 * store with as many expired rows (see on_row_). */
#define MAX_PENDING_WRITES 64
/* Rows that expired by less than this are not removed, as the clocks of
 * machines differ. */
#define CLOCK_SKEW_MAX_MS (60 * 1000)
/* First character of the key of a part's row; a request's has none. */
#define PART_KEY_PREFIX 'p'
#define KEY_SIZE (1 + GW_DIGEST_KEY_SIZE)

struct GwQuarantineStore {
    GwQuarantineStoreOptions options;
    GwHttpCaller *caller;
    GwTimer timer;
    bool all_rows_read; /* no further reads: all rows that were in the
                           store at the start were read, or they cannot
                           be read, see on_read_ */
    unsigned unreadable_answers;
    char *read_after_key;     /* the next read returns the rows after this key;
                                 NULL: from the first row on */
    GQueue pending_writes;    /* keys of rows to write or remove, as text */
    GHashTable *written_keys; /* of rows that this process wrote or has queued
                                 to write */
};

static void send_next_call_(void *user);
static void on_read_(void *user, GwCallOutcome outcome, int status,
                     const char *body, size_t len);
static void on_row_(void *user, const char *key,
                    const GwQuarantineRecord *record);
static void on_written_(void *user, GwCallOutcome outcome, int status,
                        const char *body, size_t len);
static void on_call_failed_(GwQuarantineStore *s, const char *what,
                            GwCallOutcome outcome, int status);
static void queue_write_(GwQuarantineStore *s, const char *key);
static void encode_key_(GwSuspectKind kind, const GwDigest *suspect,
                        char key[KEY_SIZE]);
static bool decode_key_(const char *key, GwSuspectKind *kind,
                        GwDigest *suspect);
static GwQuarantineRecord make_record_(const GwQuarantineStore *s,
                                       const char *key);

GwQuarantineStore *
GwQuarantineStore_New(GwLoop *loop, const GwQuarantineStoreOptions *options)
{
    GwQuarantineStore *s = g_new0(GwQuarantineStore, 1);

    s->options = *options;
    s->caller = GwHttpCaller_New(loop, &options->store);
    GwTimer_Init(&s->timer, loop, send_next_call_, s);
    g_queue_init(&s->pending_writes);
    s->written_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    // At the first start of the whole system, no process can have written a
    // row yet.
    s->all_rows_read = options->is_first_start;
    send_next_call_(s);
    return s;
}

void
GwQuarantineStore_Delete(GwQuarantineStore *s)
{
    if (s == NULL)
        return;
    GwTimer_Stop(&s->timer);
    GwHttpCaller_Delete(s->caller);
    g_queue_clear_full(&s->pending_writes, g_free);
    g_hash_table_unref(s->written_keys);
    g_free(s->read_after_key);
    g_free(s);
}

void
GwQuarantineStore_Write(GwQuarantineStore *s, GwSuspectKind kind,
                        const GwDigest *suspect)
{
    char key[KEY_SIZE];

    if (GwQuarantine_RecordTime(s->options.quarantine, suspect,
                                GwTime_Now()) == 0)
        return;
    encode_key_(kind, suspect, key);
    g_hash_table_add(s->written_keys, g_strdup(key));
    queue_write_(s, key);
}

void
GwQuarantineStore_Remove(GwQuarantineStore *s, GwSuspectKind kind,
                         const GwDigest *suspect)
{
    char key[KEY_SIZE];

    encode_key_(kind, suspect, key);
    // Other gateways release the suspect as well. Only the one that wrote the
    // row removes it: by a write with the value 0, which make_record_ returns
    // for a released suspect.
    if (g_hash_table_remove(s->written_keys, key))
        queue_write_(s, key);
}

void
GwQuarantineStore_RewriteAll(GwQuarantineStore *s)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, s->written_keys);
    while (g_hash_table_iter_next(&iter, &key, NULL))
        queue_write_(s, key);
}

// Sends the next call to the store, unless one is pending: reads until all
// rows are read, then writes.
static void
send_next_call_(void *user)
{
    GwQuarantineStore *s = user;
    g_autoptr(GString) out = g_string_new(NULL);
    const char *key = g_queue_peek_head(&s->pending_writes);
    GwQuarantineRecord record;

    if (GwHttpCaller_IsBusy(s->caller) || (s->all_rows_read && key == NULL))
        return;
    GwTimer_Stop(&s->timer);
    GwCounters_Add(s->options.counters, GW_COUNTER_STORE_CALLS, 1);
    if (s->all_rows_read) {
        record = make_record_(s, key);
        GwStore_EncodeQuarantine(key, &record, out);
        GwHttpCaller_Send(s->caller, out, CALL_TIMEOUT, on_written_, s);
        return;
    }
    GwStore_EncodeQuarantined(s->read_after_key, out);
    GwHttpCaller_Send(s->caller, out, CALL_TIMEOUT, on_read_, s);
}

static void
on_read_(void *user, GwCallOutcome outcome, int status, const char *body,
         size_t len)
{
    GwQuarantineStore *s = user;
    GwError err = {0};

    // After a failed call, reading starts again at the first row.
    g_clear_pointer(&s->read_after_key, g_free);
    if (outcome != GW_CALL_ANSWERED ||
        GwStore_Verdict(status) == GW_STORE_BUSY) {
        on_call_failed_(s, "read", outcome, status);
        return;
    }
    // A store that rejects the call, as it has no such list, is not read
    // again: the result would be the same. An answer that cannot be decoded
    // may have been cut. The quarantine lacks the rows that were not read.
    if (GwStore_Verdict(status) == GW_STORE_OK)
        GwStore_DecodeQuarantined(body, len, on_row_, s, &s->read_after_key,
                                  &err);
    if (err.message[0] != '\0') {
        s->all_rows_read = ++s->unreadable_answers == UNREADABLE_ANSWERS_MAX;
        on_call_failed_(s, err.message, outcome, status);
        return;
    }
    s->all_rows_read = s->read_after_key == NULL;
    send_next_call_(s);
}

static void
on_row_(void *user, const char *key, const GwQuarantineRecord *record)
{
    GwQuarantineStore *s = user;
    int64_t now_ms = g_get_real_time() / GW_MILLISECOND;
    int64_t until_max_ms = now_ms + GW_QUARANTINE_TERM_MAX / GW_MILLISECOND;
    int64_t until_ms = record->until_ms;
    GwTime now = GwTime_Now();
    GwSuspectKind kind;
    GwDigest suspect;

    if (!decode_key_(key, &kind, &suspect))
        return;
    // The row may contain any number, so compare before computing to avoid an
    // overflow.
    if (until_ms > now_ms)
        GwQuarantine_Hold(s->options.quarantine, kind, &suspect,
                          now + (MIN(until_ms, until_max_ms) - now_ms) *
                                    GW_MILLISECOND,
                          record->tie, now);
    // Remove the expired row, whichever process wrote it, as that process may
    // have terminated. If this gateway has quarantined the suspect again, the
    // row is written instead.
    else if (until_ms < now_ms - CLOCK_SKEW_MAX_MS)
        queue_write_(s, key);
}

static void
on_written_(void *user, GwCallOutcome outcome, int status, const char *body,
            size_t len)
{
    GwQuarantineStore *s = user;

    // A write that failed or was rejected stays first in the queue, and is
    // repeated until the store confirms it.
    if (outcome != GW_CALL_ANSWERED ||
        GwStore_Verdict(status) != GW_STORE_OK) {
        on_call_failed_(s, "write", outcome, status);
        return;
    }
    g_free(g_queue_pop_head(&s->pending_writes));
    send_next_call_(s);
}

// Logs a failed call, and starts the timer for the next one. @p what is the
// call, or the reason why its answer could not be decoded.
static void
on_call_failed_(GwQuarantineStore *s, const char *what, GwCallOutcome outcome,
                int status)
{
    GwCounters_Add(s->options.counters, GW_COUNTER_STORE_ERRORS, 1);
    GwEvent_Begin(s->options.log, "quarantine_store_failed", NULL);
    GwEvent_Text(s->options.log, "call", what);
    GwEvent_Text(s->options.log, "outcome", GwCallOutcome_Names[outcome]);
    GwEvent_Number(s->options.log, "status", status);
    GwEvent_End(s->options.log);
    GwTimer_Start(&s->timer,
                  GwTime_Jitter(s->options.rand, STORE_RETRY_INTERVAL));
}

// Queues a write of the row of @p key. Its value is computed when it is sent;
// 0 removes the row. If the queue is full, the row that has waited longest is
// dropped, except the first, whose call may be pending.
static void
queue_write_(GwQuarantineStore *s, const char *key)
{
    // The call for the first row may be pending with an older value, so only
    // the rows after it are searched for the key.
    for (guint i = 1; i < s->pending_writes.length; i++) {
        if (strcmp(g_queue_peek_nth(&s->pending_writes, i), key) == 0)
            return;
    }
    if (s->pending_writes.length >= MAX_PENDING_WRITES)
        g_free(g_queue_pop_nth(&s->pending_writes, 1));
    g_queue_push_tail(&s->pending_writes, g_strdup(key));
    // While the retry timer runs (its place is set), the queue waits, to limit
    // the load on a failing store.
    if (s->timer.place == NULL)
        send_next_call_(s);
}

static void
encode_key_(GwSuspectKind kind, const GwDigest *suspect, char key[KEY_SIZE])
{
    if (kind == GW_SUSPECT_PART)
        *key++ = PART_KEY_PREFIX;
    GwDigest_Key(suspect, key);
}

static bool
decode_key_(const char *key, GwSuspectKind *kind, GwDigest *suspect)
{
    bool is_part = *key == PART_KEY_PREFIX;

    *kind = is_part ? GW_SUSPECT_PART : GW_SUSPECT_REQUEST;
    return GwDigest_FromKey(key + is_part, suspect);
}

// The end of the suspect's quarantine is 0 if it is not quarantined.
static GwQuarantineRecord
make_record_(const GwQuarantineStore *s, const char *key)
{
    GwQuarantineRecord record = {0};
    GwSuspectKind kind;
    GwDigest suspect;
    GwTime remaining;

    if (!decode_key_(key, &kind, &suspect))
        return record;
    remaining =
        GwQuarantine_RecordTime(s->options.quarantine, &suspect, GwTime_Now());
    if (remaining == 0)
        return record;
    record.until_ms = (g_get_real_time() + remaining) / GW_MILLISECOND;
    record.tie = GwQuarantine_Tie(s->options.quarantine, &suspect);
    return record;
}
