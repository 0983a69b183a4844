/* The agents of the limit owner pool: limits of accounts and of endpoints, and
 * the slack of the retry budgets. */
#include "galenagw/cluster/peers.h"

#include <string.h>
#include <xxhash.h>

#include "endpoint_limit_sync.h"
#include "limit_messages.h"
#include "peers_private.h"
#include "retry_lease_sync.h"
#include "galenagw/routing/placement.h"

// Demands of one round; see GW_ENDPOINT_DEMANDS_MAX.
typedef struct {
    GwPeers *peers;
    unsigned n_sent;
} DemandRound;

static void send_demand_(void *user, const GwEndpointLimit *limit);
static Peer *find_share_owner_(GwPeers *p, const char *endpoint);
static void on_endpoint_demand_(GwPeers *p, const Peer *peer,
                                const Gw__Wire__EndpointDemand *msg);
static void on_limit_request_(GwPeers *p, GwSession *session,
                              const Gw__Wire__CreditAsk *msg);
static void on_retry_lease_(GwPeers *p, const Peer *peer,
                            const Gw__Wire__RetryLease *msg);

bool
GwPeers_AskLimitOwner(GwPeers *p, uint64_t owner_hash,
                      const GwLimitRequest *request)
{
    Peer *peer = GwPeers_FindReadyAgent(p, owner_hash);

    if (peer != NULL)
        GwLimitMessages_SendRequest(peer->session, request);
    return peer != NULL;
}

bool
GwPeers_AskRetrySlack(GwPeers *p, uint64_t owner_hash, const char *service,
                      const GwRetryLeaseRequest *request)
{
    Peer *peer = GwPeers_FindReadyAgent(p, owner_hash);

    if (peer != NULL)
        GwRetryLeaseSync_SendRequest(peer->session, service, request);
    return peer != NULL;
}

void
GwPeers_WantOriginOwners(GwPeers *p, bool wanted)
{
    if (wanted && !p->wants_origin_owners)
        GwPeers_ListChanged(p);
    p->wants_origin_owners = wanted;
}

void
GwPeersOwners_UpdatePool(GwPeers *p)
{
    int64_t end =
        GwRecords_End(GwView_Records(p->options.view), GW_LIST_INSTANCES);
    GwAddress own = p->options.listen;
    uint64_t self;

    if (end == p->owner_pool_end && p->owner_pool.n > 0)
        return;
    own.port = p->options.agent_port;
    self = GwPlacement_HashAddress(&own);
    p->owner_pool =
        GwLimitMessages_OwnerPool(p->options.view, p->options.agent_port);
    p->owner_pool_end = end;
    if (p->options.limit_owner != NULL)
        GwLimitOwner_SetPool(p->options.limit_owner, &p->owner_pool, self,
                             GwTime_Now());
    if (p->options.limit_share != NULL)
        GwLimitShare_SetPool(p->options.limit_share, &p->owner_pool);
    if (p->options.retry_slack != NULL)
        GwRetrySlack_SetOwners(
            p->options.retry_slack,
            GwLimitPool_Has(&p->owner_pool, self) ? p->owner_pool.n : 0,
            GwTime_Now());
    if (p->options.retry_leases != NULL)
        GwRetryLeases_SetOwners(p->options.retry_leases, p->owner_pool.nodes,
                                p->owner_pool.n);
}

bool
GwPeersOwners_AreNeeded(const GwPeers *p)
{
    const GwRoutes *routes = GwView_Routes(p->options.view);

    return p->wants_origin_owners || p->options.retry_leases != NULL ||
           (routes != NULL && routes->has_limits) ||
           GwEndpointLimits_AreInEffect(GwView_EndpointLimits(p->options.view),
                                        GwTime_Now());
}

void
GwPeersOwners_SendDemands(void *user)
{
    GwPeers *p = user;
    DemandRound round = {p, 0};

    GwEndpointLimits_Each(GwView_EndpointLimits(p->options.view), GwTime_Now(),
                          send_demand_, &round);
    GwTimer_Start(&p->demand_timer, GW_ENDPOINT_DEMAND_INTERVAL);
}

