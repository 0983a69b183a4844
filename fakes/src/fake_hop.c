#include "galenagw/fakes/fake_hop.h"

#include <string.h>
#include <sys/queue.h>

typedef struct HopConnection HopConnection;

/* One of the two TCP connections that are joined. Bytes received on it are
 * forwarded to the other one. */
typedef struct {
    HopConnection *connection;
    GwTcp *tcp;
    bool frozen;         /* bytes received stay in pending */
    GByteArray *pending; /* received, not forwarded yet */
} ConnectionEnd;

/* An accepted connection and the one to the target. */
struct HopConnection {
    TAILQ_ENTRY(HopConnection) link;
    FakeHop *hop;
    ConnectionEnd connecting_end; /* the connection that was accepted */
    ConnectionEnd target_end;     /* the connection to the target */
};

struct FakeHop {
    GwLoop *loop;
    GwTcpServer *server;
    GwAddress target;
    TAILQ_HEAD(, HopConnection) connections;
};

static void on_accept_(void *user, GwTcp *tcp);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd reason);
static void connection_delete_(HopConnection *c);

static const GwTcpOps end_ops = {NULL, on_data_, on_closed_, NULL};

FakeHop *
FakeHop_New(GwLoop *loop, int target_port, GwError *err)
{
    FakeHop *hop = g_new0(FakeHop, 1);
    GwAddress any = {"127.0.0.1", 0};

    hop->loop = loop;
    hop->target = any;
    hop->target.port = target_port;
    TAILQ_INIT(&hop->connections);
    hop->server = GwTcpServer_New(loop, &any, on_accept_, hop, err);
    return hop->server != NULL ? hop : NULL;
}

void
FakeHop_Delete(FakeHop *hop)
{
    if (hop == NULL)
        return;
    FakeHop_Cut(hop);
    GwTcpServer_Delete(hop->server);
    g_free(hop);
}

int
FakeHop_Port(const FakeHop *hop)
{
    return GwTcpServer_Port(hop->server);
}

void
FakeHop_SetTarget(FakeHop *hop, int target_port)
{
    hop->target.port = target_port;
}

void
FakeHop_Freeze(FakeHop *hop)
{
    HopConnection *c;

    TAILQ_FOREACH(c, &hop->connections, link)
    c->connecting_end.frozen = c->target_end.frozen = true;
}

void
FakeHop_FreezeForward(FakeHop *hop)
{
    HopConnection *c;

    TAILQ_FOREACH(c, &hop->connections, link)
    c->connecting_end.frozen = true;
}

void
FakeHop_Thaw(FakeHop *hop)
{
    HopConnection *c;

    TAILQ_FOREACH(c, &hop->connections, link)
    {
        c->connecting_end.frozen = c->target_end.frozen = false;
        on_data_(&c->connecting_end, NULL, 0);
        on_data_(&c->target_end, NULL, 0);
    }
}

void
FakeHop_Cut(FakeHop *hop)
{
    while (!TAILQ_EMPTY(&hop->connections))
        connection_delete_(TAILQ_FIRST(&hop->connections));
}

static void
on_accept_(void *user, GwTcp *tcp)
{
    FakeHop *hop = user;
    HopConnection *c = g_new0(HopConnection, 1);

    c->hop = hop;
    c->connecting_end = (ConnectionEnd){c, tcp, false, g_byte_array_new()};
    c->target_end = (ConnectionEnd){c, NULL, false, g_byte_array_new()};
    GwTcp_SetOps(tcp, &end_ops, &c->connecting_end);
    TAILQ_INSERT_TAIL(&hop->connections, c, link);
    c->target_end.tcp =
        GwTcp_Connect(hop->loop, &hop->target, &end_ops, &c->target_end);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    ConnectionEnd *end = user;
    HopConnection *c = end->connection;
    GwTcp *other =
        end == &c->connecting_end ? c->target_end.tcp : c->connecting_end.tcp;

    if (len > 0)
        g_byte_array_append(end->pending, data, (guint)len);
    if (end->frozen || end->pending->len == 0)
        return;
    // The other end may have been closed while it was frozen: its close was
    // not forwarded and the bytes for it are discarded.
    if (other != NULL)
        GwTcp_Write(other, end->pending->data, end->pending->len);
    g_byte_array_set_size(end->pending, 0);
}

// The close of a frozen end is not forwarded: the other end stays open, as
// behind a device that lost the state of the connection.
static void
on_closed_(void *user, GwTcpEnd reason)
{
    ConnectionEnd *end = user;
    HopConnection *c = end->connection;

    end->tcp = NULL;
    if (!end->frozen)
        connection_delete_(c);
    else if (c->connecting_end.tcp == NULL && c->target_end.tcp == NULL)
        connection_delete_(c);
}

static void
connection_delete_(HopConnection *c)
{
    TAILQ_REMOVE(&c->hop->connections, c, link);
    GwTcp_Close(c->connecting_end.tcp);
    GwTcp_Close(c->target_end.tcp);
    g_byte_array_unref(c->connecting_end.pending);
    g_byte_array_unref(c->target_end.pending);
    g_free(c);
}
