/* Jobs with an idempotency key: the key is claimed in the log, the request
 * runs once, and its answer is replayed to jobs with the same key. */
#ifndef GALENAGW_AGENT_KEYED_H
#define GALENAGW_AGENT_KEYED_H

#include "job_private.h"

/* Claim the job's key, then call one of `ops`. */
void Keyed_StartClaim(Job *job, const KeyedOps *ops);
/* Store a part of the answer for replay. */
void Keyed_AddChunk(Job *job, GBytes *data);
/* The answer has ended. If `complete`, it is put into the replay cache. */
void Keyed_Finish(Job *job, bool complete);
/* The job stops being the runner of its key. Jobs that waited for its answer
 * are replayed, refused or run. */
void Keyed_EndRun(Job *job);
void Keyed_DeleteState(gpointer p);
/* Delete expired claims and the state of their keys. */
void Keyed_Sweep(GwAgent *agent, GwTime now);

#endif
