/**
 * @defgroup attempt Attempts
 * @brief What to do after an attempt at an endpoint has failed.
 *
 * The decision depends on whether the request may have run, as this limits
 * which answers the client may get.
 * @{
 */
#ifndef GALENAGW_ROUTING_ATTEMPT_H
#define GALENAGW_ROUTING_ATTEMPT_H

#include <stdbool.h>

#include "galenagw/base/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What is known about an attempt. */
typedef enum {
    GW_ATTEMPT_NOT_SENT = 0, /**< no byte reached the endpoint */
    GW_ATTEMPT_NOT_RUN,      /**< the endpoint stated that it did not run the
                                request */
    GW_ATTEMPT_MAY_HAVE_RUN, /**< sent, but there was no usable answer */
    GW_ATTEMPT_HAS_RUN,      /**< the endpoint answered with an error */
    GW_ATTEMPT_OUTCOMES
} GwAttemptOutcome;

extern const char *const GwAttemptOutcome_Names[GW_ATTEMPT_OUTCOMES];

/** Facts that the decision is based on. */
typedef struct {
    GwAttemptOutcome attempt_outcome;
    bool may_repeat; /**< running the request twice is harmless */
    bool head_sent;  /**< the client has received the head of an answer */
    bool is_events;  /**< the answer is a stream of events */
    bool client_disconnected;
    bool has_time_left; /**< there is enough time for another attempt */
    /** the route's maximum number of attempts allows another one; ignored
     * after GW_ATTEMPT_NOT_SENT */
    bool has_attempts_left;
    bool has_budget_left; /**< the retry budget allows a retry; the budget has
                         already counted it */
    bool has_alternative; /**< another endpoint is usable and may get the
                             request */
} GwAttemptFacts;

/** The next step. */
typedef enum {
    GW_NEXT_RETRY = 0, /**< send the request to another endpoint */
    GW_NEXT_RESUME,    /**< continue the stream at another endpoint, after the
                          last complete event */
    GW_NEXT_REFUSE,    /**< answer that the request has not run */
    GW_NEXT_FAIL,      /**< answer that the request may have run */
    GW_NEXT_PASS,      /**< forward the endpoint's error */
    GW_NEXT_BREAK, /**< close the connection, because the answer is incomplete
                    */
    GW_NEXT_DROP,  /**< do nothing: the client has disconnected */
    GW_NEXT_STEPS
} GwNextStep;

extern const char *const GwNextStep_Names[GW_NEXT_STEPS];

GwNextStep GwAttempt_Next(const GwAttemptFacts *facts);
/** Whether the request should be retried if the budget allows it. To be called
 * before the budget is queried, because the query counts a retry. */
bool GwAttempt_AllowsRetry(const GwAttemptFacts *facts);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
