/* The agent's planned end: told to entries, over when no job is left. */
#ifndef GALENAGW_AGENT_DRAIN_H
#define GALENAGW_AGENT_DRAIN_H

#include "agent_private.h"

void AgentDrain_Init(GwAgent *agent);
/* Tell that this agent leaves; a second call changes nothing. */
void AgentDrain_Start(GwAgent *agent);
/* A job has ended: it may have been the last. */
void AgentDrain_Check(GwAgent *agent);
void AgentDrain_Stop(GwAgent *agent);

#endif
