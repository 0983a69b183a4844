/**
 * @defgroup exchange Exchanges
 * @brief One caller's request, from its arrival to its one answer.
 *
 * An exchange asks candidates for offers, submits to the best, delivers the
 * numbered chunks in order, and on each failure either goes on in a way
 * that cannot run a call twice or ends with a refusal that says what is
 * known. The steps have the names that spec/fence.pml gives them.
 */
#ifndef GALENAGW_ENTRY_EXCHANGE_H
#define GALENAGW_ENTRY_EXCHANGE_H

#include "entry_private.h"
#include "exchange_request.h"

/* Begin; `call` gets its answer from now on. */
void Exchange_Start(GwEntry *entry, GwHttpCall *call,
                    const ExchangeRequest *request);
/* The caller has left. */
void Exchange_CallerGone(Exchange *x);
/* The caller's socket has room again. */
void Exchange_CallerDrained(Exchange *x);
void Exchange_Clear(GwEntry *entry);
/* From the sessions to agents. */
void Exchange_PeerReady(Peer *peer);
void Exchange_PeerLost(Peer *peer);
/* The home of an account has answered. */
void Exchange_CreditsChanged(GwEntry *entry, const char *account);

#endif
