/* State of TCP streams that tcp and tcp_server share; private to this package.
 */
#ifndef GALENAGW_NET_TCP_PRIVATE_H
#define GALENAGW_NET_TCP_PRIVATE_H

#include <netinet/in.h>
#include <sys/queue.h>

#include "galenagw/base/settings.h"
#include "galenagw/net/tcp_types.h"
#include "net_private.h"

struct GwTcp {
    LIST_ENTRY(GwTcp) link; /* in GwTcpServer.accepted */
    GwTcpServer *server;    /* NULL: created by GwTcp_Connect */
    struct lws *wsi;
    GwLoop *loop;
    GwTimer timer; /* reports a failed connect, or ends the linger time */
    GwTimer write_timer; /* requests the next writable event */
    const GwTcpOps *ops;
    void *user;
    GByteArray *output; /* queued bytes, the first `output_sent` were sent */
    guint output_sent;
    int fd;
    bool open;            /* the connection is established */
    bool closed;          /* no further callback may be made */
    bool finishing;       /* in an orderly close, see GwTcp_Finish */
    GwTime finish_until;  /* latest end of that close */
    int socket_queue;     /* bytes in the socket that the peer has not
                             acknowledged, as last checked */
    bool write_failed;    /* a write to the socket failed */
    bool drops_abandoned; /* see GwTcp_DropAbandoned */
    bool resets;          /* see GwTcp_ResetUnlessFinished */
    GwTcpEnd end;         /* reported by on_closed */
    /* callbacks in progress; above 0 the struct must not be freed */
    int callback_depth;
};

/* A stream on the socket @p fd. */
GwTcp *GwTcp_New(GwLoop *loop, int fd);
/* Free the stream, after its socket was closed. */
void GwTcp_Delete(GwTcp *tcp);
bool GwTcp_FillAddress(struct sockaddr_in *in, const GwAddress *address);
/* Let the loop watch the socket. Returns NULL, and closes it, if there is no
 * room. */
struct lws *GwTcp_AdoptFd(GwLoop *loop, int fd, const char *protocol,
                          void *opaque);
void GwTcp_SetSocketOptions(int fd);
/* Close the socket from the loop; the library may be inside one of its
 * callbacks. */
void GwTcp_CloseLater(GwTcp *tcp);

#endif
