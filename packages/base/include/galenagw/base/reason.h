/**
 * @defgroup reason Refusal and retry reasons
 * @brief Every reason for which a request is refused or tried again.
 *
 * Each reason has one counter, one text, one HTTP status and one statement
 * of whether the request may have run. A refusal says `ran: no` only when
 * that is proven; see GwRan.
 * @{
 */
#ifndef GALENAGW_BASE_REASON_H
#define GALENAGW_BASE_REASON_H

#ifdef __cplusplus
extern "C" {
#endif

/** Whether a refused request may have been run by its endpoint. */
typedef enum {
    GW_RAN_NO = 0,  /**< Proven: no endpoint started it. */
    GW_RAN_UNKNOWN, /**< It may have run; a repeat could run it twice. */
    GW_RANS
} GwRan;

extern const char *const GwRan_Names[GW_RANS];

/** Why a request was refused. */
typedef enum {
    GW_REFUSAL_NONE = 0,
    GW_REFUSAL_BAD_REQUEST,       /**< Malformed JSON or fields. */
    GW_REFUSAL_TOO_LARGE,         /**< Body above the bound. */
    GW_REFUSAL_LENGTH_REQUIRED,   /**< Body without Content-Length. */
    GW_REFUSAL_UNAUTHORIZED,      /**< Missing or wrong key. */
    GW_REFUSAL_UNKNOWN_MODEL,     /**< Model is not configured. */
    GW_REFUSAL_UNKNOWN_ROUTE,     /**< No such path or service. */
    GW_REFUSAL_ACCOUNT_LIMIT,     /**< Account's rate is used up. */
    GW_REFUSAL_NO_ENDPOINT,       /**< No member can take it. */
    GW_REFUSAL_QUEUE_FULL,        /**< Queue bound reached. */
    GW_REFUSAL_DEADLINE,          /**< Estimate passes the deadline. */
    GW_REFUSAL_TRIAL_ROOM,        /**< Trial share is used up. */
    GW_REFUSAL_LEAVING,           /**< Endpoint is draining. */
    GW_REFUSAL_FENCED,            /**< Id was fenced by a query. */
    GW_REFUSAL_RETRY_BUDGET,      /**< No retries left in the budget. */
    GW_REFUSAL_LOG_UNAVAILABLE,   /**< Claim cannot be recorded. */
    GW_REFUSAL_CLAIMED_ELSEWHERE, /**< Key was claimed by another. */
    GW_REFUSAL_OUTCOME_UNKNOWN,   /**< It may have run; answer lost. */
    GW_REFUSAL_ENDPOINT_FAILED,   /**< Engine died or broke off. */
    GW_REFUSAL_KEY_MISMATCH,      /**< Key reused for another body. */
    GW_REFUSAL_NO_CONFIG,         /**< No revision is known yet. */
    GW_REFUSAL_WRONG_VERSION,     /**< Endpoint holds other weights. */
    GW_REFUSAL_HEAD_TOO_LARGE,    /**< Head above the bound. */
    GW_REFUSAL_TIMEOUT,           /**< The caller's time ran out. */
    GW_REFUSAL_SLOW_REQUEST,      /**< Head or body came too slowly. */
    GW_REFUSAL_BUFFERS_FULL,      /**< No memory left for its body. */
    GW_REFUSAL_DEFERRED,          /**< It can wait, and engines are full. */
    GW_REFUSAL_QUARANTINED,       /**< Endpoints ended under it. */
    GW_REFUSAL_LIMIT_UNKNOWN,     /**< No home of its account answers. */
    GW_REFUSALS
} GwRefusal;

extern const char *const GwRefusal_Names[GW_REFUSALS];

/** HTTP status for @p refusal, 400 to 599. */
int GwRefusal_Status(GwRefusal refusal);

/** Message for callers; names what they can do. Static storage. */
const char *GwRefusal_Message(GwRefusal refusal);

/** Why an attempt was repeated or moved. */
typedef enum {
    GW_RETRY_NONE = 0,
    GW_RETRY_DECLINED,    /**< All offers were declines: probe again. */
    GW_RETRY_REFUSED,     /**< Agent refused, not run. */
    GW_RETRY_CONNECT,     /**< Session could not be opened. */
    GW_RETRY_RESUME,      /**< Silent session: resumed on a new one. */
    GW_RETRY_UNKNOWN_ID,  /**< Agent never saw the id, and fenced it. */
    GW_RETRY_CONTINUE,    /**< Engine died: continued elsewhere. */
    GW_RETRY_APPEND_LOST, /**< Append answer lost: read back. */
    GW_RETRY_STALE,       /**< Frame of an older attempt dropped. */
    GW_RETRY_BROKEN,      /**< Sent; no answer that could be used. */
    GW_RETRY_ERROR,       /**< The endpoint answered with an error. */
    GW_RETRY_SILENT,      /**< No answer in good time: left for another. */
    GW_RETRIES
} GwRetry;

extern const char *const GwRetry_Names[GW_RETRIES];

#ifdef __cplusplus
}
#endif
/** @} */
#endif
