/* Updates that each process forwards to its peers: terminations and
 * completions, departures and limits of endpoints. */
#include "galenagw/cluster/peers.h"

#include "departure_sync.h"
#include "endpoint_limit_sync.h"
#include "peers_private.h"

/* Iterates over the ready peers, except the one whose session is @p from. */
#define FOREACH_OTHER_PEER_(peer, p, from)                                    \
    TAILQ_FOREACH(peer, &(p)->peers, link)                                    \
    if ((peer)->session != (from) && GwSession_IsReady((peer)->session))

static void on_departure_(GwPeers *p, const GwSession *from,
                          const Gw__Wire__EndpointLeaving *msg);
static void on_limit_(GwPeers *p, const GwSession *from,
                      const Gw__Wire__EndpointLimit *msg);
static void on_quarantine_update_(void *user, GwSession *from,
                                  const GwQuarantineUpdate *update);
static void broadcast_departure_(GwPeers *p, const GwSession *from,
                                 const GwDepartureUpdate *departure,
                                 GwUpdateSource source);
static void broadcast_endpoint_limit_(GwPeers *p, const GwSession *from,
                                      const GwEndpointLimit *limit,
                                      GwUpdateSource source);

static const GwQuarantineSyncOps quarantine_ops = {.on_update =
                                                       on_quarantine_update_};

void
GwPeers_NoteLeaving(GwPeers *p, const GwInstance *instance,
                    GwUpdateSource from)
{
    GwTime now = GwTime_Now();
    GwDepartureUpdate departure = {instance->id, instance->incarnation, now};

    if (GwInstances_SetLeaving(GwView_Instances(p->options.view), departure.id,
                               departure.incarnation, now, now))
        broadcast_departure_(p, NULL, &departure, from);
}

void
GwPeers_NoteLimit(GwPeers *p, const GwInstance *instance, double rate,
                  GwUpdateSource from)
{
    GwTime now = GwTime_Now();
    GwEndpointLimit limit = {instance->id, instance->incarnation, rate, now,
                             0};

    if (GwEndpointLimits_Note(GwView_EndpointLimits(p->options.view), &limit,
                              g_get_real_time() / GW_MILLISECOND, now))
        broadcast_endpoint_limit_(p, NULL, &limit, from);
}

void
GwPeers_BroadcastQuarantine(GwPeers *p, const GwQuarantineUpdate *update)
{
    on_quarantine_update_(p, NULL, update);
}

bool
GwPeersUpdates_OnFrame(GwPeers *p, GwSession *session, const GwFrame *frame)
{
    if (p->options.quarantine != NULL &&
        GwQuarantineSync_OnFrame(p->options.quarantine, session, frame,
                                 &quarantine_ops, p))
        return true;
    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_ENDPOINT_LEAVING:
        on_departure_(p, session, frame->endpoint_leaving);
        return true;
    case GW__WIRE__FRAME__BODY_ENDPOINT_LIMIT:
        on_limit_(p, session, frame->endpoint_limit);
        return true;
    default:
        return false;
    }
}

static void
on_departure_(GwPeers *p, const GwSession *from,
              const Gw__Wire__EndpointLeaving *msg)
{
    GwDepartureUpdate departure;

    if (GwDepartureSync_OnUpdate(GwView_Instances(p->options.view), msg,
                                 &departure))
        broadcast_departure_(p, from, &departure, GW_SOURCE_PEER);
}

static void
on_limit_(GwPeers *p, const GwSession *from,
          const Gw__Wire__EndpointLimit *msg)
{
    GwEndpointLimit limit;

    if (GwEndpointLimitSync_OnUpdate(GwView_EndpointLimits(p->options.view),
                                     msg, &limit))
        broadcast_endpoint_limit_(p, from, &limit, GW_SOURCE_PEER);
}

// Forwards an update to all peers except its sender. Entries and agents are
// connected to each other but not among themselves, so an update of one entry
// reaches the other entries through its agents.
static void
on_quarantine_update_(void *user, GwSession *from,
                      const GwQuarantineUpdate *update)
{
    GwPeers *p = user;
    Peer *peer;

    FOREACH_OTHER_PEER_(peer, p, from)
    GwQuarantineSync_Send(peer->session, update);
    if (from != NULL && update->is_termination &&
        p->options.on_endpoint_terminated != NULL)
        p->options.on_endpoint_terminated(p->options.user,
                                          &update->termination);
}

static void
broadcast_departure_(GwPeers *p, const GwSession *from,
                     const GwDepartureUpdate *departure, GwUpdateSource source)
{
    Peer *peer;

    GwEvent_Begin(p->options.log, "endpoint_leaving", NULL);
    GwEvent_Text(p->options.log, "instance", departure->id);
    GwEvent_Text(p->options.log, "learned_from", GwUpdateSource_Names[source]);
    GwEvent_End(p->options.log);
    FOREACH_OTHER_PEER_(peer, p, from)
    GwDepartureSync_Send(peer->session, departure);
}

static void
broadcast_endpoint_limit_(GwPeers *p, const GwSession *from,
                          const GwEndpointLimit *limit, GwUpdateSource source)
{
    Peer *peer;

    GwEvent_Begin(p->options.log, "endpoint_limit", NULL);
    GwEvent_Text(p->options.log, "instance", limit->id);
    if (limit->rate >= 0)
        GwEvent_Real(p->options.log, "rate", limit->rate);
    else
        GwEvent_Text(p->options.log, "rate", "none");
    GwEvent_Number(p->options.log, "version", limit->version);
    GwEvent_Text(p->options.log, "learned_from", GwUpdateSource_Names[source]);
    GwEvent_End(p->options.log);
    FOREACH_OTHER_PEER_(peer, p, from)
    GwEndpointLimitSync_Send(peer->session, limit);
}
