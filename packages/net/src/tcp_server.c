#define GW_LOG_PART "net"
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "galenagw/base/log.h"
#include "galenagw/net/tcp.h"
#include "tcp_private.h"

#define LISTEN_BACKLOG 512
/* Pause of accepting after the process has run out of file descriptors. A
 * pending connection keeps the listening socket readable and would otherwise
 * wake the loop continuously. Other connections usually close within this
 * time. */
#define ACCEPT_RETRY_DELAY (100 * GW_MILLISECOND)
/* Minimum interval between two warnings that the connection table is full. */
#define FULL_LOG_INTERVAL GW_SECOND

struct GwTcpServer {
    struct lws *wsi;
    GwLoop *loop;
    GwTimer accept_timer; /* resumes accepting after ACCEPT_RETRY_DELAY */
    /* time of the last warning that the table is full; 0: none */
    GwTime full_logged_at;
    int fd;
    int port;
    void (*on_accept)(void *user, GwTcp *tcp);
    void *user;
    LIST_HEAD(, GwTcp) accepted;
};

static void accept_connections_(GwTcpServer *server);
static void warn_table_full_(GwTcpServer *server);
static void on_accept_timer_(void *user);

GwTcpServer *
GwTcpServer_New(GwLoop *loop, const GwAddress *address,
                void (*on_accept)(void *user, GwTcp *tcp), void *user,
                GwError *err)
{
    GwTcpServer *server = g_new0(GwTcpServer, 1);
    struct sockaddr_in in;
    socklen_t len = sizeof(in);
    int on = 1;

    server->loop = loop;
    server->on_accept = on_accept;
    server->user = user;
    LIST_INIT(&server->accepted);
    GwTimer_Init(&server->accept_timer, loop, on_accept_timer_, server);
    server->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(server->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!GwTcp_FillAddress(&in, address) || server->fd < 0 ||
        bind(server->fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
        listen(server->fd, LISTEN_BACKLOG) != 0 ||
        getsockname(server->fd, (struct sockaddr *)&in, &len) != 0) {
        GwError_Set(err, GW_ERROR_IO,
                    "cannot listen on %s:%d (%s); choose a free address",
                    address->host, address->port, g_strerror(errno));
        if (server->fd >= 0)
            close(server->fd);
        g_free(server);
        return NULL;
    }
    server->port = ntohs(in.sin_port);
    server->wsi = GwTcp_AdoptFd(loop, server->fd, "gw-tcp-server", server);
    if (server->wsi == NULL) {
        GwError_Set(err, GW_ERROR_LIMIT,
                    "cannot listen on %s:%d: the event loop has no free "
                    "descriptor; raise the limit of open files (ulimit -n)",
                    address->host, address->port);
        g_free(server);
        return NULL;
    }
    return server;
}

bool
GwTcpServer_HasUnsent(const GwTcpServer *server)
{
    const GwTcp *tcp;

    LIST_FOREACH(tcp, &server->accepted, link)
    {
        if (GwTcp_Pending(tcp) > 0 && (!tcp->closed || tcp->finishing))
            return true;
    }
    return false;
}

int
GwTcpServer_Port(const GwTcpServer *server)
{
    return server->port;
}

void
GwTcpServer_Delete(GwTcpServer *server)
{
    GwTcp *tcp;

    if (server == NULL)
        return;
    GwTimer_Stop(&server->accept_timer);
    lws_set_opaque_user_data(server->wsi, NULL);
    shutdown(server->fd, SHUT_RDWR);
    lws_set_timeout(server->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    while ((tcp = LIST_FIRST(&server->accepted)) != NULL) {
        bool was_closed = tcp->closed;

        LIST_REMOVE(tcp, link);
        tcp->server = NULL;
        tcp->closed = true;
        tcp->callback_depth++;
        if (!was_closed && tcp->ops != NULL)
            tcp->ops->on_closed(tcp->user, GW_TCP_RESET);
        tcp->callback_depth--;
        GwTcp_CloseLater(tcp);
    }
    g_free(server);
}

int
GwTcpServer_Callback(struct lws *wsi, enum lws_callback_reasons reason,
                     void *user, void *in, size_t len)
{
    GwTcpServer *server = lws_get_opaque_user_data(wsi);

    if (reason == LWS_CALLBACK_RAW_RX_FILE && server != NULL)
        accept_connections_(server);
    return 0;
}

static void
accept_connections_(GwTcpServer *server)
{
    int fd;

    while ((fd = accept4(server->fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        GwTcp *tcp = GwTcp_New(server->loop, fd);

        GwTcp_SetSocketOptions(fd);
        tcp->open = true;
        tcp->end = GW_TCP_RESET;
        tcp->wsi = GwTcp_AdoptFd(server->loop, fd, "gw-tcp", tcp);
        if (tcp->wsi == NULL) {
            warn_table_full_(server);
            GwTcp_Delete(tcp);
            continue;
        }
        tcp->server = server;
        LIST_INSERT_HEAD(&server->accepted, tcp, link);
        server->on_accept(server->user, tcp);
        if (tcp->ops != NULL && tcp->ops->on_open != NULL && !tcp->closed)
            tcp->ops->on_open(tcp->user);
    }
    if (errno == EMFILE || errno == ENFILE) {
        GW_WARN(
            "no file descriptor is left for a new connection, accepting is "
            "paused for a moment; raise the limit of open files (ulimit -n)");
        lws_rx_flow_control(server->wsi, 0);
        GwTimer_Start(&server->accept_timer, ACCEPT_RETRY_DELAY);
    }
}

static void
warn_table_full_(GwTcpServer *server)
{
    GwTime now = GwTime_Now();

    if (server->full_logged_at != 0 &&
        now - server->full_logged_at < FULL_LOG_INTERVAL)
        return;
    server->full_logged_at = now;
    GW_WARN("the connection table is full, new connections to port %d are "
            "closed; raise the limit of connections",
            server->port);
}

static void
on_accept_timer_(void *user)
{
    GwTcpServer *server = user;

    lws_rx_flow_control(server->wsi, 1);
}
