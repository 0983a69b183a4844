#include "engine_cache.h"

#include "galenagw/cluster/cache_feed.h"

/* Least time between an answer of the engine and the next HTTP call for its
 * cache events, so that events that come close together are broadcast
 * together: each of about ten requests per second causes an event for every
 * part that it adds to the cache and every part that is evicted for it. The
 * engine reports its events some 80 ms late, so the further delay matters
 * little. */
#define EVENTS_MIN_INTERVAL (60 * GW_MILLISECOND)

struct GwEngineCache {
    GwEngineCacheOptions options;
    GwCacheFeed *feed;
    /* All parts that are in the engine's cache now. */
    GwCachedParts *cached_parts;
    /* GwCachedPartChange, from the answer that is being decoded; an answer
     * contains one page of events. */
    GArray *changes;
};

static void on_reset_(void *user, bool new_incarnation);
static void on_part_(void *user, uint64_t key, uint32_t tokens);
static void on_page_(void *user);
static void on_state_(void *user, GwFeedState state, const char *why);

static const GwCacheFeedOps feed_ops = {
    .on_reset = on_reset_,
    .on_part = on_part_,
    .on_page = on_page_,
    .on_state = on_state_,
};

GwEngineCache *
GwEngineCache_New(GwLoop *loop, const GwEngineCacheOptions *options)
{
    GwEngineCache *c = g_new0(GwEngineCache, 1);
    GwCacheFeedOptions feed_options = {
        .address = options->engine_address,
        .min_interval = EVENTS_MIN_INTERVAL,
        .rand = options->rand,
        .ops = &feed_ops,
        .user = c,
    };

    c->options = *options;
    c->cached_parts = GwCachedParts_New(GW_MAX_CACHED_PARTS);
    c->changes = g_array_new(FALSE, FALSE, sizeof(GwCachedPartChange));
    c->feed = GwCacheFeed_New(loop, &feed_options);
    // The full set is sent to each entry once; on_page_ broadcasts the
    // changes.
    GwPeers_SetCachedParts(c->options.peers, c->cached_parts);
    return c;
}

void
GwEngineCache_Delete(GwEngineCache *c)
{
    if (c == NULL)
        return;
    GwPeers_SetCachedParts(c->options.peers, NULL);
    GwCacheFeed_Delete(c->feed);
    GwCachedParts_Unref(c->cached_parts);
    g_array_unref(c->changes);
    g_free(c);
}

// The engine has restarted, cannot be reached, or is about to report its full
// cache after some events were lost. All known parts are discarded in each of
// these cases, so `new_incarnation` is not used.
static void
on_reset_(void *user, bool new_incarnation)
{
    GwEngineCache *c = user;

    GwCachedParts_Clear(c->cached_parts);
    g_array_set_size(c->changes, 0);
    GwPeers_ResetCachedParts(c->options.peers);
}

// The engine has cached `tokens` of the part of a prompt that `key`
// identifies; 0: the part was evicted.
static void
on_part_(void *user, uint64_t key, uint32_t tokens)
{
    GwEngineCache *c = user;
    GwCachedPartChange change = {key, tokens};

    GwCachedParts_Set(c->cached_parts, key, tokens);
    g_array_append_val(c->changes, change);
}

// All events of one answer were passed to on_part_.
static void
on_page_(void *user)
{
    GwEngineCache *c = user;

    GwPeers_BroadcastCachedParts(c->options.peers,
                                 (const GwCachedPartChange *)c->changes->data,
                                 c->changes->len);
    g_array_set_size(c->changes, 0);
}

static void
on_state_(void *user, GwFeedState state, const char *why)
{
    GwEngineCache *c = user;

    GwEvent_Begin(c->options.log, "engine_cache", NULL);
    GwEvent_Text(c->options.log, "state", GwFeedState_Names[state]);
    GwEvent_Text(c->options.log, "why", why);
    GwEvent_Number(c->options.log, "parts",
                   GwCachedParts_Count(c->cached_parts));
    GwEvent_End(c->options.log);
}
