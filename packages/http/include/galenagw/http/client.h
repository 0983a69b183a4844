/**
 * @defgroup http_client HTTP client
 * @brief One HTTP/1.1 request on a connection of its own.
 *
 * The outcome states whether the request can have reached the server, which
 * decides whether a retry is safe.
 * @{
 */
#ifndef GALENAGW_HTTP_CLIENT_H
#define GALENAGW_HTTP_CLIENT_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwHttpRequest GwHttpRequest;

/** Outcome of a request. */
typedef enum {
    GW_HTTP_COMPLETE = 0, /**< The complete answer was received. */
    GW_HTTP_NOT_SENT,     /**< It is certain that no byte was sent. */
    GW_HTTP_BROKEN,       /**< Sent; the answer is missing or incomplete. */
    /** Sent; no byte was received within the timeout. */
    GW_HTTP_TIMEOUT,
    GW_HTTP_OUTCOMES
} GwHttpOutcome;

/** Names of the outcomes, as in messages to operators. */
extern const char *const GwHttpOutcome_Names[GW_HTTP_OUTCOMES];

/**
 * Callbacks; none follows on_done or GwHttpRequest_Cancel. Only on_head may be
 * NULL.
 */
typedef struct {
    /** The answer's head; @p type is its content type, "" if absent. */
    void (*on_head)(void *user, int status, const char *type);
    /** A part of the answer's body. */
    void (*on_data)(void *user, const char *data, size_t len);
    /** The request has ended; its memory is freed afterwards. */
    void (*on_done)(void *user, GwHttpOutcome outcome);
} GwHttpRequestOps;

/**
 * A request to send. Strings and body are copied; `ops` must stay valid until
 * the request has ended.
 */
typedef struct {
    GwAddress address;
    const char *method;
    const char *path;
    const char *content_type; /**< NULL: application/json */
    /** Value of the Authorization header, or NULL. */
    const char *authorization;
    const char *header_name; /**< Name of one additional header, or NULL. */
    const char *header_value;
    const char *body;
    size_t body_len;
    GwTime timeout; /**< Microseconds without received data; 0: 30 s. */
    /** Bytes of the answer's body after which the request ends as broken, for
     * callers that keep the body; 0: no limit. */
    size_t max_body;
    const GwHttpRequestOps *ops;
    void *user;
} GwHttpRequestOptions;

/**
 * Start a request. on_done is called later, from the loop, unless the request
 * is cancelled.
 */
GwHttpRequest *GwHttpRequest_New(GwLoop *loop,
                                 const GwHttpRequestOptions *options);
/** Close the connection; no further callback. Frees the request. */
void GwHttpRequest_Cancel(GwHttpRequest *request);
/**
 * Pause or resume reading the answer, for a receiver that is slower than the
 * server.
 */
void GwHttpRequest_Pause(GwHttpRequest *request, bool pause);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
