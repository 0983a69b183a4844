/* The start of a request at its endpoint: the first token of an engine's
 * answer. The head of an answer does not show it, as an engine may send the
 * head when it accepts the request, which then waits in its queue. */
#ifndef GALENAGW_GATEWAY_REQUEST_START_H
#define GALENAGW_GATEWAY_REQUEST_START_H

#include "request_private.h"

/* Record that the current attempt has started at its endpoint. Further calls
 * have no effect. */
void GwRequestStart_Note(GwRequest *request);

#endif
