/* Error answers of the gateway itself, sent instead of an endpoint's answer.
 */
#ifndef GALENAGW_GATEWAY_REQUEST_REFUSAL_H
#define GALENAGW_GATEWAY_REQUEST_REFUSAL_H

#include "request_private.h"

/* Answer the request with @p refusal. Frees the request. */
void GwRequestRefusal_Answer(GwRequest *request, GwRefusal refusal);
/* Answer a call that the HTTP server refused before it was received
 * completely. */
void GwRequestRefusal_AnswerEarly(GwGateway *gateway, GwHttpCall *call,
                                  GwRefusal refusal);

#endif
