#define GW_LOG_PART "net"
#include "galenagw/net/tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "galenagw/base/log.h"
#include "tcp_private.h"

/* Size of the read buffer, and so the most that one read takes. */
#define READ_BUFFER_BYTES (32 * 1024)
/* Reads from one socket before other sockets are served. */
#define READS_PER_EVENT 4
/* Minimum number of sent bytes for which the unsent remainder of the output
 * buffer is moved to its start. */
#define COMPACT_MIN_BYTES (64 * 1024)
/* Time for which a stream that was closed by GwTcp_Finish, and has written all
 * queued bytes, still reads what its peer sends: longer than a round trip to
 * any client, and short enough that such streams occupy few descriptors. */
#define FINISH_LINGER_TIME (2 * GW_SECOND)
/* Such a stream is closed if its peer takes no queued bytes for the first
 * time, or has not taken all of them after the second one: a peer that reads
 * slowly gets its answer, and one that has stopped does not hold memory. */
#define FINISH_STALL_TIME (5 * GW_SECOND)
#define FINISH_TIME_MAX (30 * GW_SECOND)
/* Longest output buffer that is kept for the next message. */
#define KEPT_OUTPUT_BYTES ((guint)(64 * 1024))
/* A connection is closed if sent bytes remain unacknowledged for this time.
 * Peers behind a network partition cause no other error. Three seconds are
 * longer than the longest retransmission delay of a link that only loses
 * packets. */
