#define GW_LOG_PART "entry"
#include "peers.h"

#include <inttypes.h>
#include <string.h>

#include "galenagw/base/log.h"
#include "galenagw/sync/config_sync.h"

#define SESSION_IDLE_TIMEOUT (60 * GW_SECOND)
/* Start value of a peer's smoothed round-trip time of probes. */
#define INITIAL_RTT_US (300)
/* A session that is not ready within this time is closed. */
#define SESSION_CONNECT_TIMEOUT (500 * GW_MILLISECOND)

static void fill_hello_(void *user, Gw__Wire__Hello *hello);
static void fill_sync_status_(void *user, GwSyncStatus *sync_status);
static void on_ready_(void *user, GwSession *session,
                      const Gw__Wire__Hello *hello);
static void on_frame_(void *user, GwSession *session, const GwFrame *frame);
static void on_sync_status_(void *user, GwSession *session,
                            const GwSyncStatus *sync_status);
static void on_closed_(void *user, GwSession *session, bool silent);
static void check_session_(Peer *peer, GwTime now);
static void drop_session_(Peer *peer);

static const GwSessionOps session_ops = {on_ready_, on_frame_, on_sync_status_,
                                         on_closed_};

Peer *
Peers_Get(GwEntry *entry, GwMember *member)
{
    Peer *peer = member->user;

    if (peer != NULL)
        return peer;
    peer = g_new0(Peer, 1);
    peer->entry = entry;
    peer->member = member;
    peer->rtt = INITIAL_RTT_US;
    peer->last_used = GwTime_Now();
    TAILQ_INIT(&peer->exchanges);
    member->user = peer;
    return peer;
}

void
Peers_Connect(Peer *peer)
{
    GwEntry *entry = peer->entry;
    GwTime now = GwTime_Now();
    GwSessionOptions options = {
        .fill_hello = fill_hello_,
        .fill_sync_status = fill_sync_status_,
        .ops = &session_ops,
        .user = peer,
        .counters = &entry->counters,
        .ping_interval = entry->options.silence_timeout / 3,
        .silence_timeout = entry->options.silence_timeout,
    };

    peer->last_used = now;
    if (peer->session != NULL || !GwMembership_MayConnect(peer->member, now))
        return;
    peer->session =
        GwSession_Connect(entry->loop, &peer->member->address, &options);
}

bool
Peers_IsReady(const Peer *peer)
{
    return peer->session != NULL && GwSession_IsReady(peer->session);
}

void
Peers_Tick(GwEntry *entry, GwTime now)
{
    const GPtrArray *all = GwMembership_All(entry->members);

    for (guint i = 0; i < all->len; i++) {
        Peer *peer = ((GwMember *)all->pdata[i])->user;

        if (peer != NULL)
            check_session_(peer, now);
    }
}

void
Peers_DeleteAll(GwEntry *entry)
{
    const GPtrArray *all = GwMembership_All(entry->members);

    for (guint i = 0; i < all->len; i++) {
        GwMember *member = all->pdata[i];
        Peer *peer = member->user;

        if (peer == NULL)
            continue;
        GwSession_Close(peer->session);
        member->user = NULL;
        g_free(peer);
    }
}

Peer *
Peers_Owner(GwEntry *entry, const char *pool, uint64_t key)
{
    const GPtrArray *list = pool != NULL
                                ? GwMembership_Pool(entry->members, pool)
                                : GwMembership_All(entry->members);
    GwTime now = GwTime_Now();
    GwMember *best = NULL;
    uint64_t best_weight = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        GwMember *member = list->pdata[i];
        uint64_t w = GwCandidates_Weight(key, member->id);

        if (!GwMembership_IsUsable(member, now) ||
            (best != NULL && w <= best_weight))
            continue;
        best = member;
        best_weight = w;
    }
    return best != NULL ? Peers_Get(entry, best) : NULL;
}

static void
fill_hello_(void *user, Gw__Wire__Hello *hello)
{
    GwEntry *entry = ((Peer *)user)->entry;

    hello->role = GW__WIRE__ROLE__ROLE_ENTRY;
    hello->instance = (char *)entry->options.name;
    hello->failure_domain = (char *)entry->options.failure_domain;
    hello->incarnation = entry->incarnation;
    hello->pool = "";
}

static void
fill_sync_status_(void *user, GwSyncStatus *sync_status)
{
    sync_status->revision = GwConfigFeed_Revision(((Peer *)user)->entry->feed);
}

static void
on_ready_(void *user, GwSession *session, const Gw__Wire__Hello *hello)
{
    Peer *peer = user;

    if (strcmp(hello->instance, peer->member->name) != 0)
        GW_WARN("instance %s answered at the address listed for %s; check the "
                "instance list",
                hello->instance, peer->member->name);
    GwMembership_Hello(peer->entry->members, peer->member, hello->incarnation,
                       hello->leaving);
    peer->entry->peer_ops->on_peer_ready(peer);
}

static void
on_frame_(void *user, GwSession *session, const GwFrame *frame)
{
    Peer *peer = user;
    GwEntry *entry = peer->entry;

    if (GwConfigSync_OnFrame(entry->feed, session, frame))
        return;
    if (frame->body_case == GW__WIRE__FRAME__BODY_LEAVING)
        GwMembership_Leaving(entry->members, peer->member);
    else
        entry->peer_ops->on_peer_frame(peer, frame);
}

static void
on_sync_status_(void *user, GwSession *session,
                const GwSyncStatus *sync_status)
{
    GwConfigSync_OnRevision(((Peer *)user)->entry->feed, session,
                            sync_status->revision);
}

static void
on_closed_(void *user, GwSession *session, bool silent)
{
    Peer *peer = user;
    GwTime now = GwTime_Now();
    bool was_ready = GwSession_WasReady(session);

    peer->session = NULL;
    GwMembership_Lost(peer->entry->members, peer->member, now);
    // After a session that was ready reconnect at once: possibly only its
    // connection failed. Otherwise the member's backoff applies.
    if (was_ready) {
        peer->member->retry_at = 0;
        if (!TAILQ_EMPTY(&peer->exchanges))
            Peers_Connect(peer);
    }
    peer->entry->peer_ops->on_peer_lost(peer);
}

static void
check_session_(Peer *peer, GwTime now)
{
    GwMember *member = peer->member;
    bool suspect = member->state == GW_MEMBER_SUSPECT;

    if (peer->session != NULL && !Peers_IsReady(peer) &&
        now - peer->last_used > SESSION_CONNECT_TIMEOUT) {
        drop_session_(peer);
        return;
    }
    if (peer->session == NULL) {
        // Reconnect to a suspect member until it answers or is removed from
        // the instance list.
        if (suspect || !TAILQ_EMPTY(&peer->exchanges))
            Peers_Connect(peer);
        return;
    }
    if (TAILQ_EMPTY(&peer->exchanges) &&
        now - peer->last_used > SESSION_IDLE_TIMEOUT)
        drop_session_(peer);
}

static void
drop_session_(Peer *peer)
{
    bool was_ready = Peers_IsReady(peer);

    GwSession_Close(peer->session);
    peer->session = NULL;
    if (was_ready)
        return;
    GwMembership_Lost(peer->entry->members, peer->member, GwTime_Now());
    peer->entry->peer_ops->on_peer_lost(peer);
}
