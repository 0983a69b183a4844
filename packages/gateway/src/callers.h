/* Connections of callers: one request at a time, in their order. */
#ifndef GALENAGW_GATEWAY_CALLERS_H
#define GALENAGW_GATEWAY_CALLERS_H

#include "gateway_private.h"

/* Take over an accepted connection. */
void GwCaller_Accept(GwGateway *gateway, GwTcp *tcp);
/* The same on the balancer's port: only its question is answered. */
void GwCaller_AcceptBalancer(GwGateway *gateway, GwTcp *tcp);
void GwCaller_CloseAll(GwGateway *gateway);
/* Close connections that carry no request and no part of one. */
void GwCaller_CloseIdle(GwGateway *gateway);

/* For the request in progress. */
void GwCaller_Write(GwCaller *caller, const char *data, size_t len);
/* Whether so much is unsent that the endpoint should wait. */
bool GwCaller_IsFull(const GwCaller *caller);
/* Whether the connection will close behind this answer. */
bool GwCaller_MustClose(const GwCaller *caller);
/* The answer is whole. With @p close, or when it must, the connection ends;
 * else the next request is read. */
void GwCaller_Answered(GwCaller *caller, bool close);
/* The answer is cut: end the connection so that it shows. */
void GwCaller_Break(GwCaller *caller);

#endif
