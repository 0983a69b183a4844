/**
 * @defgroup config_sync Configuration between peers
 * @brief A process whose configuration is behind requests it from a peer.
 *
 * Hello, Ping and Pong frames carry the revision of the sender's
 * configuration. A change thus reaches a site whose connection to the
 * configuration log is slow or cut, and a process that starts while the log is
 * down gets the configuration from its peers.
 * @{
 */
#ifndef GALENAGW_SYNC_CONFIG_SYNC_H
#define GALENAGW_SYNC_CONFIG_SYNC_H

#include "galenagw/platform/config_feed.h"
#include "galenagw/wire/session.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The peer has reported @p revision: request its state if that is higher than
 * the own revision. */
void GwConfigSync_OnRevision(GwConfigFeed *feed, GwSession *session,
                             uint64_t revision);
/**
 * Handle @p frame if it is a request for this process's state, or a peer's
 * state.
 * @return whether it was one of them
 */
bool GwConfigSync_OnFrame(GwConfigFeed *feed, GwSession *session,
                          const GwFrame *frame);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
