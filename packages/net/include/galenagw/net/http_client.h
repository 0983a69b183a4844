/**
 * @defgroup http_client HTTP client
 * @brief One HTTP/1.1 request on a connection of its own.
 *
 * The outcome tells whether the request can have reached the server, which
 * is what decides if a repeat is safe.
 * @{
 */
#ifndef GALENAGW_NET_HTTP_CLIENT_H
#define GALENAGW_NET_HTTP_CLIENT_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwHttpRequest GwHttpRequest;

/** How a request ended. */
typedef enum {
    GW_HTTP_COMPLETE = 0, /**< The whole answer arrived. */
    GW_HTTP_NOT_SENT,     /**< Proven: no byte of it was sent. */
    GW_HTTP_BROKEN,       /**< Sent; the answer is missing or cut. */
    GW_HTTP_TIMEOUT,      /**< Sent; no progress in time. */
    GW_HTTP_OUTCOMES
} GwHttpOutcome;

extern const char *const GwHttpOutcome_Names[GW_HTTP_OUTCOMES];

/** Callbacks; none is made after on_done, or after a cancel. */
typedef struct {
    void (*on_head)(void *user, int status, const char *type);
    void (*on_data)(void *user, const char *data, size_t len);
    void (*on_done)(void *user, GwHttpOutcome outcome);
} GwHttpRequestOps;

/** What to send; everything is copied. */
typedef struct {
    GwAddress address;
    const char *method;
    const char *path;
    const char *content_type;  /**< NULL: application/json */
    const char *authorization; /**< Its header's value, or NULL. */
    const char *header_name;   /**< One more header, or NULL. */
    const char *header_value;
    const char *body;
    size_t body_len;
    GwTime timeout; /**< Without progress; 0: 30 s. */
    const GwHttpRequestOps *ops;
    void *user;
} GwHttpRequestOptions;

/** Start a request. on_done always comes, later, from the loop. */
GwHttpRequest *GwHttpRequest_New(GwLoop *loop,
                                 const GwHttpRequestOptions *options);
/** Close the connection; no further callback. Frees the request. */
void GwHttpRequest_Cancel(GwHttpRequest *request);
/** Stop or go on reading, for a slower side behind. */
void GwHttpRequest_Pause(GwHttpRequest *request, bool pause);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
