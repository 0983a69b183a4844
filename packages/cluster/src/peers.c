#include "galenagw/cluster/peers.h"

#include <string.h>
#include <sys/queue.h>

#include "departure_sync.h"
#include "endpoint_limit_sync.h"
#include "peers_private.h"
#include "galenagw/routing/placement.h"

/* Interval between comparisons of the connections with the list of endpoints.
 * New engines get requests before their agents are connected; the interval
 * delays only the messages exchanged with a new engine's agent, such as its
 * reports. */
#define RECONCILE_INTERVAL (500 * GW_MILLISECOND)
/* Delay of the comparison after a change of the list. Records are received in
 * pages, and connections to all engines that a page contains are opened
 * together. */
#define RECONCILE_DELAY (10 * GW_MILLISECOND)
/* Interval between comparisons for RECENT_CHANGE_PERIOD after a change of the
 * list. An engine and its agent start at the same time, in any order, so a
 * connection to an agent that did not listen yet is tried again within half of
 * the 260 ms in which an engine prepares for loading weights. */
#define RECONCILE_INTERVAL_AFTER_CHANGE (100 * GW_MILLISECOND)
#define RECENT_CHANGE_PERIOD (2 * GW_SECOND)
/* Interval between heartbeats: short enough that a process that cannot read
 * the store learns of updates within a second, a fraction of the propagation
 * bound of configurations. */
#define PEER_HEARTBEAT_INTERVAL (800 * GW_MILLISECOND)
#define PEER_SILENCE_TIMEOUT (2400 * GW_MILLISECOND)
/* Least interval between two urgent heartbeats to all peers: changes come in
 * series, and each broadcast costs one frame per session. */
#define URGENT_HEARTBEAT_INTERVAL_MIN (200 * GW_MILLISECOND)

static void init_list_sync_(GwPeers *p);
static void send_urgent_heartbeats_(void *user);
static GwSessionOptions session_options_(GwPeers *p);
static void on_ready_(void *user, GwSession *session,
                      const Gw__Wire__Hello *hello);
static void on_frame_(void *user, GwSession *session, const GwFrame *frame);
static void on_sync_status_(void *user, GwSession *session,
                            const GwSyncStatus *sync_status);
static void on_closed_(void *user, GwSession *session, bool silent);
static void clear_agent_reports_(GwPeers *p, const Peer *peer);
static void fill_hello_(void *user, Gw__Wire__Hello *hello);
static void fill_owner_only_hello_(void *user, Gw__Wire__Hello *hello);
static void fill_sync_status_(void *user, GwSyncStatus *sync_status);
static void reconcile_(void *user);
static GwTime reconcile_delay_(const GwPeers *p);
static void ensure_connected_(GwPeers *p, const GwAddress *address,
                              bool owner_only);
static void connect_agents_(GwPeers *p, const GPtrArray *all, bool owner_only);
static Peer *add_peer_(GwPeers *p);
static void set_session_(Peer *peer, GwSession *session);
static Peer *find_peer_(GwPeers *p, const GwSession *session);
static void drop_peer_(Peer *peer);
static bool needs_seeds_(const GwPeers *p);

static const GwSessionOps session_ops = {on_ready_, on_frame_, on_sync_status_,
                                         on_closed_};
