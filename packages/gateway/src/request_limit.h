/* A request and the limit of its account. */
#ifndef GALENAGW_GATEWAY_REQUEST_LIMIT_H
#define GALENAGW_GATEWAY_REQUEST_LIMIT_H

#include "request_private.h"

/* The gateway's side of all limits. */
GwLimitShare *GwRequestLimit_NewShare(GwGateway *gateway);
/*
 * Make its first attempt once its account's limit has room for it; refuse it
 * if there is none. The request may be freed in the call.
 */
void GwRequestLimit_Start(GwRequest *request);

#endif
