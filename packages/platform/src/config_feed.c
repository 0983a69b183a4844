#define GW_LOG_PART "config"
#include "galenagw/platform/config_feed.h"

#include <inttypes.h>
#include <string.h>

#include "galenagw/base/log.h"

/* A snapshot is appended after a random delay up to this, so that normally
 * only one of the processes appends one. */
#define SNAPSHOT_DELAY_MAX (2 * GW_SECOND)
/* If a change that a peer has was not read from the log within this time, the
 * document is requested from the peer. */
#define PEER_FETCH_DELAY GW_SECOND

struct GwConfigFeed {
    GwLoop *loop;
    GwLog log;
    GwConfigFeedOptions options;
    GwStore *store;
    GwLogTail *tail;
    GwTimer snapshot_timer;
    GwLogCall *append_call; /* of a snapshot */
    bool snapshot_due;      /* snapshot_timer is armed */
    GwTime behind_since;    /* a peer has had a higher revision since then; 0:
                               none has */
    bool log_answers;       /* the last read succeeded */
    bool at_log_end;        /* the last read reached the end of the stream */
    bool revision_changed;  /* since the last call of on_change */
    char *document_json; /* document of document_json_revision; NULL: none */
    size_t document_json_len;
    uint64_t document_json_revision;
};

static void on_first_offset_(void *user, uint64_t first);
static void on_record_(void *user, uint64_t offset, const json_t *data);
static void on_read_done_(void *user, bool ok, bool at_end);
static void schedule_snapshot_(GwConfigFeed *feed);
static void append_snapshot_(void *user);
static void on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset);

static const GwLogTailOps tail_ops = {on_first_offset_, on_record_,
                                      on_read_done_};

GwConfigFeed *
GwConfigFeed_New(GwLoop *loop, GwLog log, const GwConfigFeedOptions *options)
{
    GwConfigFeed *feed = g_new0(GwConfigFeed, 1);

    feed->loop = loop;
    feed->log = log;
    feed->options = *options;
    feed->store = GwStore_New(options->site);
    GwTimer_Init(&feed->snapshot_timer, loop, append_snapshot_, feed);
    feed->tail = GwLogTail_New(loop, log, GW_CONFIG_STREAM, 0, options->rand,
                               &tail_ops, feed);
    return feed;
}

void
GwConfigFeed_Delete(GwConfigFeed *feed)
{
    if (feed == NULL)
        return;
    GwTimer_Stop(&feed->snapshot_timer);
    if (feed->append_call != NULL)
        feed->log.ops->cancel(feed->log.impl, feed->append_call);
    GwLogTail_Delete(feed->tail);
    GwStore_Delete(feed->store);
    free(feed->document_json);
    g_free(feed);
}

const GwStore *
GwConfigFeed_Store(const GwConfigFeed *feed)
{
    return feed->store;
}

const GwConfig *
GwConfigFeed_Config(const GwConfigFeed *feed)
{
    return GwStore_Config(feed->store);
}

uint64_t
GwConfigFeed_Revision(const GwConfigFeed *feed)
{
    return GwStore_Revision(feed->store);
}

bool
GwConfigFeed_IsCurrent(const GwConfigFeed *feed)
{
    return feed->at_log_end;
}

bool
GwConfigFeed_IsBehind(GwConfigFeed *feed, uint64_t revision, GwTime now)
{
    if (revision <= GwStore_Revision(feed->store)) {
        feed->behind_since = 0;
        return false;
    }
    if (!feed->at_log_end || !GwStore_HasState(feed->store))
        return true;
    if (feed->behind_since == 0)
        feed->behind_since = now;
    return now - feed->behind_since >= PEER_FETCH_DELAY;
}

bool
GwConfigFeed_RestoreFromPeer(GwConfigFeed *feed, uint64_t revision,
                             uint64_t folded_to, const char *json, size_t len)
{
    json_t *document;

    if (GwStore_HasState(feed->store) &&
        revision <= GwStore_Revision(feed->store))
        return true;
    document = json_loadb(json, len, 0, NULL);
    if (document == NULL)
        return false;
    if (GwStore_Restore(feed->store, revision, folded_to, document) ==
        GW_FOLD_RESTORED) {
        GwCounters_Add(feed->options.counters, GW_COUNTER_CONFIG_FROM_PEER, 1);
        GwLogTail_SkipTo(feed->tail, GwStore_NextOffset(feed->store));
        feed->options.on_change(feed->options.user);
    }
    json_decref(document);
    return true;
}

