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

#include "galenagw/base/counters.h"
#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwAgent GwAgent;

/** Construction options; strings must outlive the agent. */
typedef struct {
    const char *name;           /**< instance name, as listed */
    const char *pool;           /**< model or service */
    const char *failure_domain; /**< of this instance */
    const char *site;           /**< whose overlay applies */
    bool plain_service;         /**< else a model engine */
    GwAddress listen;           /**< inner protocol */
    GwAddress admin;            /**< /metrics, /healthz, /status, /drain */
    GwAddress endpoint;
    GwAddress log;
    GwTime progress_timeout; /**< endpoint without output; 0: 10 s */
    GwTime detach_time;      /**< kept for a lost entry; 0: 10 s */
    GwTime silent_after;     /**< session silence; 0: 1.5 s */
    uint64_t snapshot_every; /**< records between config snapshots */
    uint32_t seed;           /**< randomness; 0: from the system */
    void (*on_drained)(void *user);
    void *user;
} GwAgentOptions;

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
