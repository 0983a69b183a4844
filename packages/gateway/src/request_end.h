/* The end of a request: releases its instance, completes or aborts the answer
 * to its caller, and frees it. */
#ifndef GALENAGW_GATEWAY_REQUEST_END_H
#define GALENAGW_GATEWAY_REQUEST_END_H

#include "request_private.h"

/* The current attempt is over: stop its timers, and remove the request from
 * the load of its instance. */
void GwRequestEnd_ReleaseInstance(GwRequest *request);
/* The answer was sent completely. Frees the request. */
void GwRequestEnd_Done(GwRequest *request);
/* The answer is truncated: close the caller's connection in a way that shows
 * it. Frees the request. */
void GwRequestEnd_Abort(GwRequest *request);
/* Cancel the current attempt and free the request, without an answer. */
void GwRequestEnd_Free(GwRequest *request);

#endif