GwPeers *
GwPeers_New(GwLoop *loop, const GwPeersOptions *options, GwError *err)
{
    GwPeers *p = g_new0(GwPeers, 1);
    GwSessionOptions session;

    p->loop = loop;
    p->options = *options;
    session = session_options_(p);
    TAILQ_INIT(&p->peers);
    p->followed_agents = g_array_new(FALSE, FALSE, sizeof(GwAddress));
    GwTimer_Init(&p->reconcile_timer, loop, reconcile_, p);
    GwTimer_Init(&p->urgent_timer, loop, send_urgent_heartbeats_, p);
    GwTimer_Init(&p->demand_timer, loop, GwPeersOwners_SendDemands, p);
    init_list_sync_(p);
    GwOriginSync_Init(&p->origin_sync, options->is_agent);
    p->server = GwSessionServer_New(loop, &options->listen, &session, err);
    if (p->server == NULL) {
        GwOriginSync_Stop(&p->origin_sync);
        g_array_unref(p->followed_agents);
        g_free(p);
        return NULL;
    }
    if (options->is_agent)
        p->endpoint_shares = GwEndpointShares_New(GwTime_Now());
    else
        GwTimer_Start(&p->demand_timer, GW_ENDPOINT_DEMAND_INTERVAL);
    reconcile_(p);
    return p;
}

void
GwPeers_Delete(GwPeers *p)
{
    Peer *peer;

    if (p == NULL)
        return;
    GwTimer_Stop(&p->reconcile_timer);
    GwTimer_Stop(&p->urgent_timer);
    GwTimer_Stop(&p->demand_timer);
    GwListSync_Stop(&p->list_sync);
    GwOriginSync_Stop(&p->origin_sync);
    while ((peer = TAILQ_FIRST(&p->peers)) != NULL)
        drop_peer_(peer);
    GwSessionServer_Delete(p->server);
    GwEndpointShares_Delete(p->endpoint_shares);
    g_array_unref(p->followed_agents);
    g_free(p);
}

int
GwPeers_Port(const GwPeers *p)
{
    return GwSessionServer_Port(p->server);
}

// Without the earlier comparison, a gateway could know the engines for half a
// second before it is connected to their agents. Agents that order new weights
// in that time cannot notify the gateway, and its callers' requests are
// rejected by one engine after another.
void
GwPeers_ListChanged(GwPeers *p)
{
    p->list_changed_at = GwTime_Now();
    if (p->reconcile_timer.due - p->list_changed_at > RECONCILE_DELAY)
        GwTimer_Start(&p->reconcile_timer, RECONCILE_DELAY);
}

void
GwPeers_FollowAgents(GwPeers *p, const GwAddress *list, size_t n)
{
    g_array_set_size(p->followed_agents, 0);
    if (n > 0)
        g_array_append_vals(p->followed_agents, list, (guint)n);
}

void
GwPeers_BroadcastUrgentHeartbeat(GwPeers *p)
{
    GwTime next = p->urgent_sent_at + URGENT_HEARTBEAT_INTERVAL_MIN;

    // Sent after the current callback has returned, because one answer may
    // contain many changes.
    if (p->urgent_timer.place == NULL)
        GwTimer_Start(&p->urgent_timer, MAX(next - GwTime_Now(), 0));
}

static void
init_list_sync_(GwPeers *p)
{
    GwListSyncOptions options = {
        .view = p->options.view,
        .reader = p->options.reader,
        .log = p->options.log,
        .counters = p->options.counters,
        .link_rate = p->options.link_rate,
    };

    GwListSync_Init(&p->list_sync, p->loop, &options);
}

static void
send_urgent_heartbeats_(void *user)
{
    GwPeers *p = user;
    uint64_t urgent = GwView_UrgentChanges(p->options.view);
    Peer *peer;

    if (urgent == p->urgent_changes_sent)
        return;
    p->urgent_changes_sent = urgent;
    p->urgent_sent_at = GwTime_Now();
    TAILQ_FOREACH(peer, &p->peers, link)
    GwSession_SendUrgentHeartbeat(peer->session);
}

static GwSessionOptions
session_options_(GwPeers *p)
{
    return (GwSessionOptions){
        .fill_hello = fill_hello_,
        .fill_sync_status = fill_sync_status_,
        .ops = &session_ops,
        .user = p,
        .counters = p->options.counters,
        .ping_interval = PEER_HEARTBEAT_INTERVAL,
        .silence_timeout = PEER_SILENCE_TIMEOUT,
    };
}

