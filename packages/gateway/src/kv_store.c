#include "kv_store.h"

#include <string.h>

#include "galenagw/cluster/cache_feed.h"
#include "galenagw/routing/cached_parts.h"
#include "galenagw/routing/placement.h"
#include "galenagw/routing/kv_save.h"

/* Least time between two requests that save the same part: a save takes the
 * prefill and a transfer, and events arrive some hundred milliseconds late. */
#define SAVE_INTERVAL_MIN (3 * GW_SECOND)
/* Without events, a part is assumed to be cached from SAVE_DURATION to
 * SAVE_RETENTION after a request was sent to save it. */
#define SAVE_DURATION (600 * GW_MILLISECOND)
#define SAVE_RETENTION (8 * GW_SECOND)
/* Maximum number of tracked parts; a KV store of a million tokens has about a
 * thousand. */
#define MAX_PARTS 50000

struct GwKvStore {
    GwEventLog *log;
    GwAddress address;
    uint64_t domain;
    double link_mbps;
    GwTime busy_until;
    GwCacheFeed *feed;
    GwCachedParts *parts; /* by its events; empty unless it is followed */
    /* GwCachedParts_Key to the GwTime of the last save. */
    GHashTable *save_times;
};

static bool is_reachable_(const GwKvStore *s);
static bool should_save_(const GwRequestInfo *info);
static void on_reset_(void *user, bool new_incarnation);
static void on_part_(void *user, uint64_t key, uint32_t tokens);
static void on_state_(void *user, GwFeedState state, const char *why);
static bool is_probably_saved_(const GwKvStore *s, const GwRequestInfo *info,
                               const char *scope, GwTime now);

static const GwCacheFeedOps feed_ops = {
    .on_reset = on_reset_,
    .on_part = on_part_,
    .on_state = on_state_,
};

GwKvStore *
GwKvStore_New(GwLoop *loop, const GwKvStoreOptions *options)
{
    GwKvStore *s = g_new0(GwKvStore, 1);
    GwCacheFeedOptions feed = {
        .address = options->address,
        .max_followers = options->max_followers,
        .rand = options->rand,
        .ops = &feed_ops,
        .user = s,
    };

    s->log = options->log;
    s->address = options->address;
    s->domain = options->domain;
    s->link_mbps = options->link_mbps;
    s->parts = GwCachedParts_New(MAX_PARTS);
    s->save_times =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    s->feed = GwCacheFeed_New(loop, &feed);
    return s;
}

void
GwKvStore_Delete(GwKvStore *s)
{
    if (s == NULL)
        return;
    GwCacheFeed_Delete(s->feed);
    GwCachedParts_Unref(s->parts);
    g_hash_table_unref(s->save_times);
    g_free(s);
}

const GwAddress *
GwKvStore_Address(const GwKvStore *s)
{
    return is_reachable_(s) ? &s->address : NULL;
}

uint64_t
GwKvStore_Domain(const GwKvStore *s)
{
    return s->domain;
}

double
GwKvStore_LinkMbps(const GwKvStore *s)
{
    return s->link_mbps;
}

GwTime
GwKvStore_BusyUntil(const GwKvStore *s)
{
    return s->busy_until;
}

void
GwKvStore_SetBusyUntil(GwKvStore *s, GwTime until)
{
    s->busy_until = until;
}

bool
GwKvStore_IsOversubscribed(const GwKvStore *s)
{
    return GwCacheFeed_State(s->feed) == GW_FEED_OVERSUBSCRIBED;
}

unsigned
GwKvStore_CountCachedParts(const GwKvStore *s, const GwRequestInfo *info,
                           const char *scope, GwTime now)
{
    if (!is_reachable_(s) || info->n_parts == 0)
        return 0;
    if (GwKvStore_IsOversubscribed(s))
        return is_probably_saved_(s, info, scope, now) ? info->n_parts - 1 : 0;
    return GwCachedParts_Leading(s->parts, info, scope);
}

bool
GwKvStore_TryStartSave(GwKvStore *s, const GwRequestInfo *info,
                       const char *scope, GwTime now)
{
    uint64_t key;
    GwTime *requested_at;

    if (!is_reachable_(s) || info->n_parts < 2 || !should_save_(info) ||
        GwKvStore_CountCachedParts(s, info, scope, now) >= info->n_parts - 1)
        return false;
    key = GwCachedParts_Key(scope, info->parts[info->n_parts - 2].id);
    requested_at = g_hash_table_lookup(s->save_times, &key);
    if (requested_at != NULL && now - *requested_at < SAVE_INTERVAL_MIN)
        return false;
    if (requested_at == NULL) {
        if (g_hash_table_size(s->save_times) >= MAX_PARTS)
            g_hash_table_remove_all(s->save_times);
        requested_at = g_new(GwTime, 1);
        g_hash_table_insert(s->save_times, g_memdup2(&key, sizeof(key)),
                            requested_at);
    }
    *requested_at = now;
    return true;
}

void
GwKvStore_SetFollowers(GwKvStore *s, unsigned followers)
{
    GwCacheFeed_SetFollowers(s->feed, followers);
}

static bool
is_reachable_(const GwKvStore *s)
{
    return GwCacheFeed_State(s->feed) != GW_FEED_UNREACHABLE;
}

static bool
should_save_(const GwRequestInfo *info)
{
    return GwKvSave_ShouldSave(
        info->parts[info->n_parts - 1].tokens,
        GwPlacement_SumTokens(info->parts, info->n_parts - 1));
}

static void
on_reset_(void *user, bool new_incarnation)
{
    GwKvStore *s = user;

    GwCachedParts_Clear(s->parts);
    if (new_incarnation)
        g_hash_table_remove_all(s->save_times);
}

static void
on_part_(void *user, uint64_t key, uint32_t tokens)
{
    GwKvStore *s = user;

    GwCachedParts_Set(s->parts, key, tokens);
}

static void
on_state_(void *user, GwFeedState state, const char *why)
{
    GwKvStore *s = user;

    GwEvent_Begin(s->log,
                  state == GW_FEED_UNREACHABLE ? "kv_store_lost"
                                               : "kv_store_found",
                  NULL);
    GwEvent_Text(s->log, "state", GwFeedState_Names[state]);
    GwEvent_Text(s->log, "why", why);
    GwEvent_End(s->log);
}

// Whether a request of this gateway was sent to save the shared parts long
// enough ago for the save to be complete, and recently enough for the parts
// not to be evicted.
static bool
is_probably_saved_(const GwKvStore *s, const GwRequestInfo *info,
                   const char *scope, GwTime now)
{
    uint64_t key;
    const GwTime *requested_at;

    if (info->n_parts < 2)
        return false;
    key = GwCachedParts_Key(scope, info->parts[info->n_parts - 2].id);
    requested_at = g_hash_table_lookup(s->save_times, &key);
    return requested_at != NULL && now - *requested_at > SAVE_DURATION &&
           now - *requested_at < SAVE_RETENTION;
}
