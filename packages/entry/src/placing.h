/* Which endpoint gets an attempt: rounds of offers, then a submission. */
#ifndef GALENAGW_ENTRY_PLACING_H
#define GALENAGW_ENTRY_PLACING_H

#include "exchange_private.h"

void Placing_Start(Exchange *x);
void Placing_OnTimer(Exchange *x);
void Placing_NoteTried(Exchange *x, const GwMember *member);
void Placing_Submit(Exchange *x, Peer *peer);
void Placing_OnOffer(Peer *peer, const Gw__Wire__Offer *offer);
/* Rounds that ask @p peer. */
void Placing_PeerReady(Peer *peer);
void Placing_PeerLost(Peer *peer);

#endif
