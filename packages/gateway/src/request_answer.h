/* Forwards an endpoint's answer to the caller: its head, and its body or
 * events. Short answers are held until they are complete. */
#ifndef GALENAGW_GATEWAY_REQUEST_ANSWER_H
#define GALENAGW_GATEWAY_REQUEST_ANSWER_H

#include "request_private.h"

/* The head of the answer to the current attempt arrived, and was decoded into
 * the request's reply. */
void GwRequestAnswer_Begin(GwRequest *request, const GwHttpHead *head);
/* Bytes of its body arrived. Returns false if they belong to an event that is
 * too long to be held: the attempt has failed. */
bool GwRequestAnswer_Push(GwRequest *request, const char *data, size_t len);
/* Whether the endpoint's answer, although its framing is complete, is a stream
 * that was broken off: it ends inside an event, or has none where the end of
 * the connection is its only end. */
bool GwRequestAnswer_IsTruncated(const GwRequest *request);
/* The answer is complete, or is an endpoint's error that is forwarded as it
 * is. Send what is still held, and end the request. Frees the request. */
void GwRequestAnswer_Complete(GwRequest *request);

#endif
