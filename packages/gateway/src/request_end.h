/* How a request ends: at its instance, to its caller, and in memory. */
#ifndef GALENAGW_GATEWAY_REQUEST_END_H
#define GALENAGW_GATEWAY_REQUEST_END_H

#include "request_private.h"

/* The attempt under way is over: its instance has one less in flight. */
void GwRequestEnd_LeaveInstance(GwRequest *request);
/* The answer is whole. Frees the request. */
void GwRequestEnd_Done(GwRequest *request);
/* The answer is cut, and must show it. Frees the request. */
void GwRequestEnd_Break(GwRequest *request);
/* Stop its attempt and free it, without a word to its caller. */
void GwRequestEnd_Free(GwRequest *request);

#endif