static void
on_ready_(void *user, GwSession *session, const Gw__Wire__Hello *hello)
{
    GwPeers *p = user;
    Peer *peer = find_peer_(p, session);

    if (peer == NULL) {
        peer = add_peer_(p);
        set_session_(peer, session);
    }
    g_strlcpy(peer->name, hello->instance, sizeof(peer->name));
    peer->is_entry = hello->role == GW__WIRE__ROLE__ROLE_ENTRY;
    peer->failure_domain = g_str_hash(hello->failure_domain);
    if (!peer->is_outbound)
        peer->owner_only = hello->limits_only;
    // Entries connect to no other entries except seeds.
    peer->list_peer.is_same_domain =
        g_strcmp0(hello->failure_domain, p->options.failure_domain) == 0;
    peer->list_peer.is_seed = peer->is_outbound && peer->is_entry;
    GwEvent_Begin(p->options.log, "peer_ready", NULL);
    GwEvent_Text(p->options.log, "peer", hello->instance);
    GwEvent_End(p->options.log);
    GwListSync_SendWeightsAges(&p->list_sync, session);
    GwPeersEngine_SendInitial(p, peer);
    GwDepartureSync_SendAll(session, GwView_Instances(p->options.view));
    GwEndpointLimitSync_SendAll(session,
                                GwView_EndpointLimits(p->options.view));
    if (p->options.quarantine != NULL)
        GwQuarantineSync_SendAll(session, p->options.quarantine);
}

static void
on_frame_(void *user, GwSession *session, const GwFrame *frame)
{
    GwPeers *p = user;
    Peer *peer = find_peer_(p, session);

    if (GwPeersUpdates_OnFrame(p, session, frame) ||
        GwPeersOwners_OnFrame(p, peer, session, frame))
        return;
    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_RECORDS_ASK:
        if (peer != NULL)
            GwListSync_OnRequest(&p->list_sync, &peer->list_peer,
                                 frame->records_ask);
        return;
    case GW__WIRE__FRAME__BODY_RECORDS_TELL:
        if (peer != NULL)
            GwListSync_OnRecords(&p->list_sync, &peer->list_peer,
                                 frame->records_tell);
        return;
    case GW__WIRE__FRAME__BODY_PREFILL_NOTE:
        GwPeersEngine_OnPrefillNote(p, peer, frame->prefill_note);
        return;
    case GW__WIRE__FRAME__BODY_ENGINE_STATE:
        if (peer != NULL)
            GwPeersEngine_OnEngineState(p, peer, frame->engine_state);
        return;
    case GW__WIRE__FRAME__BODY_KEPT_PARTS:
        if (peer != NULL)
            GwCacheSync_OnUpdate(&peer->cache_sync, frame->kept_parts,
                                 GwView_Instances(p->options.view));
        return;
    case GW__WIRE__FRAME__BODY_STREAM_ORIGIN_TELL:
        GwOriginSync_OnTell(&p->origin_sync, frame->stream_origin_tell);
        return;
    case GW__WIRE__FRAME__BODY_STREAM_ORIGIN_ASK:
        GwOriginSync_OnAsk(&p->origin_sync, GwView_Instances(p->options.view),
                           session, frame->stream_origin_ask);
        return;
    case GW__WIRE__FRAME__BODY_STREAM_ORIGIN_ANSWER:
        GwOriginSync_OnAnswer(&p->origin_sync, session,
                              frame->stream_origin_answer);
        return;
    case GW__WIRE__FRAME__BODY_WEIGHTS_AGE:
        GwListSync_OnWeightsAge(&p->list_sync, frame->weights_age);
        return;
    default:
        // Frames of galenagw's other programs.
        return;
    }
}

static void
on_sync_status_(void *user, GwSession *session,
                const GwSyncStatus *sync_status)
{
    GwPeers *p = user;
    Peer *peer = find_peer_(p, session);

    if (peer != NULL)
        GwListSync_OnSyncStatus(&p->list_sync, &peer->list_peer, sync_status);
}

