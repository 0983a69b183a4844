/**
 * @defgroup peers Peers
 * @brief The entry's sessions to agents.
 *
 * Sessions are opened when an exchange needs one and closed when idle. A
 * session that receives nothing, or no pong, for options.silence_timeout is
 * closed, and a new connection is opened at once: a NAT or firewall may have
 * dropped its state of the old connection while the agent is alive.
 */
#ifndef GALENAGW_ENTRY_PEERS_H
#define GALENAGW_ENTRY_PEERS_H

#include "entry_private.h"

struct Peer {
    GwEntry *entry;
    GwMember *member;
    GwSession *session;
    struct ExchangeList exchanges; /* submitted to the agent, not completed */
    int in_flight;                 /* number of exchanges */
    GwTime last_used; /* last connect, probe, submission or completion */
    GwTime rtt;       /* smoothed round-trip time of probes */
};

/* The peer of a member, created on first use. */
Peer *Peers_Get(GwEntry *entry, GwMember *member);
/* Open a session unless there is one, the member's backoff is not over, or
 * the member was removed from the instance list. */
void Peers_Connect(Peer *peer);
bool Peers_IsReady(const Peer *peer);
/* Reopen sessions that exchanges or suspect members need; close idle ones. */
void Peers_Tick(GwEntry *entry, GwTime now);
/* Close all sessions without callbacks and free the peers. */
void Peers_DeleteAll(GwEntry *entry);
/* The agent that rendezvous hashing selects for `key` among the usable agents
 * of `pool` (NULL: of all pools), such as an account's limit owner; or NULL.
 */
Peer *Peers_Owner(GwEntry *entry, const char *pool, uint64_t key);

#endif
