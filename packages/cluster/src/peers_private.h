/* State of peers that the peers_* modules share; private to this package. */
#ifndef GALENAGW_CLUSTER_PEERS_PRIVATE_H
#define GALENAGW_CLUSTER_PEERS_PRIVATE_H

#include <sys/queue.h>

#include "cache_sync.h"
#include "entry_load.h"
#include "list_sync.h"
#include "origin_sync.h"
#include "galenagw/cluster/peers_options.h"
#include "galenagw/wire/session.h"

typedef struct Peer {
    TAILQ_ENTRY(Peer) link;
    GwPeers *owner;
    GwSession *session;
    GwAddress address; /* if is_outbound: the address connected to */
    char name[64];     /* from its Hello */
    bool is_outbound;  /* this process has opened the session */
    bool is_wanted; /* the last comparison with the list requires this session
                     */
    bool is_entry;
    /* Connected only because the agent is in the limit owner pool. The entry
     * sends the engine no requests, and is sent neither engine state nor
     * cached parts. */
    bool owner_only;
    guint failure_domain;  /* hash of its name, from the Hello */
    uint64_t address_hash; /* of an agent: of the address it listens on */
    GwEntryLoad load; /* agent: load of this entry at the agent's engine */
    unsigned entries; /* entries connected to this agent, as it reports */
    GwListSyncPeer list_peer;
    GwCacheSync cache_sync;
    GwTime state_sent_at; /* agent: when the engine's state was last sent */
} Peer;

struct GwPeers {
    GwLoop *loop;
    GwPeersOptions options;
    GwSessionServer *server;
    TAILQ_HEAD(, Peer) peers;
    GwTimer reconcile_timer;
    GwTime list_changed_at; /* entry: when another engine was last added to the
                               list */
    GArray *followed_agents; /* agent: GwAddress of the agents that this one
                                follows */
    GwListSync list_sync;
    GwTime last_unconnected_at; /* entry: last time at which no peer was
                                   connected */
    unsigned followed_engines;  /* entry: number of engines that it follows */
    uint64_t urgent_changes_sent; /* urgent changes (GwView_UrgentChanges) at
                                     the last urgent heartbeat */
    GwTime urgent_sent_at;        /* time of the last urgent heartbeat */
    GwTimer urgent_timer;
    bool has_engine;
    char engine_id[128];
    GwEngineState engine;       /* agent: state that was last sent */
    GwEngineSpeed engine_speed; /* agent: by the samples of all entries */
    /* Agent: cached parts of its engine; or NULL. */
    const GwCachedParts *own_cached_parts;
    GwLimitPool owner_pool; /* limit owners of all accounts */
    int64_t owner_pool_end; /* end of the instance list that the pool was built
                               from */
    bool wants_origin_owners; /* entry: see GwPeers_WantOriginOwners */
    GwOriginSync origin_sync;
    GwEndpointShares *endpoint_shares; /* agent: shares of endpoints' limits;
                                          entry: NULL */
    GwTimer demand_timer;              /* entry: reports its demand for them */
};

/* The peer at @p address that this process has connected to; or NULL. */
Peer *GwPeers_FindOutbound(const GwPeers *p, const GwAddress *address);

/* Entry: the agent with this address hash if its session is ready; or NULL. */
Peer *GwPeers_FindReadyAgent(const GwPeers *p, uint64_t address_hash);

/* Agent: send the engine's state to a peer that has connected to this process,
 * and the cached parts if the peer is an entry. Peers that connect to
 * it only as an owner are sent neither. */
void GwPeersEngine_SendInitial(GwPeers *p, Peer *peer);
/* Agent: store the load of the entry @p from at the engine (nothing is stored
 * if @p from is NULL, which means that no Peer has the session), and send the
 * engine's state to the entries for which the load of the others has changed
 * enough. */
void GwPeersEngine_OnPrefillNote(GwPeers *p, Peer *from,
                                 const Gw__Wire__PrefillNote *note);
/* Update an engine's instance from the state that its agent sent. */
void GwPeersEngine_OnEngineState(GwPeers *p, Peer *from,
                                 const Gw__Wire__EngineState *state);
/* Agent: number of connected entries that send requests to the engine. */
unsigned GwPeersEngine_CountEntries(const GwPeers *p);

/* Handle an update that is forwarded to all peers.
 * @return false if the frame is none */
bool GwPeersUpdates_OnFrame(GwPeers *p, GwSession *session,
                            const GwFrame *frame);

/* Handle the messages between entries and the agents of the limit owner pool.
 * @param peer of the session; NULL: unknown
 * @return false if the frame is none of them */
bool GwPeersOwners_OnFrame(GwPeers *p, const Peer *peer, GwSession *session,
                           const GwFrame *frame);
/* Rebuild the limit owner pool if the list has changed. */
void GwPeersOwners_UpdatePool(GwPeers *p);
/* Entry: whether it needs sessions to the agents of the limit owner pool. */
bool GwPeersOwners_AreNeeded(const GwPeers *p);
/* Entry: report its demand for the endpoints that have named a limit. A timer
 * callback; @p user is the GwPeers. */
void GwPeersOwners_SendDemands(void *user);

/* Entry: choose the engines that requests are sent to, among the instances
 * @p all, according to the estimated size of the fleet. */
void GwPeersFleet_UpdateFollowed(GwPeers *p, const GPtrArray *all);

#endif
