/* The load of a request at its engine, and its reports to the engine's agent.
 */
#ifndef GALENAGW_GATEWAY_REQUEST_LOAD_H
#define GALENAGW_GATEWAY_REQUEST_LOAD_H

#include "request_private.h"

/* Maximum number of tokens of KV memory that the request uses at an engine. */
int64_t GwRequestLoad_MemoryTokens(const GwRequest *request);
/*
 * Change the load at the request's instance. The change is sent to the agent
 * immediately if a long-running request starts or ends, and otherwise once
 * enough tokens have changed.
 * @param tokens_delta change of the tokens to prefill
 * @param requests_delta 1: the request starts there; -1: it ends; 0: neither
 */
void GwRequestLoad_Add(GwRequest *request, int64_t tokens_delta,
                       int requests_delta);

#endif
