/* The answer's way to its caller: order, acknowledgement, recovery. */
#ifndef GALENAGW_ENTRY_DELIVERY_H
#define GALENAGW_ENTRY_DELIVERY_H

#include "exchange_private.h"

void Delivery_Fail(Exchange *x, GwFailure failure, GwRefusal refusal,
                   GwRan ran, const char *holder, GwTime retry_after);
void Delivery_OnTimer(Exchange *x);
void Delivery_Ack(Exchange *x);
void Delivery_OnChunk(Peer *peer, const Gw__Wire__Chunk *chunk);
void Delivery_OnFinal(Peer *peer, const Gw__Wire__Final *final);
void Delivery_OnRefused(Peer *peer, const Gw__Wire__Refused *refused);
void Delivery_OnResumeResult(Peer *peer, const Gw__Wire__ResumeResult *result);
/* Exchanges that were submitted to @p peer. */
void Delivery_PeerReady(Peer *peer);
void Delivery_PeerLost(Peer *peer);

#endif
