/* Units of the account's limit that a request was granted. */
#ifndef GALENAGW_GATEWAY_REQUEST_UNITS_H
#define GALENAGW_GATEWAY_REQUEST_UNITS_H

#include "request_private.h"

/* Give the granted units back. The request ends and is proven not to have run.
 */
void GwRequestUnits_GiveBack(GwRequest *request);

#endif
