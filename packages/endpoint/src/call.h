/* One HTTP call at an endpoint, for both implementations; private. */
#ifndef GALENAGW_ENDPOINT_CALL_H
#define GALENAGW_ENDPOINT_CALL_H

#include "galenagw/endpoint/endpoint.h"

/* Start `request`, with `body` instead of its own body. `is_engine_call`: the
 * endpoint is an engine, whose status 503 means that the request did not run
 * and whose event streams end with a marker. */
GwEndpointCall *Call_Start(GwLoop *loop, const GwEndpointOptions *options,
                           const GwEndpointRequest *request, const char *body,
                           size_t body_len, bool is_engine_call,
                           const GwEndpointCallOps *ops, void *user);
/* These two are functions of GwEndpointOps; `impl` is not used. */
void Call_Cancel(void *impl, GwEndpointCall *call);
void Call_Pause(void *impl, GwEndpointCall *call, bool pause);

#endif
