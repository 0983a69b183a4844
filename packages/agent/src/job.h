/* One request at this agent: its run, and its answer until acknowledged. */
#ifndef GALENAGW_AGENT_JOB_H
#define GALENAGW_AGENT_JOB_H

#include "agent_private.h"

void Jobs_Submit(GwAgent *agent, GwSession *session,
                 const Gw__Wire__Submit *submit);
void Jobs_Ack(GwAgent *agent, const Gw__Wire__Ack *ack);
void Jobs_Cancel(GwAgent *agent, const Gw__Wire__Cancel *cancel);
void Jobs_Resume(GwAgent *agent, GwSession *session,
                 const Gw__Wire__Resume *resume);
/* Its session is gone: its jobs go on for a while. */
void Jobs_Detach(GwAgent *agent, GwSession *session);
/* Start what may start. */
void Jobs_Pump(GwAgent *agent);
/* Deadlines, abandoned jobs, old fences. */
void Jobs_Tick(GwAgent *agent, GwTime now);
void Jobs_Clear(GwAgent *agent);

#endif