#define UNACKNOWLEDGED_TIMEOUT_MS 3000
/* Keepalive probes: the first one after this idle time, further ones at the
 * interval below. A connection whose state was lost on a device of the path is
 * closed within about 4 s. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

const char *const GwTcpEnd_Names[GW_TCP_ENDS] = {
    [GW_TCP_FINISHED] = "finished",
    [GW_TCP_RESET] = "reset",
    [GW_TCP_UNREACHABLE] = "unreachable",
};

static void start_connecting_(GwTcp *tcp, const GwAddress *address);
static int on_writable_(GwTcp *tcp);
static int read_socket_(GwTcp *tcp);
static bool has_peer_closed_(const GwTcp *tcp);
static void set_reset_on_close_(const GwTcp *tcp, bool on);
static void shut_down_output_(GwTcp *tcp);
static bool write_output_(GwTcp *tcp);
static void restart_finish_timer_(GwTcp *tcp);
static bool takes_bytes_(GwTcp *tcp);
static void clear_output_(GwTcp *tcp);
static void compact_output_(GwTcp *tcp);
static void report_closed_(GwTcp *tcp);
static void on_timer_(void *user);
static void on_write_timer_(void *user);

GwTcp *
GwTcp_Connect(GwLoop *loop, const GwAddress *address, const GwTcpOps *ops,
              void *user)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    GwTcp *tcp = GwTcp_New(loop, fd);

    tcp->ops = ops;
    tcp->user = user;
    tcp->end = GW_TCP_UNREACHABLE;
    start_connecting_(tcp, address);
    return tcp;
}

void
GwTcp_Write(GwTcp *tcp, const uint8_t *data, size_t len)
{
    if (tcp->closed || tcp->write_failed || len == 0)
        return;
    g_byte_array_append(tcp->output, data, (guint)len);
    if (!tcp->open || tcp->output->len - tcp->output_sent > len)
        return;
    // Most writes fit into the socket buffer. Writing at once avoids the wait
    // for a writable event.
    if (!write_output_(tcp) || GwTcp_Pending(tcp) > 0)
        lws_callback_on_writable(tcp->wsi);
}

size_t
GwTcp_Pending(const GwTcp *tcp)
{
    return tcp->output->len - tcp->output_sent;
}

void
GwTcp_Pause(GwTcp *tcp, bool pause)
{
    if (tcp->wsi != NULL)
        lws_rx_flow_control(tcp->wsi, pause ? 0 : 1);
}

void
GwTcp_Close(GwTcp *tcp)
{
    if (tcp == NULL || tcp->closed)
        return;
    tcp->closed = true;
    GwTcp_CloseLater(tcp);
}

void
GwTcp_Finish(GwTcp *tcp)
{
    if (tcp == NULL || tcp->closed)
        return;
    if (!tcp->open || tcp->write_failed) {
        GwTcp_Close(tcp);
        return;
    }
    tcp->closed = true;
    tcp->finishing = true;
    GwTcp_Pause(tcp, false);
    tcp->finish_until = GwTime_Now() + FINISH_TIME_MAX;
    GwTimer_Start(&tcp->timer, FINISH_LINGER_TIME);
    if (GwTcp_Pending(tcp) == 0) {
        shut_down_output_(tcp);
        return;
    }
    (void)takes_bytes_(tcp);
    GwTimer_Start(&tcp->timer, FINISH_STALL_TIME);
    lws_callback_on_writable(tcp->wsi);
}

void
GwTcp_SetAckTimeout(GwTcp *tcp, GwTime timeout)
{
    unsigned ms = (unsigned)(timeout / GW_MILLISECOND);

    setsockopt(tcp->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

void
GwTcp_Reset(GwTcp *tcp)
{
    if (tcp == NULL || tcp->closed)
        return;
    if (tcp->wsi != NULL)
        set_reset_on_close_(tcp, true);
    GwTcp_Close(tcp);
}

void
GwTcp_ResetUnlessFinished(GwTcp *tcp)
{
    tcp->resets = true;
    if (tcp->wsi != NULL)
        set_reset_on_close_(tcp, true);
}

void
GwTcp_DropAbandoned(GwTcp *tcp)
{
    tcp->drops_abandoned = true;
}

void
GwTcp_SetOps(GwTcp *tcp, const GwTcpOps *ops, void *user)
{
    tcp->ops = ops;
    tcp->user = user;
}

int
GwTcp_Callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
               void *in, size_t len)
{
    GwTcp *tcp = lws_get_opaque_user_data(wsi);

    if (tcp == NULL)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        return read_socket_(tcp);
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return on_writable_(tcp);
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        lws_set_opaque_user_data(wsi, NULL);
        tcp->wsi = NULL;
        report_closed_(tcp);
        return 0;
    default:
        return 0;
    }
}

GwTcp *
GwTcp_New(GwLoop *loop, int fd)
{
    GwTcp *tcp = g_new0(GwTcp, 1);

    tcp->loop = loop;
    tcp->fd = fd;
    tcp->output = g_byte_array_new();
    GwTimer_Init(&tcp->timer, loop, on_timer_, tcp);
    GwTimer_Init(&tcp->write_timer, loop, on_write_timer_, tcp);
    return tcp;
}

void
GwTcp_Delete(GwTcp *tcp)
{
    GwTimer_Stop(&tcp->timer);
    GwTimer_Stop(&tcp->write_timer);
    if (tcp->server != NULL)
        LIST_REMOVE(tcp, link);
    g_byte_array_unref(tcp->output);
    g_free(tcp);
}

bool
GwTcp_FillAddress(struct sockaddr_in *in, const GwAddress *address)
{
    memset(in, 0, sizeof(*in));
    in->sin_family = AF_INET;
    in->sin_port = htons((uint16_t)address->port);
    return inet_pton(AF_INET, address->host, &in->sin_addr) == 1;
}

// Closes the descriptor if the loop's table is full, because the library
// leaves a plain descriptor open in this case. The peer would wait for an
// answer to bytes that are never read, and the descriptor would leak.
struct lws *
GwTcp_AdoptFd(GwLoop *loop, int fd, const char *protocol, void *opaque)
{
    lws_sock_file_fd_type adopted = {.filefd = fd};
    struct lws *wsi = lws_adopt_descriptor_vhost(GwLoop_ClientHost(loop),
                                                 LWS_ADOPT_RAW_FILE_DESC,
                                                 adopted, protocol, NULL);

    if (wsi != NULL)
        lws_set_opaque_user_data(wsi, opaque);
    else
        close(fd);
    return wsi;
}

void
GwTcp_SetSocketOptions(int fd)
{
    int on = 1;
    int idle = KEEPALIVE_IDLE_S;
    int interval = KEEPALIVE_INTERVAL_S;
    int probes = KEEPALIVE_PROBES;
    int unacknowledged_ms = UNACKNOWLEDGED_TIMEOUT_MS;

    // The peer waits for each message; Nagle's algorithm would delay it.
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof(unacknowledged_ms));
}

// A failure to connect is reported from the loop, never from inside
// GwTcp_Connect.
static void
start_connecting_(GwTcp *tcp, const GwAddress *address)
{
    struct sockaddr_in in;

    if (tcp->fd >= 0)
        GwTcp_SetSocketOptions(tcp->fd);
    if (tcp->fd >= 0 && GwTcp_FillAddress(&in, address) &&
        (connect(tcp->fd, (struct sockaddr *)&in, sizeof(in)) == 0 ||
         errno == EINPROGRESS))
        tcp->wsi = GwTcp_AdoptFd(tcp->loop, tcp->fd, "gw-tcp", tcp);
    else if (tcp->fd >= 0)
        close(tcp->fd);
    if (tcp->wsi != NULL)
        lws_callback_on_writable(tcp->wsi);
    else
        GwTimer_Start(&tcp->timer, 0);
}

static int
on_writable_(GwTcp *tcp)
{
    int error = 0;
    socklen_t len = sizeof(error);
    bool was_pending = GwTcp_Pending(tcp) > 0;

    if (tcp->write_failed || (tcp->closed && !tcp->finishing))
        return -1;
    if (!tcp->open) {
        if (getsockopt(tcp->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
            error != 0)
            return -1;
        tcp->open = true;
        tcp->end = GW_TCP_RESET;
        tcp->callback_depth++;
        if (tcp->ops->on_open != NULL)
            tcp->ops->on_open(tcp->user);
        tcp->callback_depth--;
        if (tcp->closed && !tcp->finishing)
            return -1;
    }
    if (!write_output_(tcp))
        return -1;
    if (GwTcp_Pending(tcp) > 0) {
        // For plain descriptors, the library discards a request for a writable
        // event that is made inside this callback. The remaining bytes would
        // stay queued until the next write, possibly forever. The timer
        // repeats the request from outside.
        GwTimer_Start(&tcp->write_timer, 0);
        return 0;
    }
    if (tcp->finishing) {
        shut_down_output_(tcp);
        return 0;
    }
    if (was_pending && tcp->ops->on_drained != NULL) {
        tcp->callback_depth++;
        tcp->ops->on_drained(tcp->user);
        tcp->callback_depth--;
        if (GwTcp_Pending(tcp) > 0)
            GwTimer_Start(&tcp->write_timer, 0);
    }
    return tcp->closed && !tcp->finishing ? -1 : 0;
}

static int
read_socket_(GwTcp *tcp)
{
    static uint8_t buffer[READ_BUFFER_BYTES];
    bool was_stalled = GwLoop_WasStalled(tcp->loop);

    for (int i = 0; i < READS_PER_EVENT; i++) {
        ssize_t n = read(tcp->fd, buffer, sizeof(buffer));

        if (n < 0)
            return errno == EAGAIN || errno == EINTR ? 0 : -1;
        if (n == 0) {
            tcp->end = GW_TCP_FINISHED;
            return -1;
        }
        if (tcp->finishing)
            continue;
        if (tcp->closed)
            return -1;
        if (was_stalled && tcp->drops_abandoned && has_peer_closed_(tcp)) {
            tcp->end = GW_TCP_FINISHED;
            return -1;
        }
        tcp->callback_depth++;
        tcp->ops->on_data(tcp->user, buffer, (size_t)n);
        tcp->callback_depth--;
        if (tcp->closed && !tcp->finishing)
            return -1;
        if (n < (ssize_t)sizeof(buffer))
            return 0;
    }
    return 0;
}

// The kernel keeps this setting, so that it also applies if the process ends.
static void
set_reset_on_close_(const GwTcp *tcp, bool on)
{
    struct linger linger = {on, 0};

    setsockopt(tcp->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
shut_down_output_(GwTcp *tcp)
{
    if (tcp->resets)
        set_reset_on_close_(tcp, false);
    shutdown(tcp->fd, SHUT_WR);
}

// Whether the peer has closed the connection and all its bytes were read.
static bool
has_peer_closed_(const GwTcp *tcp)
{
    uint8_t byte;
    ssize_t n = recv(tcp->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

// Writes queued bytes until the socket takes no more. Returns false if the
// socket failed.
static bool
write_output_(GwTcp *tcp)
{
    while (GwTcp_Pending(tcp) > 0) {
        ssize_t n = send(tcp->fd, tcp->output->data + tcp->output_sent,
                         GwTcp_Pending(tcp), MSG_NOSIGNAL);

        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN) {
            compact_output_(tcp);
            return true;
        }
        if (n < 0) {
            tcp->write_failed = true;
            return false;
        }
        tcp->output_sent += (guint)n;
        if (tcp->finishing)
            restart_finish_timer_(tcp);
    }
    clear_output_(tcp);
    return true;
}

// A connection that is kept must not hold as much memory as the longest
// message that was ever sent on it.
static void
clear_output_(GwTcp *tcp)
{
    if (tcp->output->len > KEPT_OUTPUT_BYTES) {
        g_byte_array_unref(tcp->output);
        tcp->output = g_byte_array_new();
    }
    g_byte_array_set_size(tcp->output, 0);
    tcp->output_sent = 0;
}

static void
restart_finish_timer_(GwTcp *tcp)
{
    GwTime left = tcp->finish_until - GwTime_Now();
    GwTime time =
        GwTcp_Pending(tcp) > 0 ? FINISH_STALL_TIME : FINISH_LINGER_TIME;

    (void)takes_bytes_(tcp);
    GwTimer_Start(&tcp->timer, CLAMP(left, 0, time));
}

// Whether the peer has acknowledged bytes since the last call. The socket
// takes further bytes only after it has sent a large part of its buffer, so
// writing alone does not show it.
static bool
takes_bytes_(GwTcp *tcp)
{
    int before = tcp->socket_queue;

    if (ioctl(tcp->fd, SIOCOUTQ, &tcp->socket_queue) != 0)
        return false;
    return tcp->socket_queue < before;
}

// Without this, the output buffer would grow without bound if the peer always
// reads slightly more slowly than this process writes.
static void
compact_output_(GwTcp *tcp)
{
    if (tcp->output_sent < COMPACT_MIN_BYTES ||
        tcp->output_sent < tcp->output->len / 2)
        return;
    g_byte_array_remove_range(tcp->output, 0, tcp->output_sent);
    tcp->output_sent = 0;
}

// Makes the last callback, unless the stream is closed already, and frees the
// stream if no callback is in progress.
static void
report_closed_(GwTcp *tcp)
{
    bool was_closed = tcp->closed;

    tcp->closed = true;
    tcp->finishing = false;
    tcp->callback_depth++;
    if (!was_closed && tcp->ops != NULL)
        tcp->ops->on_closed(tcp->user, tcp->end);
    tcp->callback_depth--;
    if (tcp->callback_depth == 0)
        GwTcp_Delete(tcp);
}

// The library may be inside a callback of this connection, so it is requested
// to close the connection later, from the loop.
void
GwTcp_CloseLater(GwTcp *tcp)
{
    GwTimer_Stop(&tcp->timer);
    if (tcp->wsi == NULL) {
        if (tcp->callback_depth == 0)
            GwTcp_Delete(tcp);
        else
            GwTimer_Start(&tcp->timer, 0);
        return;
    }
    lws_set_timeout(tcp->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static void
on_timer_(void *user)
{
    GwTcp *tcp = user;

    if (tcp->finishing && GwTcp_Pending(tcp) > 0 && takes_bytes_(tcp)) {
        restart_finish_timer_(tcp);
        return;
    }
    if (tcp->wsi != NULL)
        lws_set_timeout(tcp->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    else
        report_closed_(tcp);
}

static void
on_write_timer_(void *user)
{
    GwTcp *tcp = user;

    if (tcp->wsi != NULL)
        lws_callback_on_writable(tcp->wsi);
}
