/* Lookup of the software version that began the stream which a request takes
 * up: at this gateway, then at the agents. It is unnecessary where only one
 * version can have begun the stream. */
#ifndef GALENAGW_GATEWAY_REQUEST_ORIGIN_H
#define GALENAGW_GATEWAY_REQUEST_ORIGIN_H

#include "request_private.h"

/* Look up the version that began the stream which the request takes up, if it
 * takes up one; then go on with the request, or refuse it. */
void GwRequestOrigin_Start(GwRequest *request);

#endif
