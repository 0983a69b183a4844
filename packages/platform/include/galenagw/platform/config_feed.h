/**
 * @defgroup config_feed Configuration feed
 * @brief Keeps a process's configuration store fed, from the log and peers.
 *
 * The feed follows the log's `config` stream. While the log is down, or at
 * start, state comes from peers by GwConfigFeed_Offer. It appends snapshots
 * well before records expire: after a random delay, unless another process
 * was faster.
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

typedef struct GwConfigFeed GwConfigFeed;

/** Construction options. */
typedef struct {
    const char *site;
    GRand *rand;
    GwCounters *counters;
    uint64_t snapshot_every;       /**< records; 0: no snapshots from here */
    void (*on_change)(void *user); /**< a new revision is in force */
    /** A change record was folded; @p id is its own. May be NULL. */
    void (*on_fold)(void *user, const char *id, GwFold fold);
    void *user;
} GwConfigFeedOptions;

GwConfigFeed *GwConfigFeed_New(GwLoop *loop, GwLog log,
                               const GwConfigFeedOptions *options);
void GwConfigFeed_Delete(GwConfigFeed *feed);

const GwStore *GwConfigFeed_Store(const GwConfigFeed *feed);
/** Typed configuration in force, or NULL before any. */
const GwConfig *GwConfigFeed_Config(const GwConfigFeed *feed);
uint64_t GwConfigFeed_Revision(const GwConfigFeed *feed);
/** Whether the last read of the log succeeded, and reached its end. */
bool GwConfigFeed_IsCurrent(const GwConfigFeed *feed);

/**
 * A peer holds @p revision: whether to ask for its state. A process that
 * follows the log gets a change from there in a moment; only what is still
 * missing after a second is worth a whole document.
 */
bool GwConfigFeed_IsBehind(GwConfigFeed *feed, uint64_t revision, GwTime now);
/** A peer's state, JSON text. @return false if it does not parse. */
bool GwConfigFeed_Offer(GwConfigFeed *feed, uint64_t revision,
                        uint64_t folded_to, const char *json, size_t len);
/** Our state as JSON text, made once a revision; owned by the feed. */
const char *GwConfigFeed_Document(GwConfigFeed *feed, size_t *len);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
