#include "galenagw/cluster/peers.h"
#include "peers_private.h"

/* Number of agents that the origin of a stream is sent to: it remains known if
 * one of them fails. */
#define ORIGIN_COPIES 2

static unsigned select_owners_(const GwPeers *p, uint64_t stream,
                               const Peer *owners[ORIGIN_COPIES]);
static void ask_agent_(GwOriginAsk *ask, const Peer *peer,
                       const GwFrame *frame);

void
GwPeers_TellStreamOrigin(GwPeers *p, uint64_t stream, uint64_t software)
{
    const Peer *owners[ORIGIN_COPIES];
    unsigned n = select_owners_(p, stream, owners);
    GW_FRAME(frame, msg, STREAM_ORIGIN_TELL, StreamOriginTell,
             stream_origin_tell);

    msg.stream = stream;
    msg.software = software;
    for (unsigned i = 0; i < n; i++)
        GwSession_Send(owners[i]->session, &frame);
    GwCounters_Add(p->options.counters, GW_COUNTER_ORIGINS_TOLD, n);
}

void
GwPeers_AskStreamOrigin(GwPeers *p, uint64_t stream, GwOriginAsk *ask)
{
    GW_FRAME(frame, msg, STREAM_ORIGIN_ASK, StreamOriginAsk,
             stream_origin_ask);
    Peer *peer;

    msg.stream = stream;
    msg.service = ask->service != NULL ? (char *)ask->service : "";
    ask->stream = stream;
    ask->software = 0;
    ask->versions = 0;
    ask->n_answers = 0;
    ask->answer = GW_ORIGIN_NO_ANSWER;
    ask->has_failed = false;
    ask->n_asked = 0;
    for (unsigned i = 0; i < p->owner_pool.n; i++)
        ask_agent_(ask, GwPeers_FindReadyAgent(p, p->owner_pool.nodes[i]),
                   &frame);
    ask->n_owners = ask->n_asked;
    // Agents that have left the pool since the stream began, as when endpoints
    // are replaced, still store its origin.
    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->is_outbound && !peer->is_entry &&
            GwSession_IsReady(peer->session) &&
            !GwLimitPool_Has(&p->owner_pool, peer->address_hash))
            ask_agent_(ask, peer, &frame);
    }
    GwOriginSync_Wait(&p->origin_sync, p->loop, ask);
    GwCounters_Add(p->options.counters, GW_COUNTER_ORIGIN_ASKS, 1);
}

// Writes the connected agents of the pool with the highest ranks for the
// stream. The second one is of another failure domain than the first if any
// is. Returns their number.
static unsigned
select_owners_(const GwPeers *p, uint64_t stream,
               const Peer *owners[ORIGIN_COPIES])
{
    uint64_t nodes[GW_LIMIT_POOL_MAX];
    unsigned n_nodes = GwLimitPool_Rank(&p->owner_pool, stream, nodes);
    const Peer *second = NULL; /* of the first one's failure domain */
    unsigned n = 0;

    for (unsigned i = 0; i < n_nodes && n < ORIGIN_COPIES; i++) {
        const Peer *peer = GwPeers_FindReadyAgent(p, nodes[i]);

        if (peer == NULL)
            continue;
        if (n == 0 || peer->failure_domain != owners[0]->failure_domain)
            owners[n++] = peer;
        else if (second == NULL)
            second = peer;
    }
    if (n == 1 && second != NULL)
        owners[n++] = second;
    return n;
}

static void
ask_agent_(GwOriginAsk *ask, const Peer *peer, const GwFrame *frame)
{
    if (peer == NULL || ask->n_asked == GW_ORIGIN_ASKED_MAX)
        return;
    GwSession_Send(peer->session, frame);
    ask->asked[ask->n_asked++] = peer->session;
}
