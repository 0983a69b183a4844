/* What a request was granted of its account's limit. */
#ifndef GALENAGW_GATEWAY_REQUEST_UNITS_H
#define GALENAGW_GATEWAY_REQUEST_UNITS_H

#include "request_private.h"

/* It ends, and has surely not run: what it was granted is given back. */
void GwRequestUnits_GiveBack(GwRequest *request);

#endif
