/*
 * Choice of the endpoint for an attempt: a probe round collects offers of
 * candidates, then the request is submitted to the best one.
 */
#ifndef GALENAGW_ENTRY_PLACEMENT_H
#define GALENAGW_ENTRY_PLACEMENT_H

#include "exchange_private.h"

/* Choose a member for the next attempt; waits or refuses if there is none. */
void Placement_Start(Exchange *x);
/* The probe round timed out: choose among the offers received. */
void Placement_OnTimer(Exchange *x);
/* Exclude @p member from further rounds of the exchange. */
void Placement_MarkTried(Exchange *x, const GwMember *member);
/* Start a new attempt at @p peer, whose session must be ready. */
void Placement_Submit(Exchange *x, Peer *peer);
void Placement_OnOffer(Peer *peer, const Gw__Wire__Offer *offer);
/* Send the probes that waited for the session to @p peer. */
void Placement_OnPeerReady(Peer *peer);
/* Count @p peer as failed in the probe rounds that include it. */
void Placement_OnPeerLost(Peer *peer);

#endif
