/**
 * @defgroup exchange Exchanges
 * @brief One caller's request, from its arrival to its only answer.
 *
 * An exchange requests offers from candidates, submits to the best one and
 * delivers the numbered chunks in order. After a failure it either retries in
 * a way that cannot run a non-idempotent call twice, or ends with a refusal
 * that states whether the request may have run. The steps submit, resume and
 * fence are modelled in spec/fence.pml under the same names.
 */
#ifndef GALENAGW_ENTRY_EXCHANGE_H
#define GALENAGW_ENTRY_EXCHANGE_H

#include "entry_private.h"
#include "exchange_request.h"

/* Start an exchange, which answers `call`. Takes over `request`'s strings. */
void Exchange_Start(GwEntry *entry, GwHttpCall *call,
                    const ExchangeRequest *request);
/* The caller closed its connection: cancel the attempt and delete. */
void Exchange_OnCallerClosed(Exchange *x);
/* The socket has taken all output: send an Ack that was withheld. */
void Exchange_OnCallerWritable(Exchange *x);
/* Delete all exchanges without answers. */
void Exchange_DeleteAll(GwEntry *entry);
/* The session to an agent became ready or was lost. */
void Exchange_OnPeerReady(Peer *peer);
void Exchange_OnPeerLost(Peer *peer);
/* The limit owner of `account` answered: check its waiting exchanges. */
void Exchange_OnCreditsChanged(GwEntry *entry, const char *account);

#endif