const char *
GwConfigFeed_Document(GwConfigFeed *feed, size_t *len)
{
    uint64_t revision = GwStore_Revision(feed->store);

    if (feed->document_json == NULL ||
        feed->document_json_revision != revision) {
        free(feed->document_json);
        feed->document_json =
            json_dumps(GwStore_Document(feed->store), JSON_COMPACT);
        feed->document_json_len = strlen(feed->document_json);
        feed->document_json_revision = revision;
    }
    *len = feed->document_json_len;
    return feed->document_json;
}

static void
on_first_offset_(void *user, uint64_t first)
{
    GwStore_NoteLogStart(((GwConfigFeed *)user)->store, first);
}

static void
on_record_(void *user, uint64_t offset, const json_t *data)
{
    GwConfigFeed *feed = user;
    GwFoldResult fold = GwStore_Fold(feed->store, offset, data);
    const char *id = json_string_value(json_object_get(data, "id"));

    GwCounters_Add(feed->options.counters, GW_COUNTER_LOG_RECORDS, 1);
    if (fold == GW_FOLD_APPLIED || fold == GW_FOLD_RESTORED) {
        GwCounters_Add(feed->options.counters, GW_COUNTER_CONFIG_CHANGES, 1);
        feed->revision_changed = true;
    }
    if (fold == GW_FOLD_REJECTED)
        GwCounters_Add(feed->options.counters, GW_COUNTER_CONFIG_REJECTED, 1);
    if (feed->options.on_record_folded != NULL && id != NULL)
        feed->options.on_record_folded(feed->options.user, id, fold);
}

static void
on_read_done_(void *user, bool ok, bool at_end)
{
    GwConfigFeed *feed = user;

    if (ok != feed->log_answers)
        GW_INFO(ok ? "the log answers"
                   : "the log does not answer; the configuration in "
                     "effect stays, reads are retried");
    feed->log_answers = ok;
    feed->at_log_end = at_end;
    if (feed->revision_changed) {
        feed->revision_changed = false;
        GW_INFO("configuration revision %" PRIu64 " is in effect",
                GwStore_Revision(feed->store));
        feed->options.on_change(feed->options.user);
    }
    schedule_snapshot_(feed);
}

static void
schedule_snapshot_(GwConfigFeed *feed)
{
    uint64_t every = feed->options.snapshot_every;

    if (every == 0 || feed->snapshot_due || feed->append_call != NULL ||
        GwStore_SinceSnapshot(feed->store) < every ||
        GwStore_IsWaiting(feed->store) || !GwStore_HasState(feed->store))
        return;
    feed->snapshot_due = true;
    GwTimer_Start(&feed->snapshot_timer,
                  (GwTime)(g_rand_double(feed->options.rand) *
                           (double)SNAPSHOT_DELAY_MAX));
}

static void
append_snapshot_(void *user)
{
    GwConfigFeed *feed = user;
    json_t *record;

    feed->snapshot_due = false;
    // Nothing is appended if another process has appended a snapshot in the
    // meantime, which reset the count, or while records are missing in the
    // state.
    if (GwStore_SinceSnapshot(feed->store) < feed->options.snapshot_every ||
        GwStore_IsWaiting(feed->store))
        return;
    record = GwStore_MakeSnapshot(feed->store);
    feed->append_call = feed->log.ops->append(feed->log.impl, GW_CONFIG_STREAM,
                                              record, on_appended_, feed);
    json_decref(record);
}

static void
on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    GwConfigFeed *feed = user;

    // If the snapshot is not in the log, a later read schedules another one.
    feed->append_call = NULL;
    if (outcome != GW_APPEND_DONE)
        GW_INFO("append of a configuration snapshot ended with outcome %s; it "
                "is repeated if it is missing in the log",
                GwAppendOutcome_Names[outcome]);
}