static void
on_closed_(void *user, GwSession *session, bool silent)
{
    GwPeers *p = user;
    Peer *peer = find_peer_(p, session);

    if (peer == NULL)
        return;
    if (GwSession_WasReady(session)) {
        GwEvent_Begin(p->options.log, "peer_lost", NULL);
        GwEvent_Text(p->options.log, "address", peer->address.host);
        GwEvent_Text(p->options.log, "why", silent ? "silent" : "closed");
        GwEvent_End(p->options.log);
    }
    if (!silent)
        clear_agent_reports_(p, peer);
    if (p->options.limit_share != NULL)
        GwLimitShare_OwnerLost(p->options.limit_share, peer->address_hash,
                               GwTime_Now());
    GwOriginSync_OnClosed(&p->origin_sync, session);
    GwListSync_RemovePeer(&p->list_sync, &peer->list_peer);
    GwCacheSync_Clear(&peer->cache_sync);
    TAILQ_REMOVE(&p->peers, peer, link);
    g_free(peer);
}

// Discards the reports of an agent that has closed its session, but not those
// of one that has become silent: its engine may still serve requests.
static void
clear_agent_reports_(GwPeers *p, const Peer *peer)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances(p->options.view));

    for (guint i = 0; peer->is_outbound && i < all->len; i++) {
        GwInstance *instance = g_ptr_array_index(all, i);

        if (instance->model != NULL &&
            strcmp(instance->address.host, peer->address.host) == 0)
            instance->agent_report.at = 0;
    }
}

static void
fill_hello_(void *user, Gw__Wire__Hello *hello)
{
    GwPeers *p = user;

    hello->role = p->options.is_agent ? GW__WIRE__ROLE__ROLE_AGENT
                                      : GW__WIRE__ROLE__ROLE_ENTRY;
    hello->instance = (char *)p->options.name;
    hello->failure_domain = (char *)p->options.failure_domain;
}

static void
fill_owner_only_hello_(void *user, Gw__Wire__Hello *hello)
{
    fill_hello_(user, hello);
    hello->limits_only = true;
}

static void
fill_sync_status_(void *user, GwSyncStatus *sync_status)
{
    GwPeers *p = user;

    GwListSync_FillSyncStatus(&p->list_sync, sync_status);
}

static void
reconcile_(void *user)
{
    GwPeers *p = user;
    const GPtrArray *all = GwInstances_All(GwView_Instances(p->options.view));
    Peer *peer;
    Peer *next;

    GwInstances_Sweep(GwView_Instances(p->options.view), GwTime_Now());
    TAILQ_FOREACH(peer, &p->peers, link)
    peer->is_wanted = !peer->is_outbound;
    if (!p->options.is_agent)
        GwPeersFleet_UpdateFollowed(p, all);
    GwPeersOwners_UpdatePool(p);
    if (!p->options.is_agent) {
        connect_agents_(p, all, false);
        connect_agents_(p, all, true);
    }
    for (guint i = 0; i < p->followed_agents->len; i++)
        ensure_connected_(p, &g_array_index(p->followed_agents, GwAddress, i),
                          false);
    for (int i = 0; needs_seeds_(p) && i < p->options.n_seeds; i++) {
        if (!GwAddress_Equal(&p->options.seeds[i], &p->options.listen))
            ensure_connected_(p, &p->options.seeds[i], false);
    }
    for (peer = TAILQ_FIRST(&p->peers); peer != NULL; peer = next) {
        next = TAILQ_NEXT(peer, link);
        if (!peer->is_wanted)
            drop_peer_(peer);
    }
    GwTimer_Start(&p->reconcile_timer, reconcile_delay_(p));
}

