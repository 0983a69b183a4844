/**
 * @defgroup caller HTTP calls on a persistent connection
 * @brief Sequential calls to one server; each answer is returned in one piece.
 *
 * For the control path, where calls are few and small. The connection is
 * opened when it is needed and stays open after a complete answer.
 * @{
 */
#ifndef GALENAGW_HTTP_CALLER_H
#define GALENAGW_HTTP_CALLER_H

#include "galenagw/http/message.h"
#include "galenagw/net/tcp.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwHttpCaller GwHttpCaller;

/** Outcome of a call. */
typedef enum {
    GW_CALL_ANSWERED = 0,
    GW_CALL_NOT_SENT, /**< no connection: no byte was sent */
    /**
     * sent, but no valid answer was received: the connection failed, or the
     * answer was malformed or too large; the call may have been executed
     */
    GW_CALL_LOST,
    GW_CALL_TIMEOUT, /**< sent; no complete answer within the timeout */
    GW_CALL_OUTCOMES
} GwCallOutcome;

extern const char *const GwCallOutcome_Names[GW_CALL_OUTCOMES];

/**
 * Called at the end of a call. @p status, @p body and @p len are set only if
 * the outcome is GW_CALL_ANSWERED.
 */
typedef void (*GwHttpCaller_OnDone)(void *user, GwCallOutcome outcome,
                                    int status, const char *body, size_t len);

/** Create a caller of the server at @p address; it does not connect yet. */
GwHttpCaller *GwHttpCaller_New(GwLoop *loop, const GwAddress *address);
/** Close the connection and free the caller; no further callback. */
void GwHttpCaller_Delete(GwHttpCaller *caller);
/**
 * Send @p request, which contains head and body. @p fn is called from the
 * loop. Only one call may be in progress.
 * @param timeout microseconds until the complete answer
 */
void GwHttpCaller_Send(GwHttpCaller *caller, const GString *request,
                       GwTime timeout, GwHttpCaller_OnDone fn, void *user);
/** The head of the answer; valid within the callback of an answered call. */
const GwHttpHead *GwHttpCaller_Head(const GwHttpCaller *caller);
/** Cancel the current call without its callback, and close the connection. */
void GwHttpCaller_Cancel(GwHttpCaller *caller);
/** Whether a call is in progress. */
bool GwHttpCaller_IsBusy(const GwHttpCaller *caller);
/** Number of bytes of the answer received so far; 0 without a call. */
size_t GwHttpCaller_Received(const GwHttpCaller *caller);
/** Time of the last received byte of the answer; 0: none yet, or no call. */
GwTime GwHttpCaller_LastReceivedAt(const GwHttpCaller *caller);
/** Maximum size of the body of an answer; a larger one is a fault of the
 * server, and the call counts as lost. Endpoints may send bytes without end.
 */
void GwHttpCaller_SetMaxBody(GwHttpCaller *caller, size_t max_body);
/**
 * Count the timeout from the last received byte instead of from the start of
 * the call, for answers that may be large relative to the bandwidth of the
 * link.
 */
void GwHttpCaller_UseIdleTimeout(GwHttpCaller *caller);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
