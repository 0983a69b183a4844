/**
 * @defgroup agent Agent
 * @brief Admits and runs all requests to one endpoint.
 *
 * An agent runs beside its endpoint, and all requests to the endpoint pass
 * through it. So it decides without coordination that paying requests run
 * before trials, that each request runs at most once, and when load orders are
 * sent, and it tracks the contents of the engine's cache. Answers are stored
 * until the entry has acknowledged them.
 * @{
 */
#ifndef GALENAGW_AGENT_AGENT_H
#define GALENAGW_AGENT_AGENT_H

#include "galenagw/agent/options.h"
#include "galenagw/base/counters.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwAgent GwAgent;

/** Start an agent. @return NULL with @p err if it cannot listen. */
GwAgent *GwAgent_New(GwLoop *loop, const GwAgentOptions *options,
                     GwError *err);
/** Stop without a drain and free; call before the loop is deleted. */
void GwAgent_Delete(GwAgent *agent);
/**
 * Announce to entries that the agent leaves, finish all jobs, then call
 * GwAgentOptions.on_drained. A second call has no effect.
 */
void GwAgent_Drain(GwAgent *agent);
/** The ports that it listens on, also if the options have port 0. */
int GwAgent_Port(const GwAgent *agent);
int GwAgent_AdminPort(const GwAgent *agent);
const GwCounters *GwAgent_Counters(const GwAgent *agent);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
