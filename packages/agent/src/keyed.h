/* Calls with an idempotency key: claimed in the log, run once, replayed. */
#ifndef GALENAGW_AGENT_KEYED_H
#define GALENAGW_AGENT_KEYED_H

#include "job_private.h"

void Keyed_Claim(Job *job, const KeyedOps *ops);
/* Part of the answer, kept for repeats. */
void Keyed_AddChunk(Job *job, GBytes *data);
void Keyed_Finish(Job *job, bool complete);
/* The job leaves; what waited for it is decided anew. */
void Keyed_Leave(Job *job);
void Keyed_DeleteState(gpointer p);
/* Forget what ran for keys whose claims bind no more. */
void Keyed_Sweep(GwAgent *agent, GwTime now);

#endif
