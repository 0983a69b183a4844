/* Planned shutdown (drain) of the agent: the agent announces to the connected
 * entries that it is leaving, refuses new requests, and calls
 * GwAgentOptions.on_drained after its last job (see job.h) was deleted. */
#ifndef GALENAGW_AGENT_DRAIN_H
#define GALENAGW_AGENT_DRAIN_H

#include "agent_private.h"

/* Initialize the timer between the last job and on_drained. */
void AgentDrain_Init(GwAgent *agent);
/* Start the drain; a second call has no effect. */
void AgentDrain_Start(GwAgent *agent);
/* If a drain was started and no job is left, call on_drained after a short
 * delay. To be called after a job was deleted. */
void AgentDrain_CheckFinished(GwAgent *agent);
/* Stop the timer, before the agent is freed. A drain is not cancelled: entries
 * were already notified. */
void AgentDrain_Stop(GwAgent *agent);

#endif
