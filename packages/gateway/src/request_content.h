/* By what the quarantine recognizes the content of a request. */
#ifndef GALENAGW_GATEWAY_REQUEST_CONTENT_H
#define GALENAGW_GATEWAY_REQUEST_CONTENT_H

#include "galenagw/quarantine/in_flight.h"
#include "request_private.h"

/* Digest of the account, the method, the target and the body. Reads the whole
 * body, unless the identity is known, so it is too expensive to be computed
 * for every request. */
GwDigest GwRequestContent_Digest(const GwRequest *request);
/* The digest and the parts of the prompt; computed on first use. */
const GwRequestIdentity *GwRequestContent_Identity(GwRequest *request);

#endif
