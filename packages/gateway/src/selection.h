/* Selects the endpoint of a request, and the source of its KV cache: collects
 * the inputs of the decisions in routing/placement from the gateway's state.
 */
#ifndef GALENAGW_GATEWAY_SELECTION_H
#define GALENAGW_GATEWAY_SELECTION_H

#include "request_private.h"

/*
 * Select the endpoint of the next attempt. Sets the request's preferred
 * domain, its cache scope and the chosen candidate.
 * @param[out] source set to the address that the engine copies KV cache from,
 *                    if it copies any
 * @return NULL if no endpoint is usable
 */
GwInstance *GwSelection_Choose(GwRequest *request, const GwAddress **source);
/* Whether an endpoint of the service accepts requests now and was not tried
 * for this request. */
bool GwSelection_HasAlternative(const GwRequest *request);
/* Time until the first endpoint of the service accepts requests again, by
 * Retry-After headers and rate limits; 0: one accepts requests now, or the
 * time is unknown. */
GwTime GwSelection_TimeToAvailable(const GwRequest *request);
/* Prompt tokens that @p instance, the chosen endpoint, prefills for the
 * request: its own part, and shared parts that the engine neither has cached
 * nor copies. 0 for a plain endpoint. */
uint64_t GwSelection_PrefillTokens(const GwRequest *request,
                                   const GwInstance *instance);
/* Whether the request may be deferred: engines schedule the requests of more
 * urgent routes, or of accounts with a higher priority, before it. */
bool GwSelection_IsDeferrable(const GwRequest *request);
/* Whether the request is expected to run for long, by the number of output
 * tokens that it asks for. */
bool GwSelection_IsLongRunning(const GwRequest *request);

#endif
