/* Pools of connections to endpoints, and requests on these connections. A pool
 * belongs to one incarnation of an endpoint, which is one run of its process:
 * connections do not outlive the process. Idle connections are reused. */
#ifndef GALENAGW_GATEWAY_UPSTREAM_H
#define GALENAGW_GATEWAY_UPSTREAM_H

#include "galenagw/base/counters.h"
#include "galenagw/http/message.h"
#include "galenagw/net/tcp.h"
#include "galenagw/routing/request_info.h"

/* A connection of a pool, for its user: a request in progress. Valid from
 * GwUpstream_Send until on_end or GwUpstream_Cancel. */
typedef struct GwUpstream GwUpstream;
typedef struct GwUpstreamPool GwUpstreamPool;

/* What to do with an answer whose head arrived. */
typedef enum {
    GW_HEAD_ACCEPT = 0,       /* it belongs to the request */
    GW_HEAD_ACCEPT_AND_CLOSE, /* the same; the connection is not used again */
    GW_HEAD_SKIP, /* it is a surplus answer to an earlier request on this
                     connection: ignore its body as well, and wait for
                     the next answer */
} GwHeadVerdict;

/* Outcome of a request. */
typedef enum {
    GW_UPSTREAM_COMPLETE = 0,
    GW_UPSTREAM_NOT_SENT, /* nothing was sent: the connection was not
                             established within the timeout */
    GW_UPSTREAM_REFUSED,  /* nothing was sent: the connection was refused, or
                             could not be established for another reason */
    GW_UPSTREAM_BROKEN,   /* sent, at least in part; the answer is missing,
                             truncated or malformed */
    GW_UPSTREAM_OUTCOMES
} GwUpstreamOutcome;

extern const char *const GwUpstreamOutcome_Names[GW_UPSTREAM_OUTCOMES];

typedef struct {
    GwHeadVerdict (*on_head)(void *user, const GwHttpHead *head);
    void (*on_body)(void *user, const char *data, size_t len);
    /* The last callback; the GwUpstream must not be used any more. */
    void (*on_end)(void *user, GwUpstreamOutcome outcome);
} GwUpstreamOps;

typedef struct {
    const GString *request; /* head and body; copied */
    bool has_no_body;       /* the answer has no body, as the method is HEAD */
    bool may_retry; /* the request may run twice. It may then be sent on a
                       connection that was idle for long, which the endpoint
                       may be closing: the outcome is GW_UPSTREAM_BROKEN, and
                       the user may send the request again */
    const GwUpstreamOps *ops;
    void *user;
} GwUpstreamOptions;

typedef struct {
    GwLoop *loop;
    GwAddress address;
    GwCounters *counters;
    /* The connection of a GwUpstreamPool_Check was refused, or could not be
     * established for another reason than the timeout. */
    void (*on_refused)(void *user, GwUpstreamPool *pool);
    void *user;
} GwUpstreamPoolOptions;

GwUpstreamPool *GwUpstreamPool_New(const GwUpstreamPoolOptions *options);
/* No request may be in progress. */
void GwUpstreamPool_Delete(GwUpstreamPool *pool);
/* Close the idle connections, after the endpoint has terminated. Connections
 * with a request in progress are not changed. */
void GwUpstreamPool_CloseIdle(GwUpstreamPool *pool);
/* Check whether the endpoint accepts connections, by opening one. If it does
 * not, on_refused is called; a success or a timeout is not reported. The new
 * connection may be used by the next request. Ignored while another check is
 * in progress. */
void GwUpstreamPool_Check(GwUpstreamPool *pool);
/* Number of open connections, including idle ones. */
unsigned GwUpstreamPool_CountConnections(const GwUpstreamPool *pool);

/* Send a request, on an idle connection if one can be reused. Callbacks are
 * called from the loop, after this call has returned. */
GwUpstream *GwUpstream_Send(GwUpstreamPool *pool,
                            const GwUpstreamOptions *options);
/* Set the time after which the endpoint closes an idle connection. The user
 * calls this in on_head, as it decodes the headers of the answer.
 * @param seconds of the answer's Keep-Alive header; -1: it has none, and a
 *                default of 500 ms applies */
void GwUpstream_SetKeepAlive(GwUpstream *upstream, int64_t seconds);
/* Reset the connection, so that the endpoint stops running the request. No
 * callback is called. NULL is ignored. */
void GwUpstream_Cancel(GwUpstream *upstream);
/* Pause or resume reading from the endpoint. */
void GwUpstream_Pause(GwUpstream *upstream, bool pause);

#endif
