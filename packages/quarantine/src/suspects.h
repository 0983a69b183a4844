/* The suspects of a quarantine: requests and parts that were in flight at
 * terminations. */
#ifndef QUARANTINE_SUSPECTS_H
#define QUARANTINE_SUSPECTS_H

#include "quarantine_private.h"

/* Returns NULL if it is not tracked. */
Suspect *Suspects_Find(const GwQuarantine *q, const GwDigest *digest);
Suspect *Suspects_FindOrAdd(GwQuarantine *q, GwSuspectKind kind,
                            const GwDigest *digest);
/* Changes whether the suspect was in flight at a termination; no effect if
 * that is known. */
void Suspects_SetInFlight(GwQuarantine *q, Suspect *s, size_t place,
                          bool in_flight);
void Suspects_SetRecord(GwQuarantine *q, Suspect *s, GwTime until,
                        uint64_t tie);
/* Marks it as the most recently updated one. */
void Suspects_Touch(GwQuarantine *q, Suspect *s, GwTime now);
/* The termination at @p place is no longer stored. */
void Suspects_ForgetTermination(GwQuarantine *q, size_t place);
void Suspects_RemoveExpired(GwQuarantine *q, GwTime now);
void Suspects_RemoveAll(GwQuarantine *q);

/* Whether it is a part of prompts that completed in the last minutes before
 * its last termination. Parts of many prompts are in flight at nearly every
 * termination, whatever the cause. */
bool Suspect_IsHarmlessPart(const Suspect *s);
/* Among the suspects in flight at a termination, the one of the highest rank
 * is taken to be the cause: that of the most terminations, and a request
 * before a part, because fewer requests are refused for it. */
unsigned Suspect_Rank(const Suspect *s);

#endif
