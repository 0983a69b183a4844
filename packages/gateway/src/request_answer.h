/* An endpoint's answer on its way to the caller: its head, its body or events,
 * and what of it is held until it is whole. */
#ifndef GALENAGW_GATEWAY_REQUEST_ANSWER_H
#define GALENAGW_GATEWAY_REQUEST_ANSWER_H

#include "request_private.h"

/* A head of the attempt under way came, and its reply is decoded. */
void GwRequestAnswer_Begin(GwRequest *request, const GwHttpHead *head);
/* More of its body came. */
void GwRequestAnswer_Push(GwRequest *request, const char *data, size_t len);
/* It came to its end, or is to be passed on as it is. Frees the request. */
void GwRequestAnswer_Complete(GwRequest *request);

#endif
