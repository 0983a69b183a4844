/**
 * @defgroup cache_feed Events of a cache node
 * @brief Follows the contents of an engine's KV cache or of a KV store, by
 * long polls.
 *
 * The next call is sent as soon as one is answered, so changes are received
 * when the cache node reports them. A restarted cache node holds nothing of
 * its earlier incarnation. After a gap in its events, its full contents are
 * read.
 * @{
 */
#ifndef GALENAGW_CLUSTER_CACHE_FEED_H
#define GALENAGW_CLUSTER_CACHE_FEED_H

#include <glib.h>

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwCacheFeed GwCacheFeed;

/** Whether the events of a cache node are received. */
typedef enum {
    GW_FEED_UNREACHABLE = 0, /**< does not answer */
    GW_FEED_OVERSUBSCRIBED,  /**< answers, but has too many followers to send
                                events to this one */
    GW_FEED_FOLLOWING,
    GW_FEED_STATES
} GwFeedState;

extern const char *const GwFeedState_Names[GW_FEED_STATES];

/** Callbacks; on_page and on_state may be NULL. */
typedef struct {
    /**
     * All parts reported so far are void; the parts that the cache node holds
     * are reported again. @p new_incarnation: it has restarted or is
     * unreachable; else there was a gap in its events.
     */
    void (*on_reset)(void *user, bool new_incarnation);
    /** The cache node holds @p tokens tokens of the part @p key (see
     * GwCachedParts_Key); 0: the part was evicted. */
    void (*on_part)(void *user, uint64_t key, uint32_t tokens);
    /** All events of an answer have been passed to on_part. */
    void (*on_page)(void *user);
    /** The state has changed. */
    void (*on_state)(void *user, GwFeedState state, const char *why);
} GwCacheFeedOps;

/** Construction options. */
typedef struct {
    GwAddress address;
    unsigned max_followers; /**< maximum number of calls that may wait at the
                               cache node; 0: unknown */
    GwTime min_interval; /**< least time between an answer and the next call:
                            changes within it cost one message instead of many;
                            0: none */
    GRand *rand;
    const GwCacheFeedOps *ops;
    void *user;
} GwCacheFeedOptions;

/** Follow a cache node, from the next iteration of the loop on. */
GwCacheFeed *GwCacheFeed_New(GwLoop *loop, const GwCacheFeedOptions *options);
void GwCacheFeed_Delete(GwCacheFeed *feed);
/**
 * Set the number of followers of the cache node. If it exceeds what the cache
 * node allows for waiting calls, all followers poll with short calls instead
 * of long polls.
 */
void GwCacheFeed_SetFollowers(GwCacheFeed *feed, unsigned followers);
GwFeedState GwCacheFeed_State(const GwCacheFeed *feed);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
