/**
 * @defgroup peers Peers
 * @brief The entry's sessions to agents.
 *
 * Sessions are opened when an exchange needs one, and closed when idle. A
 * session that falls silent is dropped and a new connection is tried at
 * once: something between the ends may have lost track of the old one
 * while the agent is well.
 */
#ifndef GALENAGW_ENTRY_PEERS_H
#define GALENAGW_ENTRY_PEERS_H

#include "entry_private.h"

struct Peer {
    GwEntry *entry;
    GwMember *member;
    GwSession *session;
    struct ExchangeList exchanges; /* submitted here and not ended */
    int in_flight;
    GwTime last_used;
    GwTime rtt; /* smoothed round trip of probes */
};

/* The peer of a member; made on first use. */
Peer *Peers_Get(GwEntry *entry, GwMember *member);
/* Open a session if there is none and one may be tried. */
void Peers_Connect(Peer *peer);
bool Peers_IsReady(const Peer *peer);
/* Retry connections that exchanges wait for; close idle sessions. */
void Peers_Tick(GwEntry *entry, GwTime now);
void Peers_Clear(GwEntry *entry);
/* The agent that is home of `key`'s account or call, or NULL. */
Peer *Peers_Home(GwEntry *entry, const char *pool, uint64_t key);

#endif
