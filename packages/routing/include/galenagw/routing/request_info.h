/**
 * @defgroup request_info Requests and answers
 * @brief Decoded properties of requests and answers that the router uses;
 *   bodies are forwarded unchanged.
 * @{
 */
#ifndef GALENAGW_ROUTING_REQUEST_INFO_H
#define GALENAGW_ROUTING_REQUEST_INFO_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of parts of a prompt; further ones are ignored. Prompts
 * usually have three. */
#define GW_MAX_PARTS 16

/** One part of a prompt. Requests share leading parts. */
typedef struct {
    uint64_t id;
    uint32_t tokens;
} GwPart;

/** A client's request. Strings are borrowed from its head. */
typedef struct {
    const char *id;   /**< identifies this attempt of the client, or NULL */
    const char *key;  /**< API key, or NULL */
    const char *host; /**< or NULL */
    /** model to generate with; NULL: not a generation request */
    const char *model;
    /** resume a stream after this event, or NULL */
    const char *last_event_id;
    /** id of the request that brought the first event of the stream that is
     * resumed, or NULL */
    const char *resumes;
    int64_t deadline_ms; /**< how long the client will wait; -1: not set */
    uint32_t prompt_tokens;
    uint32_t output_tokens; /**< maximum number */
    GwPart parts[GW_MAX_PARTS];
    unsigned n_parts; /**< the last part belongs to this request only */
} GwRequestInfo;

/** What the router sets on one attempt. */
typedef struct {
    const char *instance_id; /**< only this instance may run the request */
    const char *account;     /**< name of the client account, or NULL */
    int64_t deadline_ms;     /**< time left for the endpoint */
    int priority;            /**< 0 (most urgent) to 9; -1: not set */
    /** only requests of the same scope share KV cache */
    const char *cache_scope;
    /** version of weights that must run the request; -1: any */
    int64_t weights;
    /** cache node to copy KV cache from, or NULL */
    const GwAddress *fetch_from;
    const GwAddress *save_to; /**< KV store to save KV cache to, or NULL */
    /** resume a stream after this event, or NULL */
    const char *last_event_id;
    size_t body_len;
} GwDispatch;

/** Decoded head of an endpoint's answer. */
typedef struct {
    int status;
    bool has_signature; /**< the endpoint has signed the body */
    bool not_run; /**< the endpoint states that it did not run the request */
    const char *instance_id; /**< instance that answers, or NULL; borrowed */
    bool matches_request;    /**< the answer contains this request's id, or
                                no id */
    bool has_request_id;     /**< the answer contains an id */
    bool is_leaving; /**< the instance that answers announces its departure */
    bool has_limit;  /**< there is a limit header, valid or not */
    double limit;    /**< requests per second of all processes combined; -1:
                        invalid */
    /** version of weights that ran the request; -1: not set */
    int64_t weights;
    /** how long a connection may be idle; -1: not set */
    int64_t keep_alive_s;
    int64_t retry_after_ms; /**< of a refusal: this process must send no
                               requests for this time; -1: not set */
} GwReply;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
