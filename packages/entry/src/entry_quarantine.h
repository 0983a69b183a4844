/* Quarantine of requests during which endpoints terminated; agents report the
 * terminations. */
#ifndef GALENAGW_ENTRY_ENTRY_QUARANTINE_H
#define GALENAGW_ENTRY_ENTRY_QUARANTINE_H

#include "exchange_private.h"

void EntryQuarantine_Init(GwEntry *entry);
void EntryQuarantine_Stop(GwEntry *entry);
/* Computes by what the request is recognized. @p root: the parsed body; NULL:
 * it is no prompt. */
void EntryQuarantine_Identify(Exchange *x, const json_t *root);
/* Time until the request may be sent; 0: now, and it counts as sent. */
GwTime EntryQuarantine_Admit(const Exchange *x);
/* Whether the failed attempt was the last one, see GwQuarantine_MayRetry. */
bool EntryQuarantine_IsLastAttempt(const Exchange *x);
/* The request got a complete answer. */
void EntryQuarantine_OnCompleted(const Exchange *x);
/* The session to @p peer became ready: send it the known terminations, up to
 * the limit of GwQuarantineSync_SendAll. */
void EntryQuarantine_SendAll(Peer *peer);
/* Handle a quarantine update. @return false if @p frame is of another kind */
bool EntryQuarantine_OnFrame(Peer *peer, const GwFrame *frame);
/* Remove expired records and update the number of processes from which one is
 * selected to retry a quarantined request. */
void EntryQuarantine_Sweep(GwEntry *entry, GwTime now);

#endif
