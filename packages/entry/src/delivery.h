/*
 * Delivery of an answer to its caller: chunk order, acknowledgement, and
 * recovery when an attempt fails.
 */
#ifndef GALENAGW_ENTRY_DELIVERY_H
#define GALENAGW_ENTRY_DELIVERY_H

#include "exchange_private.h"

/*
 * The current attempt failed: retry, continue elsewhere, submit to the holder
 * of the key, or refuse. @p refusal, @p holder and @p retry_after are from a
 * Refused frame: the agent that holds the claim for the request's key, or
 * NULL, and the time until a retry, or 0.
 */
void Delivery_OnAttemptFailed(Exchange *x, GwFailure failure,
                              GwRefusal refusal, GwRan ran, const char *holder,
                              GwTime retry_after);
/* State RESUMING: reconnect and resume, or time out. */
void Delivery_OnTimer(Exchange *x);
/* Acknowledge the delivered chunks, unless the caller reads too slowly. */
void Delivery_SendAck(Exchange *x);
void Delivery_OnChunk(Peer *peer, const Gw__Wire__Chunk *chunk);
void Delivery_OnFinal(Peer *peer, const Gw__Wire__Final *final);
void Delivery_OnRefused(Peer *peer, const Gw__Wire__Refused *refused);
void Delivery_OnResumeResult(Peer *peer, const Gw__Wire__ResumeResult *result);
/* Resume the exchanges that were submitted to @p peer. */
void Delivery_OnPeerReady(Peer *peer);
/* Set the exchanges that were submitted to @p peer to RESUMING. */
void Delivery_OnPeerLost(Peer *peer);

#endif
