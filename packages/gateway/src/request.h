/* One request in progress: from its last byte to the end of its answer. */
#ifndef GALENAGW_GATEWAY_REQUEST_H
#define GALENAGW_GATEWAY_REQUEST_H

#include "gateway_private.h"
#include "galenagw/http/message.h"

/* Serve @p call. The request frees itself when it ends. */
void GwRequest_Start(GwGateway *gateway, GwHttpCall *call);
/* The caller closed its connection: cancel the attempt at the endpoint. Frees
 * the request. */
void GwRequest_CallerGone(GwRequest *request);
/* Abandon attempts at earlier incarnations of restarted endpoints; they may
 * have run. Attempts whose stream is still active, and those at leaving
 * endpoints, continue. */
void GwRequest_AbandonEarlierIncarnations(GwGateway *gateway);
/*
 * Abandon attempts at an endpoint that does not answer.
 * @param is_reported_down whether its agent reported it as down. If so, all
 *        attempts there have failed, except those whose stream is still active
 *        and those at a leaving endpoint. Otherwise only requests that may be
 *        repeated are sent to another endpoint; the others wait for the
 *        endpoint to recover.
 */
void GwRequest_EndpointLost(GwGateway *gateway, const GwInstance *instance,
                            bool is_reported_down);
/* A new weights version was named. Requests that wait at an engine whose
 * weights became outdated are withdrawn shortly before the bound after which
 * no request may start on them. */
void GwRequest_WeightsNamed(GwGateway *gateway);
/* Shorten the deadlines of requests in progress to the end of the drain, if
 * the gateway is draining, so that they are answered before it stops. */
void GwRequest_ApplyDrainDeadline(GwGateway *gateway);
/* The socket to the caller has taken all bytes that were written to it:
 * continue to read from the endpoint. */
void GwRequest_CallerDrained(GwRequest *request);
/* Answer a call that the HTTP server refused before it was received
 * completely. */
void GwRequest_RefuseEarly(GwGateway *gateway, GwHttpCall *call,
                           GwRefusal refusal);
/* Free all requests without an answer, when the gateway is deleted. */
void GwRequest_EndAll(GwGateway *gateway);

#endif
