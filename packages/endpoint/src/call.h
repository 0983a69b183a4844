/* One HTTP call at an endpoint, shared by both kinds; private. */
#ifndef GALENAGW_ENDPOINT_CALL_H
#define GALENAGW_ENDPOINT_CALL_H

#include "galenagw/endpoint/endpoint.h"

/* Start `request` with `body` in place of its own. */
GwEndpointCall *Call_Start(GwLoop *loop, const GwEndpointOptions *options,
                           const GwEndpointRequest *request, const char *body,
                           size_t body_len, bool engine,
                           const GwEndpointCallOps *ops, void *user);
void Call_Cancel(void *impl, GwEndpointCall *call);
void Call_Pause(void *impl, GwEndpointCall *call, bool pause);

#endif
