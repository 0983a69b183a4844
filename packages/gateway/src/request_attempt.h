/* The attempts of a request: each is sent to an endpoint, and its outcome
 * decides about the next one. */
#ifndef GALENAGW_GATEWAY_REQUEST_ATTEMPT_H
#define GALENAGW_GATEWAY_REQUEST_ATTEMPT_H

#include "galenagw/routing/attempt.h"
#include "request_private.h"

/* Least time before the deadline at which an attempt is made. */
#define GW_ATTEMPT_TIME_MIN (25 * GW_MILLISECOND)

/* Send the request to the best endpoint, or refuse it. May free the request.
 */
void GwRequestAttempt_Make(GwRequest *request);
/* The current attempt failed: make another one, or end the request.
 * @param why reason for the log */
void GwRequestAttempt_Failed(GwRequest *request,
                             GwAttemptOutcome attempt_outcome,
                             const char *why);
/* The answer to the current attempt is unusable, and has not ended within the
 * limits for such answers: the attempt has failed. */
void GwRequestAttempt_EndUnusable(GwRequest *request);

#endif
