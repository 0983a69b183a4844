/* Answers of our own: what callers get instead of an endpoint's answer. */
#ifndef GALENAGW_GATEWAY_REQUEST_REFUSAL_H
#define GALENAGW_GATEWAY_REQUEST_REFUSAL_H

#include "request_private.h"

/* Answer it with @p refusal, and end it. */
void GwRequestRefusal_Answer(GwRequest *request, GwRefusal refusal);
/* Answer a request that was refused before it was whole. */
void GwRequestRefusal_AnswerEarly(GwGateway *gateway, GwHttpCall *call,
                                  GwRefusal refusal);

#endif
