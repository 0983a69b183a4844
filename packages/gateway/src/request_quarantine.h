/* The quarantine state of one request. */
#ifndef GALENAGW_GATEWAY_REQUEST_QUARANTINE_H
#define GALENAGW_GATEWAY_REQUEST_QUARANTINE_H

#include "galenagw/quarantine/quarantine.h"
#include "galenagw/routing/attempt.h"
#include "request_private.h"

/* Whether the request, which has arrived, must not be sent. If so, that is
 * logged and its retry_after is set. */
bool GwRequestQuarantine_RefusesArrival(GwRequest *request);
/* The same before each attempt, as the request may have waited since it
 * arrived. If it is not refused, the first attempt that reaches an endpoint
 * may be a retry of a quarantined request, or a probe. */
bool GwRequestQuarantine_RefusesAttempt(GwRequest *request);
/* No attempt has reached an endpoint so far, so that a retry or a probe has
 * not begun yet. */
void GwRequestQuarantine_OnNotSent(GwRequest *request);
/* The endpoint closed the connection before the answer was complete. */
void GwRequestQuarantine_OnBroken(GwRequest *request);
/* The answer is complete. */
void GwRequestQuarantine_OnCompleted(GwRequest *request);
/* Whether another attempt is permitted after one with @p attempt_outcome, by
 * the number of terminations of endpoints where the same content, or a part of
 * its prompt, was in flight. */
bool GwRequestQuarantine_MayRetry(GwRequest *request,
                                  GwAttemptOutcome attempt_outcome);

#endif
