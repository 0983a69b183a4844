/* One request in progress: from its last byte to its final answer. */
#ifndef GALENAGW_GATEWAY_REQUEST_H
#define GALENAGW_GATEWAY_REQUEST_H

#include "gateway_private.h"
#include "galenagw/http/message.h"

typedef struct GwRequest GwRequest;

/* Start. Takes @p head and @p body. The answer goes to @p caller, at once or
 * later; the request ends itself by GwCaller_Answered or GwCaller_Break. */
GwRequest *GwRequest_New(GwGateway *gateway, GwCaller *caller,
                         GwHttpHead *head, GString *body, GwTime arrived);
/* Begin to serve it; may end it before this returns. */
void GwRequest_Start(GwRequest *request);
/* The caller left: stop the endpoint's work. Frees the request. */
void GwRequest_CallerGone(GwRequest *request);
/* An endpoint has fallen silent: what is in flight there has failed. */
void GwRequest_EndpointLost(GwGateway *gateway, const GwInstance *instance);
/* The caller has read what it was sent. */
void GwRequest_CallerDrained(GwRequest *request);
/* Refuse before a request is whole; @p head may be NULL. */
void GwRequest_RefuseEarly(GwGateway *gateway, GwCaller *caller,
                           const GwHttpHead *head, GwRefusal refusal);

#endif
