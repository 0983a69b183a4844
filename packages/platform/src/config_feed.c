#define GW_LOG_PART "config"
#include "galenagw/platform/config_feed.h"

#include <inttypes.h>
#include <string.h>

#include "galenagw/base/log.h"

/* A snapshot is due after a random delay below this. */
#define SNAPSHOT_DELAY (2 * GW_SECOND)
/* A change that others have is missing for good after this. */
#define BEHIND_TIME GW_SECOND

struct GwConfigFeed {
    GwLoop *loop;
    GwLog log;
    GwConfigFeedOptions options;
    GwStore *store;
    GwLogTail *tail;
    GwTimer snapshot;
    GwLogCall *append;
    bool snapshot_due;
    GwTime behind_since; /* a peer told of more; 0: none did */
    bool answers;
    bool current;
    bool changed; /* since on_change was last called */
    char *text;
    size_t text_len;
    uint64_t text_revision;
};

static void on_start_(void *user, uint64_t first);
static void on_record_(void *user, uint64_t offset, const json_t *data);
static void on_round_(void *user, bool ok, bool at_end);
static void plan_snapshot_(GwConfigFeed *feed);
static void on_snapshot_(void *user);
static void on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset);

static const GwLogTailOps tail_ops = {on_start_, on_record_, on_round_};

GwConfigFeed *
GwConfigFeed_New(GwLoop *loop, GwLog log, const GwConfigFeedOptions *options)
{
    GwConfigFeed *feed = g_new0(GwConfigFeed, 1);

    feed->loop = loop;
    feed->log = log;
    feed->options = *options;
    feed->store = GwStore_New(options->site);
    GwTimer_Init(&feed->snapshot, loop, on_snapshot_, feed);
    feed->tail = GwLogTail_New(loop, log, GW_CONFIG_STREAM, 0, options->rand,
                               &tail_ops, feed);
    return feed;
}

void
GwConfigFeed_Delete(GwConfigFeed *feed)
{
    if (feed == NULL)
        return;
    GwTimer_Stop(&feed->snapshot);
    if (feed->append != NULL)
        feed->log.ops->cancel(feed->log.impl, feed->append);
    GwLogTail_Delete(feed->tail);
    GwStore_Delete(feed->store);
    free(feed->text);
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
    return feed->current;
}

bool
GwConfigFeed_IsBehind(GwConfigFeed *feed, uint64_t revision, GwTime now)
{
    if (revision <= GwStore_Revision(feed->store)) {
        feed->behind_since = 0;
        return false;
    }
    if (!feed->current || !GwStore_HasState(feed->store))
        return true;
    if (feed->behind_since == 0)
        feed->behind_since = now;
    return now - feed->behind_since >= BEHIND_TIME;
}

bool
GwConfigFeed_Offer(GwConfigFeed *feed, uint64_t revision, uint64_t folded_to,
                   const char *json, size_t len)
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
        GwLogTail_Skip(feed->tail, GwStore_NextOffset(feed->store));
        feed->options.on_change(feed->options.user);
    }
    json_decref(document);
    return true;
}

const char *
GwConfigFeed_Document(GwConfigFeed *feed, size_t *len)
{
    uint64_t revision = GwStore_Revision(feed->store);

    if (feed->text == NULL || feed->text_revision != revision) {
        free(feed->text);
        feed->text = json_dumps(GwStore_Document(feed->store), JSON_COMPACT);
        feed->text_len = strlen(feed->text);
        feed->text_revision = revision;
    }
    *len = feed->text_len;
    return feed->text;
}

static void
on_start_(void *user, uint64_t first)
{
    GwStore_LogStarts(((GwConfigFeed *)user)->store, first);
}

static void
on_record_(void *user, uint64_t offset, const json_t *data)
{
    GwConfigFeed *feed = user;
    GwFold fold = GwStore_Fold(feed->store, offset, data);
    const char *id = json_string_value(json_object_get(data, "id"));

    GwCounters_Add(feed->options.counters, GW_COUNTER_LOG_RECORDS, 1);
    if (fold == GW_FOLD_APPLIED || fold == GW_FOLD_RESTORED) {
        GwCounters_Add(feed->options.counters, GW_COUNTER_CONFIG_CHANGES, 1);
        feed->changed = true;
    }
    if (fold == GW_FOLD_REJECTED)
        GwCounters_Add(feed->options.counters, GW_COUNTER_CONFIG_REJECTED, 1);
    if (feed->options.on_fold != NULL && id != NULL)
        feed->options.on_fold(feed->options.user, id, fold);
}

static void
on_round_(void *user, bool ok, bool at_end)
{
    GwConfigFeed *feed = user;

    if (ok != feed->answers)
        GW_INFO(ok ? "the log answers" : "the log does not answer");
    feed->answers = ok;
    feed->current = at_end;
    if (feed->changed) {
        feed->changed = false;
        GW_INFO("revision %" PRIu64 " is in force",
                GwStore_Revision(feed->store));
        feed->options.on_change(feed->options.user);
    }
    plan_snapshot_(feed);
}

static void
plan_snapshot_(GwConfigFeed *feed)
{
    uint64_t every = feed->options.snapshot_every;

    if (every == 0 || feed->snapshot_due || feed->append != NULL ||
        GwStore_SinceSnapshot(feed->store) < every ||
        GwStore_IsWaiting(feed->store) || !GwStore_HasState(feed->store))
        return;
    feed->snapshot_due = true;
    GwTimer_Start(&feed->snapshot, (GwTime)(g_rand_double(feed->options.rand) *
                                            (double)SNAPSHOT_DELAY));
}

static void
on_snapshot_(void *user)
{
    GwConfigFeed *feed = user;
    json_t *record;

    feed->snapshot_due = false;
    // Another process was faster: its snapshot has reset the count.
    if (GwStore_SinceSnapshot(feed->store) < feed->options.snapshot_every ||
        GwStore_IsWaiting(feed->store))
        return;
    record = GwStore_MakeSnapshot(feed->store);
    feed->append = feed->log.ops->append(feed->log.impl, GW_CONFIG_STREAM,
                                         record, on_appended_, feed);
    json_decref(record);
}

static void
on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    GwConfigFeed *feed = user;

    // A lost one is made again by the next round that finds it missing.
    feed->append = NULL;
    if (outcome != GW_APPEND_DONE)
        GW_INFO("snapshot append ended %s", GwAppendOutcome_Names[outcome]);
}
