/* State that the server* modules share; private to this package. */
#ifndef GALENAGW_HTTP_SERVER_PRIVATE_H
#define GALENAGW_HTTP_SERVER_PRIVATE_H

#include <sys/queue.h>

#include "galenagw/http/server_types.h"
#include "galenagw/net/tcp.h"

typedef struct Connection Connection;

struct GwHttpCall {
    Connection *conn;
    GwHttpHead *head;
    GByteArray *body;
    GString *extra_head;
    void *user;
    bool delivered;      /* on_call was called */
    bool answer_started; /* bytes of an answer were sent */
    bool is_unframed;    /* see GwHttpCall_EndWithConnection */
};

struct Connection {
    TAILQ_ENTRY(Connection) link;
    GwHttpServer *server;
    GwTcp *tcp;
    GwHttpReader *reader;
    GwHttpCall *call;  /* the request that is being read or served, or NULL */
    GByteArray *input; /* received bytes that are not parsed yet */
    GwTimer timer;     /* head timeout, body timeout or idle timeout */
    GwTime accepted_at;
    bool has_received; /* any bytes */
    bool paused;       /* reading from the socket is paused */
    /* the connection closes after the answer, because of the head of the
     * request or because the request was refused */
    bool must_close;
    bool feeding;      /* feed_reader_ is running */
    bool free_pending; /* to be freed when feed_reader_ returns */
};

struct GwHttpServer {
    GwLoop *loop;
    GwTcpServer *tcp;
    GwHttpServerOptions options;
    size_t total_body_bytes; /* bytes of the bodies of all calls */
    bool draining;           /* see GwHttpServer_Drain */
    TAILQ_HEAD(, Connection) connections;
};

/* Close the connection in an orderly way; queued output is sent first (see
 * GwTcp_Finish). Frees the call. */
void HttpConnection_Close(Connection *connection);
/* Reset the connection. Frees the call. */
void HttpConnection_Reset(Connection *connection);
/* The call was answered: free it and read the next one. */
void HttpConnection_EndCall(Connection *connection);

#endif
