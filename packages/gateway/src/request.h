/* One request in progress: from its last byte to its final answer. */
#ifndef GALENAGW_GATEWAY_REQUEST_H
#define GALENAGW_GATEWAY_REQUEST_H

#include "gateway_private.h"
#include "galenagw/http/message.h"

/* Serve @p call, from which on the request ends itself. */
void GwRequest_Start(GwGateway *gateway, GwHttpCall *call);
/* The caller left: stop the endpoint's work. Frees the request. */
void GwRequest_CallerGone(GwRequest *request);
/* What waits at an earlier life of an endpoint's id, and of which nothing
 * comes any more, is given up there: it may have run. Streams that still come,
 * and what a leaving endpoint is finishing, go on. */
void GwRequest_LeaveEarlierLives(GwGateway *gateway);
/* An endpoint does not answer. If its agent says so, what is in flight there
 * has failed, but for streams that still come and for what a leaving endpoint
 * is finishing. Else only what may be repeated goes elsewhere, and the rest
 * waits for it to come back. */
void GwRequest_EndpointLost(GwGateway *gateway, const GwInstance *instance,
                            bool certain);
/* A version was named: what still waits at an engine whose weights have become
 * outdated is taken back shortly before they must be gone. */
void GwRequest_WeightsNamed(GwGateway *gateway);
/* The caller has read what it was sent. */
void GwRequest_CallerDrained(GwRequest *request);
/* Answer a request that was refused before it was whole. */
void GwRequest_RefuseEarly(GwGateway *gateway, GwHttpCall *call,
                           GwRefusal refusal);
/* End all without an answer: the process goes. */
void GwRequest_EndAll(GwGateway *gateway);

#endif
