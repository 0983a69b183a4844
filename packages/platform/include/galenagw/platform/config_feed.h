/**
 * @defgroup config_feed Configuration feed
 * @brief Updates the configuration store of a process from the log and peers.
 *
 * The feed reads the `config` stream of the log continuously. At start, and
 * while the log is unavailable, the state of peers is restored by
 * GwConfigFeed_RestoreFromPeer. The feed appends snapshots well before records
 * expire: each one after a random delay, unless another process has appended a
 * snapshot in the meantime.
 * @{
 */
#ifndef GALENAGW_PLATFORM_CONFIG_FEED_H
#define GALENAGW_PLATFORM_CONFIG_FEED_H

#include "galenagw/config/store.h"
#include "galenagw/platform/log_service.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Name of the log stream that carries configuration. */
#define GW_CONFIG_STREAM "config"

/** A configuration store with its sources. */
typedef struct GwConfigFeed GwConfigFeed;

/** Construction options. */
typedef struct {
    const char *site; /**< whose overlay is applied; NULL: none */
    GRand *rand;      /**< for delays; owned by the caller */
    GwCounters *counters;
    uint64_t snapshot_every; /**< records between snapshots; 0: this process
                                appends none */
    void (*on_change)(void *user); /**< the revision has changed */
    /** A record with field `id` was folded, with the result @p fold. May be
     * NULL. */
    void (*on_record_folded)(void *user, const char *id, GwFoldResult fold);
    void *user;
} GwConfigFeedOptions;

/** Create a feed and start to read the log. */
GwConfigFeed *GwConfigFeed_New(GwLoop *loop, GwLog log,
                               const GwConfigFeedOptions *options);
void GwConfigFeed_Delete(GwConfigFeed *feed);

/** The configuration store; owned by the feed. */
const GwStore *GwConfigFeed_Store(const GwConfigFeed *feed);
/** Effective configuration of the site; NULL: none yet. */
const GwConfig *GwConfigFeed_Config(const GwConfigFeed *feed);
/** Current revision; 0: none yet. */
uint64_t GwConfigFeed_Revision(const GwConfigFeed *feed);
/** Whether the last read of the log succeeded and reached its end. */
bool GwConfigFeed_IsCurrent(const GwConfigFeed *feed);

/**
 * Whether to request the state of a peer that has @p revision. While this
 * process reads the log to its end, it receives changes from there with little
 * delay, and a whole document is costly to transfer: it is requested only if
 * the change is still missing one second after the first of an uninterrupted
 * series of calls with a higher revision. Without a state, or if the last read
 * of the log failed or did not reach its end, a document of a higher revision
 * is requested at once.
 * @param now current time
 */
bool GwConfigFeed_IsBehind(GwConfigFeed *feed, uint64_t revision, GwTime now);
/**
 * Restore the state of a peer if its revision is higher.
 * @param folded_to GwStore_FoldedTo of the peer
 * @param json document of the peer
 * @return false if @p json is invalid
 */
bool GwConfigFeed_RestoreFromPeer(GwConfigFeed *feed, uint64_t revision,
                                  uint64_t folded_to, const char *json,
                                  size_t len);
/** Document of the current revision as JSON text, to be sent to peers; cached
 * and owned by the feed. */
const char *GwConfigFeed_Document(GwConfigFeed *feed, size_t *len);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