bool
GwPeersOwners_OnFrame(GwPeers *p, const Peer *peer, GwSession *session,
                      const GwFrame *frame)
{
    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_ENDPOINT_DEMAND:
        if (peer != NULL)
            on_endpoint_demand_(p, peer, frame->endpoint_demand);
        return true;
    case GW__WIRE__FRAME__BODY_CREDIT_ASK:
        if (p->options.limit_owner != NULL)
            on_limit_request_(p, session, frame->credit_ask);
        return true;
    case GW__WIRE__FRAME__BODY_CREDIT_GRANT:
        if (peer != NULL && p->options.limit_share != NULL)
            GwLimitMessages_OnGrant(p->options.limit_share, peer->address_hash,
                                    frame->credit_grant);
        return true;
    case GW__WIRE__FRAME__BODY_RETRY_LEASE:
        if (peer != NULL)
            on_retry_lease_(p, peer, frame->retry_lease);
        return true;
    default:
        return false;
    }
}

static void
send_demand_(void *user, const GwEndpointLimit *limit)
{
    DemandRound *round = user;
    GwPeers *p = round->peers;
    const GwInstance *instance =
        GwInstances_Find(GwView_Instances(p->options.view), limit->id);
    Peer *owner = find_share_owner_(p, limit->id);
    GwEndpointDemand demand;

    // Entries that don't follow an engine send it nothing while it has a
    // limit.
    if (instance == NULL || owner == NULL ||
        (instance->model != NULL && !instance->followed) ||
        round->n_sent >= GW_ENDPOINT_DEMANDS_MAX ||
        !GwEndpointLimits_Report(GwView_EndpointLimits(p->options.view),
                                 instance,
                                 GwPeers_EntriesSendingTo(p, instance),
                                 owner->address_hash, GwTime_Now(), &demand))
        return;
    round->n_sent++;
    GwEndpointLimitSync_SendDemand(owner->session, limit->id, &demand);
}

// The connected agent of the owner pool with the highest rank for the
// endpoint. Entries that choose different agents divide their parts of the
// limit separately.
static Peer *
find_share_owner_(GwPeers *p, const char *endpoint)
{
    uint64_t nodes[GW_LIMIT_POOL_MAX];
    unsigned n = GwLimitPool_Rank(&p->owner_pool,
                                  XXH64(endpoint, strlen(endpoint), 0), nodes);
    Peer *peer = NULL;

    for (unsigned i = 0; i < n && peer == NULL; i++)
        peer = GwPeers_FindReadyAgent(p, nodes[i]);
    return peer;
}

static void
on_endpoint_demand_(GwPeers *p, const Peer *peer,
                    const Gw__Wire__EndpointDemand *msg)
{
    if (p->endpoint_shares != NULL)
        GwEndpointLimitSync_OnDemand(peer->session, p->endpoint_shares,
                                     XXH64(peer->name, strlen(peer->name), 0),
                                     msg);
    else
        GwEndpointLimitSync_OnShare(GwView_EndpointLimits(p->options.view),
                                    peer->address_hash, msg);
}

static void
on_limit_request_(GwPeers *p, GwSession *session,
                  const Gw__Wire__CreditAsk *msg)
{
    GwPeersOwners_UpdatePool(p);
    GwLimitMessages_OnRequest(session, p->options.limit_owner, p->options.view,
                              &p->options.limit_tolerance, msg);
}

static void
on_retry_lease_(GwPeers *p, const Peer *peer, const Gw__Wire__RetryLease *msg)
{
    unsigned granted;

    if (p->options.retry_slack != NULL) {
        GwPeersOwners_UpdatePool(p);
        granted = GwRetryLeaseSync_OnRequest(peer->session,
                                             p->options.retry_slack, msg);
        GwCounters_Add(p->options.counters, GW_COUNTER_RETRIES_GRANTED,
                       granted);
    }
    else if (p->options.retry_leases != NULL)
        GwRetryLeaseSync_OnGrant(p->options.retry_leases, peer->address_hash,
                                 msg);
}
