#include "peers_private.h"

#include "galenagw/cluster/peers.h"
#include "galenagw/routing/subset.h"

/* Time after which all processes of a fleet are assumed to be connected,
 * counted from the last time at which this process had no ready peer; see
 * GwPeersFleet_UpdateFollowed. */
#define FLEET_SETTLE_TIME (3 * GW_SECOND)
/* Number of entries assumed if no agent has reported a number. The slack of
 * the retry budget is divided by it, so the number is high to keep all entries
 * together within the budget. */
#define ENTRIES_DEFAULT 8

static unsigned estimate_entries_(const GwPeers *p);
static double mean_reported_entries_(const GwPeers *p);
static unsigned count_engines_(const GwPeers *p);
static bool has_ready_peer_(const GwPeers *p);

// Each engine has one agent, so the engines in the list are counted as agents.
unsigned
GwPeers_ClusterSize(const GwPeers *p)
{
    unsigned engines = count_engines_(p);

    if (!has_ready_peer_(p))
        return 1;
    return MAX(estimate_entries_(p) + engines, 1);
}

unsigned
GwPeers_Entries(const GwPeers *p)
{
    unsigned n = estimate_entries_(p);

    return n > 0 ? n : ENTRIES_DEFAULT;
}

// Only engines (instances with a model) have an agent. For other instances,
// and while the agent has reported no number, all entries are counted.
unsigned
GwPeers_EntriesSendingTo(const GwPeers *p, const GwInstance *instance)
{
    GwAddress address = instance->address;
    const Peer *agent;

    address.port = p->options.agent_port;
    agent = instance->model != NULL ? GwPeers_FindOutbound(p, &address) : NULL;
    return agent != NULL && agent->entries > 0 ? agent->entries
                                               : GwPeers_Entries(p);
}

// The number of entries is estimated from the reports of agents. When the
// whole fleet starts, entries connect to an agent one after the other, so the
// first numbers reported are too low. The fewer entries there are, the more
// engines each of them follows, so with these numbers each entry would follow
// all engines. The number therefore counts as unknown until the fleet has
// settled.
void
GwPeersFleet_UpdateFollowed(GwPeers *p, const GPtrArray *all)
{
    GwTime now = GwTime_Now();
    bool is_settled;

    if (!has_ready_peer_(p))
        p->last_unconnected_at = now;
    is_settled = now - p->last_unconnected_at >= FLEET_SETTLE_TIME;
    p->followed_engines = GwSubset_Size(count_engines_(p),
                                        is_settled ? estimate_entries_(p) : 0);
    GwSubset_Mark(all, p->options.name, p->followed_engines);
}

// Estimates the number of entries from the reports of agents or, in an agent,
// from the connected entries; 0: unknown. Each entry follows only a part of
// the engines, so the number of entries per engine is scaled by the ratio of
// all engines to those that one entry follows.
static unsigned
estimate_entries_(const GwPeers *p)
{
    unsigned engines = count_engines_(p);

    // An agent does not know how many engines each entry follows and assumes
    // the minimum (GwSubset_Size for an unknown number of entries), which
    // gives the highest number of entries. An estimate that is too high only
    // makes the agent read the store less often, because in larger fleets a
    // smaller share of the processes reads the lists.
    if (p->options.is_agent)
        return GwSubset_Entries(GwPeersEngine_CountEntries(p), engines,
                                GwSubset_Size(engines, 0));
    return GwSubset_Entries(mean_reported_entries_(p), engines,
                            p->followed_engines);
}

// Mean number of entries that follow an engine, over the connected agents that
// have reported a number; 0: none has.
static double
mean_reported_entries_(const GwPeers *p)
{
    const Peer *peer;
    double sum = 0;
    unsigned n = 0;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        sum += peer->entries;
        n += peer->entries > 0;
    }
    return n > 0 ? sum / n : 0;
}

static unsigned
count_engines_(const GwPeers *p)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances(p->options.view));
    unsigned n = 0;

    for (guint i = 0; i < all->len; i++)
        n += ((const GwInstance *)g_ptr_array_index(all, i))->model != NULL;
    return n;
}

static bool
has_ready_peer_(const GwPeers *p)
{
    const Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (GwSession_IsReady(peer->session))
            return true;
    }
    return false;
}
