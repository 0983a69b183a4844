/* The account limit of a request. */
#ifndef GALENAGW_GATEWAY_REQUEST_LIMIT_H
#define GALENAGW_GATEWAY_REQUEST_LIMIT_H

#include "request_private.h"

/* Create the gateway's leases of account limits. */
GwLimitShare *GwRequestLimit_NewShare(GwGateway *gateway);
/*
 * Make the first attempt once the units of the request are granted; refuse the
 * request if the limit is used up or no limit owner can be reached. May free
 * the request.
 */
void GwRequestLimit_Start(GwRequest *request);

#endif
