/* Jobs: requests at this agent, from submission until the entry has
 * acknowledged the answer. */
#ifndef GALENAGW_AGENT_JOB_H
#define GALENAGW_AGENT_JOB_H

#include "agent_private.h"

void Jobs_Submit(GwAgent *agent, GwSession *session,
                 const Gw__Wire__Submit *submit);
void Jobs_Ack(GwAgent *agent, const Gw__Wire__Ack *ack);
void Jobs_Cancel(GwAgent *agent, const Gw__Wire__Cancel *cancel);
void Jobs_Resume(GwAgent *agent, GwSession *session,
                 const Gw__Wire__Resume *resume);
/* `session` was closed: its jobs continue and wait for a Resume, at most for
 * the configured detach time. */
void Jobs_Detach(GwAgent *agent, GwSession *session);
/* Start queued jobs for which slots are free, and preempt trials for paying
 * ones. */
void Jobs_StartQueued(GwAgent *agent);
/* Refuse jobs past their deadline; delete abandoned jobs and old fences. */
void Jobs_Tick(GwAgent *agent, GwTime now);
/* Cancel and delete all jobs. */
void Jobs_DeleteAll(GwAgent *agent);

#endif
