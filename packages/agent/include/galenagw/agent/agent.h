/**
 * @defgroup agent Agent
 * @brief The only gate to one endpoint.
 *
 * An agent runs beside its endpoint. All work for the endpoint passes it,
 * so it decides alone, without coordination: paying before trial, at most
 * one run of each call, what the engine's cache holds, and when orders may
 * be given. Answers are kept until the entry has acknowledged them.
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

/** Start. @return NULL with @p err. */
GwAgent *GwAgent_New(GwLoop *loop, const GwAgentOptions *options,
                     GwError *err);
/** Stop at once and free; call before the loop is deleted. */
void GwAgent_Delete(GwAgent *agent);
/**
 * Announce leaving, finish the queue, then call on_drained. Idempotent: a
 * second call changes nothing.
 */
void GwAgent_Drain(GwAgent *agent);
/** Ports in use, for port 0. */
int GwAgent_Port(const GwAgent *agent);
int GwAgent_AdminPort(const GwAgent *agent);
const GwCounters *GwAgent_Counters(const GwAgent *agent);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