// Deferred removals are applied when they are due, not at the next regular
// comparison.
static GwTime
reconcile_delay_(const GwPeers *p)
{
    GwTime now = GwTime_Now();
    GwTime due = GwInstances_NextRemovalAt(GwView_Instances(p->options.view));
    GwTime delay = now - p->list_changed_at < RECENT_CHANGE_PERIOD
                       ? RECONCILE_INTERVAL_AFTER_CHANGE
                       : RECONCILE_INTERVAL;

    return due > now ? MIN(delay, due - now) : delay;
}

// Connects to the agents of the followed engines or, if @p owner_only, to
// those of the limit owner pool.
static void
connect_agents_(GwPeers *p, const GPtrArray *all, bool owner_only)
{
    for (guint i = 0; i < all->len; i++) {
        const GwInstance *instance = g_ptr_array_index(all, i);
        GwAddress address = instance->address;

        if (instance->model == NULL)
            continue;
        address.port = p->options.agent_port;
        if (owner_only ? GwPeersOwners_AreNeeded(p) &&
                             GwLimitPool_Has(&p->owner_pool,
                                             GwPlacement_HashAddress(&address))
                       : instance->followed)
            ensure_connected_(p, &address, owner_only);
    }
}

// A session whose purpose has changed is reopened, because the agent is
// informed of the purpose in the Hello. A session that serves both purposes is
// kept.
static void
ensure_connected_(GwPeers *p, const GwAddress *address, bool owner_only)
{
    Peer *peer = GwPeers_FindOutbound(p, address);
    GwSessionOptions session = session_options_(p);

    if (owner_only)
        session.fill_hello = fill_owner_only_hello_;
    if (peer != NULL && !peer->is_wanted && peer->owner_only != owner_only) {
        drop_peer_(peer);
        peer = NULL;
    }
    if (peer == NULL) {
        peer = add_peer_(p);
        peer->is_outbound = true;
        peer->owner_only = owner_only;
        peer->address = *address;
        peer->address_hash = GwPlacement_HashAddress(address);
        set_session_(peer, GwSession_Connect(p->loop, address, &session));
    }
    peer->is_wanted = true;
}

static Peer *
add_peer_(GwPeers *p)
{
    Peer *peer = g_new0(Peer, 1);

    peer->owner = p;
    peer->list_peer.name = peer->name;
    TAILQ_INSERT_TAIL(&p->peers, peer, link);
    GwListSync_AddPeer(&p->list_sync, &peer->list_peer);
    return peer;
}

static void
set_session_(Peer *peer, GwSession *session)
{
    peer->session = session;
    peer->list_peer.session = session;
}

static Peer *
find_peer_(GwPeers *p, const GwSession *session)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->session == session)
            return peer;
    }
    return NULL;
}

Peer *
GwPeers_FindOutbound(const GwPeers *p, const GwAddress *address)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->is_outbound && GwAddress_Equal(&peer->address, address))
            return peer;
    }
    return NULL;
}

Peer *
GwPeers_FindReadyAgent(const GwPeers *p, uint64_t address_hash)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->is_outbound && peer->address_hash == address_hash &&
            GwSession_IsReady(peer->session))
            return peer;
    }
    return NULL;
}

static void
drop_peer_(Peer *peer)
{
    GwOriginSync_OnClosed(&peer->owner->origin_sync, peer->session);
    GwListSync_RemovePeer(&peer->owner->list_sync, &peer->list_peer);
    GwCacheSync_Clear(&peer->cache_sync);
    TAILQ_REMOVE(&peer->owner->peers, peer, link);
    GwSession_Close(peer->session);
    g_free(peer);
}

// Seeds may be outdated or down, and are as many hops away as agents, so they
// are used only until an agent is connected and routes are known.
static bool
needs_seeds_(const GwPeers *p)
{
    const Peer *peer;

    if (p->options.is_agent)
        return false;
    if (GwView_Routes(p->options.view) == NULL)
        return true;
    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->is_outbound && !peer->is_entry &&
            GwSession_IsReady(peer->session))
            return false;
    }
    return true;
}
