/**
 * @defgroup recovery Recovery
 * @brief What to do after a failed attempt: retry, continue or refuse.
 *
 * Pure decisions. They follow two rules. A request that must not run twice is
 * retried only if it is proven that it did not run, or if its claim in the log
 * prevents a second run. A refusal states "not run" only if no attempt of the
 * request may have run.
 * @{
 */
#ifndef GALENAGW_POLICY_RECOVERY_H
#define GALENAGW_POLICY_RECOVERY_H

#include <stdbool.h>

#include "galenagw/base/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most attempts of one request, the first included. */
#define GW_ATTEMPTS_MAX 4

/** How an attempt failed. */
typedef enum {
    GW_FAILURE_REFUSED = 0, /**< the agent refused it */
    GW_FAILURE_UNKNOWN_ID,  /**< on resuming: the agent never received it and
                                 has fenced its id */
    GW_FAILURE_RESTARTED,   /**< on resuming: the agent has restarted */
    GW_FAILURE_LOST,        /**< the agent cannot be reached any more */
    GW_FAILURE_BROKEN,      /**< the endpoint's answer was not completed, or
                                 the data received from the agent does not
                                 match its count and digest */
    GW_FAILURES
} GwFailure;

extern const char *const GwFailure_Names[GW_FAILURES];

/** What is known when an attempt has failed. */
typedef struct {
    GwFailure failure;
    GwRefusal refusal; /**< GW_FAILURE_REFUSED only: the agent's reason */
    GwRan ran;         /**< GW_FAILURE_REFUSED only: whether it ran, as
                            reported by the agent */
    bool idempotent;   /**< the request may run twice */
    bool keyed;        /**< a claim in the log prevents a second run */
    bool trial;        /**< request of a trial account */
    bool delivered;    /**< the caller has received part of the answer */
    bool can_continue; /**< another endpoint can generate the remainder */
    bool holder_known; /**< GW_REFUSAL_CLAIMED_ELSEWHERE names a holder of
                            the claim that can be reached */
    bool may_have_run; /**< an earlier attempt may have run */
    int attempts;      /**< number of attempts, this one included */
} GwFailureFacts;

/** What to do next. */
typedef enum {
    GW_ACTION_REFUSE = 0,   /**< answer the caller with `refusal` and `ran` */
    GW_ACTION_RETRY,        /**< a new attempt at another endpoint */
    GW_ACTION_CONTINUE,     /**< a new attempt that continues the part of the
                                 answer that was delivered */
    GW_ACTION_ASK_HOLDER,   /**< submit to the holder of the key's claim */
    GW_ACTION_ABORT_STREAM, /**< end the answer with an error in the stream */
    GW_ACTIONS
} GwAction;

extern const char *const GwAction_Names[GW_ACTIONS];

/** A decision. */
typedef struct {
    GwAction action;
    GwRefusal refusal; /**< for GW_ACTION_REFUSE and GW_ACTION_ABORT_STREAM,
                            and if the retry budget is used up */
    GwRan ran;         /**< whether the request ran, in the same cases */
    GwRetry reason;    /**< reason of the retry, for the other actions */
} GwRecovery;

GwRecovery GwRecovery_Decide(const GwFailureFacts *facts);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
