/**
 * @defgroup recovery Recovery
 * @brief What to do after an attempt failed: try elsewhere, go on, or refuse.
 *
 * Pure decisions. The rule beneath all of them: a call that may not be
 * repeated is tried again only if it is proven that it did not run, or if
 * its claim in the log keeps a second run from happening; and a refusal
 * says "not run" only if no attempt of the request may have run.
 * @{
 */
#ifndef GALENAGW_POLICY_RECOVERY_H
#define GALENAGW_POLICY_RECOVERY_H

#include <stdbool.h>

#include "galenagw/base/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Attempts of one request, the first included. */
#define GW_ATTEMPTS_MAX 4

/** How an attempt failed. */
typedef enum {
    GW_FAILURE_REFUSED = 0, /**< the agent refused it */
    GW_FAILURE_UNKNOWN_ID,  /**< resumed: never arrived, and is fenced */
    GW_FAILURE_RESTARTED,   /**< resumed: the agent is another life */
    GW_FAILURE_LOST,        /**< the agent cannot be reached again */
    GW_FAILURE_BROKEN,      /**< the endpoint broke off, or data is bad */
    GW_FAILURES
} GwFailure;

extern const char *const GwFailure_Names[GW_FAILURES];

/** What is known at the failure. */
typedef struct {
    GwFailure failure;
    GwRefusal refusal; /**< REFUSED only */
    GwRan ran;         /**< REFUSED only: what the agent says of it */
    bool idempotent;
    bool keyed; /**< guarded by a claim in the log */
    bool trial;
    bool delivered;    /**< the caller has got part of the answer */
    bool can_continue; /**< the rest can be asked for elsewhere */
    bool holder_known; /**< CLAIMED_ELSEWHERE names a reachable holder */
    bool may_have_run; /**< an earlier attempt may have */
    int attempts;      /**< made so far, this one included */
} GwFailureFacts;

/** What to do. */
typedef enum {
    GW_ACTION_REFUSE = 0, /**< answer the caller with `refusal` and `ran` */
    GW_ACTION_RETRY,      /**< a new attempt elsewhere */
    GW_ACTION_CONTINUE,   /**< a new attempt that goes on from delivered */
    GW_ACTION_ASK_HOLDER, /**< submit to the holder of the key */
    GW_ACTION_BREAK_OFF,  /**< an error within the stream, and its end */
    GW_ACTIONS
} GwAction;

extern const char *const GwAction_Names[GW_ACTIONS];

/** A decision. */
typedef struct {
    GwAction action;
    GwRefusal refusal; /**< for REFUSE and BREAK_OFF, or if no budget */
    GwRan ran;         /**< likewise */
    GwRetry reason;    /**< for the other actions */
} GwRecovery;

GwRecovery GwRecovery_Decide(const GwFailureFacts *facts);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
