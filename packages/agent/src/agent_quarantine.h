/* The agent's part in the quarantine: detects that its endpoint terminated,
 * records which requests were in flight, and exchanges updates with
 * entries. */
#ifndef GALENAGW_AGENT_AGENT_QUARANTINE_H
#define GALENAGW_AGENT_AGENT_QUARANTINE_H

#include "job_private.h"

void AgentQuarantine_Init(GwAgent *agent);
void AgentQuarantine_Stop(GwAgent *agent);
/* The endpoint broke off `job`: it may have terminated. */
void AgentQuarantine_OnRequestBroken(const Job *job);
/* The endpoint has terminated. */
void AgentQuarantine_OnEndpointTerminated(GwAgent *agent);
/* The endpoint answered `job` completely. */
void AgentQuarantine_OnRequestCompleted(const Job *job);
/* How long the request must not run yet; 0: it may run. */
GwTime AgentQuarantine_TimeLeft(GwAgent *agent,
                                const Gw__Wire__Submit *submit);
/* Delete expired records. */
void AgentQuarantine_Sweep(GwAgent *agent, GwTime now);
/* Send all records to an entry that has just connected. */
void AgentQuarantine_SendAll(GwAgent *agent, GwSession *session);
/* Handle a frame. Returns false if it is not a quarantine update. */
bool AgentQuarantine_OnFrame(GwAgent *agent, GwSession *session,
                             const GwFrame *frame);

#endif
