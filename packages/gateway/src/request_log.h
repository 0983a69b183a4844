/* Log events of a request: each decision on it, with the facts behind it. */
#ifndef GALENAGW_GATEWAY_REQUEST_LOG_H
#define GALENAGW_GATEWAY_REQUEST_LOG_H

#include "galenagw/routing/attempt.h"
#include "galenagw/routing/admission.h"
#include "galenagw/quarantine/quarantine.h"
#include "request_private.h"
#include "retries.h"

/* How the software version that began a stream is known, or why it is not. */
typedef enum {
    GW_ORIGIN_SOURCE_OWN = 0, /* it began at this gateway */
    GW_ORIGIN_SOURCE_AGENT,
    GW_ORIGIN_SOURCE_ONLY_VERSION, /* there was no other one */
    GW_ORIGIN_SOURCE_NOT_NAMED,    /* the caller does not name the stream */
    GW_ORIGIN_SOURCE_UNKNOWN,      /* no agent knows it */
    GW_ORIGIN_SOURCE_NO_ANSWER,    /* not all agents answered */
    GW_ORIGIN_SOURCES
} GwOriginSource;

/* The request is sent to its instance. */
void GwRequestLog_Attempt(const GwRequest *request,
                          const GwDispatch *dispatch);
/* The current attempt failed. */
void GwRequestLog_Failed(const GwRequest *request,
                         GwAttemptOutcome attempt_outcome, const char *why,
                         GwNextStep next, GwRetrySource source);
/* The current attempt is abandoned because its endpoint does not answer; the
 * request is sent to another one. */
void GwRequestLog_Abandoned(const GwRequest *request);
/* The request takes up a stream; its software version was looked up. */
void GwRequestLog_StreamOrigin(const GwRequest *request,
                               GwOriginSource source);
/* The request is refused because of its expected wait; @p instance was the
 * best choice. */
void GwRequestLog_Deferred(const GwRequest *request,
                           const GwInstance *instance,
                           const GwAdmissionFacts *facts,
                           const GwAdmissionDecision *decision);
/* The request is refused because its account's limit is used up or unknown. */
void GwRequestLog_Limited(const GwRequest *request,
                          const GwLimitDecision *verdict);
/* The request is refused because of a suspect under quarantine. */
void GwRequestLog_Quarantined(const GwRequest *request,
                              const GwQuarantineVerdict *verdict);
/* The last event of each request.
 * @param status HTTP status that the caller got; 0: none */
/* The attempt has started on weights that have been outdated for @p
 * outdated_for. */
void GwRequestLog_StartOutdated(const GwRequest *request, GwTime outdated_for);
void GwRequestLog_End(const GwRequest *request, const char *outcome,
                      int status);

#endif
