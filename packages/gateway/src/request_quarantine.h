/* Requests under which endpoints ended, as far as one request goes. */
#ifndef GALENAGW_GATEWAY_REQUEST_QUARANTINE_H
#define GALENAGW_GATEWAY_REQUEST_QUARANTINE_H

#include "galenagw/quarantine/digest.h"
#include "request_private.h"

/* Reads the whole body: not for each request. */
GwDigest GwRequestQuarantine_Digest(const GwRequest *request);

#endif
