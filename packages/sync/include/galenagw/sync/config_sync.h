/**
 * @defgroup config_sync Configuration between peers
 * @brief Whoever is behind catches up from the other side of a session.
 *
 * Hellos, pings and pongs carry the sender's revision. A change thus reaches
 * a site whose way to the log is slow or cut, and a process that starts
 * while the log is down is served by its peers.
 * @{
 */
#ifndef GALENAGW_SYNC_CONFIG_SYNC_H
#define GALENAGW_SYNC_CONFIG_SYNC_H

#include "galenagw/platform/config_feed.h"
#include "galenagw/wire/session.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The peer told its @p revision: ask for its state if it is higher. */
void GwConfigSync_OnRevision(GwConfigFeed *feed, GwSession *session,
                             uint64_t revision);
/**
 * Handle @p frame if it is one of these: a question, or a peer's state.
 * @return whether it was
 */
bool GwConfigSync_OnFrame(GwConfigFeed *feed, GwSession *session,
                          const GwFrame *frame);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
