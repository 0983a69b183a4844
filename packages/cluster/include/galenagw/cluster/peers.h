/**
 * @defgroup peers Peers
 * @brief Sessions between galenagw's own processes.
 *
 * Entries connect to the agents of the engines that they follow, and to the
 * seeds while they are connected to no agent or have no routes. Heartbeats
 * report how far each side's copies of the platform's lists reach; the side
 * that is behind requests the missing records, so that a process that cannot
 * read the store is updated too. Agents send entries the state of their
 * engines.
 * @{
 */
#ifndef GALENAGW_CLUSTER_PEERS_H
#define GALENAGW_CLUSTER_PEERS_H

#include "galenagw/cluster/origin_ask.h"
#include "galenagw/cluster/peers_options.h"

#ifdef __cplusplus
extern "C" {
#endif

/** @return NULL with @p err set if listening fails */
GwPeers *GwPeers_New(GwLoop *loop, const GwPeersOptions *options,
                     GwError *err);
void GwPeers_Delete(GwPeers *peers);
/** The port that other processes connect to. */
int GwPeers_Port(const GwPeers *peers);
/** Entry: the list contains another engine; connect to its agent without
 * waiting for the next periodic comparison with the list. */
void GwPeers_ListChanged(GwPeers *peers);
/** Agent: send @p state to all connected entries, and to each that connects
 * later. */
void GwPeers_BroadcastEngineState(GwPeers *peers, const GwEngineState *state);
/** Agent: send the contents of @p parts to entries that connect. @p parts must
 * outlive @p peers; NULL: none. */
void GwPeers_SetCachedParts(GwPeers *peers, const GwCachedParts *parts);
/** Agent: send all entries the changes of the cached parts. */
void GwPeers_BroadcastCachedParts(GwPeers *peers,
                                  const GwCachedPartChange *list, size_t n);
/** Agent: the cached parts were cleared and are filled again, so entries are
 * sent all of them instead of changes. */
void GwPeers_ResetCachedParts(GwPeers *peers);
/** Agent: follow the agents at the @p n addresses @p list, and no others, so
 * that the states of their engines are received. */
void GwPeers_FollowAgents(GwPeers *peers, const GwAddress *list, size_t n);
/** Entry: send the agent of @p instance the load that this entry has in flight
 * there. */
void GwPeers_SendLoad(GwPeers *peers, const GwInstance *instance);
/** Entry: send @p request to the limit owner whose address hash is @p
 * owner_hash. @return false if it is not connected */
bool GwPeers_AskLimitOwner(GwPeers *peers, uint64_t owner_hash,
                           const GwLimitRequest *request);
/** Entry: send @p request to the slack owner whose address hash is @p
 * owner_hash. @return false if it is not connected */
bool GwPeers_AskRetrySlack(GwPeers *peers, uint64_t owner_hash,
                           const char *service,
                           const GwRetryLeaseRequest *request);
/** Entry: while @p wanted, stay connected to the agents of the limit owner
 * pool, which also store the origins of streams, even if none of the accounts
 * has a limit and their engines are not followed. */
void GwPeers_WantOriginOwners(GwPeers *peers, bool wanted);
/**
 * Entry: send the origin of a stream to two connected agents of the limit
 * owner pool, of different failure domains if possible.
 * @param stream see GwStreamOrigins_Hash
 * @param software identity of service and version; not 0
 */
void GwPeers_TellStreamOrigin(GwPeers *peers, uint64_t stream,
                              uint64_t software);
/**
 * Entry: ask the connected agents, those of the limit owner pool first and at
 * most GW_ORIGIN_ASKED_MAX, for the origin of a stream. The query is decided
 * within GW_ORIGIN_ASK_TIMEOUT, or never if
 * @p peers is deleted before.
 * @param ask not waiting; its on_decided is set
 */
void GwPeers_AskStreamOrigin(GwPeers *peers, uint64_t stream,
                             GwOriginAsk *ask);
/** Agent: its engine has restarted; drop the loads that entries reported for
 * the earlier incarnation. */
void GwPeers_ResetLoads(GwPeers *peers);
/** Agent: number of long runs that entries have in flight at the engine. */
unsigned GwPeers_LongRuns(const GwPeers *peers);
/** Agent: prompt tokens for which entries wait at the engine. */
uint64_t GwPeers_WaitingTokens(const GwPeers *peers);
/**
 * Send all peers an urgent heartbeat if there were urgent changes
 * (GwView_UrgentChanges) since the last one: at once, or after a short minimum
 * interval. Peers then learn of the changes within milliseconds instead of
 * after one heartbeat interval per hop.
 */
void GwPeers_BroadcastUrgentHeartbeat(GwPeers *peers);
/** An answer of @p instance has announced its departure: this process sends it
 * no new requests, and all peers are notified. */
void GwPeers_NoteLeaving(GwPeers *peers, const GwInstance *instance,
                         GwUpdateSource from);
/**
 * Store the rate limit that an answer of @p instance has named. If the limit
 * changed, log it and notify all peers.
 * @param rate requests per second, of all processes combined;
 *             GW_ENDPOINT_UNLIMITED if the limit was lifted
 */
void GwPeers_NoteLimit(GwPeers *peers, const GwInstance *instance, double rate,
                       GwUpdateSource from);
/** Send all peers a quarantine update of this process. */
void GwPeers_BroadcastQuarantine(GwPeers *peers,
                                 const GwQuarantineUpdate *update);
/** Estimated number of processes in the fleet, entries and agents, that follow
 * the store and exchange updates, this one included; 1 while this process is
 * connected to none of them. */
unsigned GwPeers_ClusterSize(const GwPeers *peers);
/** Estimated number of entries that share the load; at least 1. */
unsigned GwPeers_Entries(const GwPeers *peers);
/** Estimated number of entries that send requests to @p instance; at least 1.
 */
unsigned GwPeers_EntriesSendingTo(const GwPeers *peers,
                                  const GwInstance *instance);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
