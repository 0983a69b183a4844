/* Requests under which endpoints ended, as agents tell. */
#ifndef GALENAGW_ENTRY_SUSPECTS_H
#define GALENAGW_ENTRY_SUSPECTS_H

#include "exchange_private.h"

void Suspects_Init(GwEntry *entry);
void Suspects_Stop(GwEntry *entry);
/* How long the request must not be sent; 0: it may be, and is. */
GwTime Suspects_Admit(const Exchange *x);
/* Whether so many endpoints ended under it that a repeat at once would only
 * end one more. */
bool Suspects_IsLast(const Exchange *x);
/* An agent has been connected to. */
void Suspects_TellAll(Peer *peer);
/* @return false if @p frame is about something else */
bool Suspects_Take(Peer *peer, const GwFrame *frame);
/* Forget what is old; who shares in trials may have changed. */
void Suspects_Sweep(GwEntry *entry, GwTime now);

#endif
