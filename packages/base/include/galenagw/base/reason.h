/**
 * @defgroup reason Refusal and retry reasons
 * @brief Every reason for which a request is refused or retried.
 *
 * Each refusal reason has a counter, a message and an HTTP status. A refusal
 * also states whether the request may have been executed (GwRan); it states
 * `ran: no` only if that is proven.
 * @{
 */
#ifndef GALENAGW_BASE_REASON_H
#define GALENAGW_BASE_REASON_H

#ifdef __cplusplus
extern "C" {
#endif

/** Whether an endpoint may have executed a refused request. */
typedef enum {
    GW_RAN_NO = 0,  /**< Proven: no endpoint started the request. */
    GW_RAN_UNKNOWN, /**< It may have been executed; a retry could execute it
                       twice. */
    GW_RANS
} GwRan;

/** Names of ::GwRan in answers, by value. */
extern const char *const GwRan_Names[GW_RANS];

/** Why a request was refused. */
typedef enum {
    GW_REFUSAL_NONE = 0,
    GW_REFUSAL_BAD_REQUEST,     /**< Malformed JSON or fields. */
    GW_REFUSAL_TOO_LARGE,       /**< Body larger than the limit. */
    GW_REFUSAL_LENGTH_REQUIRED, /**< Body without Content-Length. */
    GW_REFUSAL_UNAUTHORIZED,    /**< Missing or wrong key. */
    GW_REFUSAL_UNKNOWN_MODEL,   /**< The model is not configured. */
    GW_REFUSAL_UNKNOWN_ROUTE,   /**< No such path or service. */
    GW_REFUSAL_ACCOUNT_LIMIT, /**< The rate limit of the account is used up. */
    GW_REFUSAL_NO_ENDPOINT,   /**< No endpoint can accept it. */
    GW_REFUSAL_QUEUE_FULL,    /**< The queues have reached their limit. */
    GW_REFUSAL_DEADLINE,      /**< It cannot be answered by its deadline. */
    GW_REFUSAL_TRIAL_ROOM,    /**< The capacity for trials is used up. */
    GW_REFUSAL_LEAVING,       /**< The endpoint or this process is draining. */
    GW_REFUSAL_FENCED,        /**< Its id is fenced up to this attempt. */
    GW_REFUSAL_RETRY_BUDGET,  /**< The retry budget is used up. */
    GW_REFUSAL_LOG_UNAVAILABLE,   /**< Its key cannot be claimed in the log. */
    GW_REFUSAL_CLAIMED_ELSEWHERE, /**< Another agent has claimed its key. */
    GW_REFUSAL_OUTCOME_UNKNOWN,   /**< It may have been executed; no answer. */
    GW_REFUSAL_ENDPOINT_FAILED, /**< The endpoint failed before completion. */
    GW_REFUSAL_KEY_MISMATCH,    /**< Its key was used for another request. */
    GW_REFUSAL_NO_CONFIG,       /**< No configuration is known yet. */
    GW_REFUSAL_WRONG_VERSION,   /**< The endpoint is loading other weights, or
                                   its agent starts no request while a load
                                   order waits. */
    GW_REFUSAL_HEAD_TOO_LARGE,  /**< Head larger than the limit. */
    GW_REFUSAL_TIMEOUT,         /**< Its deadline passed after an attempt. */
    GW_REFUSAL_SLOW_REQUEST,    /**< Head or body was received too slowly. */
    GW_REFUSAL_BUFFERS_FULL,    /**< No buffer memory left for its body. */
    GW_REFUSAL_DEFERRED,        /**< Deferrable, and the engines are full. */
    GW_REFUSAL_QUARANTINED,     /**< Endpoints terminated while it ran. */
    GW_REFUSAL_LIMIT_UNKNOWN,   /**< No limit owner of its account answers. */
    GW_REFUSAL_ORIGIN_UNKNOWN,  /**< Which software version began its stream
                                   is unknown, and there are several. */
    GW_REFUSAL_VERSION_GONE,    /**< No endpoint of the software version that
                                   began its stream is left. */
    GW_REFUSAL_OVERLOAD,        /**< Too many of the most urgent requests wait
                                   for it to start within its target. */
    GW_REFUSALS
} GwRefusal;

/** Names of ::GwRefusal in metrics, logs and answers, by value. */
extern const char *const GwRefusal_Names[GW_REFUSALS];

/** HTTP status of @p refusal, 400 to 599. */
int GwRefusal_Status(GwRefusal refusal);

/** Message for clients with the remedy, in static storage. */
const char *GwRefusal_Message(GwRefusal refusal);

/** Why a request was retried, resumed or moved to another endpoint. */
typedef enum {
    GW_RETRY_NONE = 0,
    GW_RETRY_DECLINED,    /**< All probes or the endpoint declined. */
    GW_RETRY_REFUSED,     /**< The agent refused it. */
    GW_RETRY_CONNECT,     /**< No connection, or the connection was lost. */
    GW_RETRY_RESUME,      /**< Session lost: resumed on a new session. */
    GW_RETRY_UNKNOWN_ID,  /**< The agent had no such id and fenced it. */
    GW_RETRY_CONTINUE,    /**< The stream continues on another endpoint. */
    GW_RETRY_APPEND_LOST, /**< Outcome of a log append unknown: read back. */
    GW_RETRY_STALE,       /**< A frame of an earlier attempt was dropped. */
    GW_RETRY_BROKEN,      /**< Sent, but no usable answer. */
    GW_RETRY_ERROR,       /**< The endpoint answered with an error. */
    GW_RETRY_SILENT,      /**< No answer in time: moved to another endpoint. */
    GW_RETRIES
} GwRetry;

/** Names of ::GwRetry in metrics and logs, by value. */
extern const char *const GwRetry_Names[GW_RETRIES];

#ifdef __cplusplus
}
#endif
/** @} */
#endif
