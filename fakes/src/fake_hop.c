#include "galenagw/fakes/fake_hop.h"

#include <string.h>
#include <sys/queue.h>

typedef struct Link Link;

/* One direction's end: what it reads goes to the other end. */
typedef struct {
    Link *link;
    GwTcp *raw;
    bool frozen; /* what it reads is kept back */
    GByteArray *kept;
} End;

struct Link {
    TAILQ_ENTRY(Link) link;
    FakeHop *hop;
    End near; /* the connecting side */
    End far;
};

struct FakeHop {
    GwLoop *loop;
    GwTcpServer *server;
    GwAddress target;
    TAILQ_HEAD(, Link) links;
};

static void on_accept_(void *user, GwTcp *raw);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd reason);
static void link_delete_(Link *l);

static const GwTcpOps end_ops = {NULL, on_data_, on_closed_, NULL};

FakeHop *
FakeHop_New(GwLoop *loop, int target_port, GwError *err)
{
    FakeHop *hop = g_new0(FakeHop, 1);
    GwAddress any = {"127.0.0.1", 0};

    hop->loop = loop;
    hop->target = any;
    hop->target.port = target_port;
    TAILQ_INIT(&hop->links);
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
    Link *l;

    TAILQ_FOREACH(l, &hop->links, link)
    l->near.frozen = l->far.frozen = true;
}

void
FakeHop_FreezeForward(FakeHop *hop)
{
    Link *l;

    TAILQ_FOREACH(l, &hop->links, link)
    l->near.frozen = true;
}

void
FakeHop_Thaw(FakeHop *hop)
{
    Link *l;

    TAILQ_FOREACH(l, &hop->links, link)
    {
        l->near.frozen = l->far.frozen = false;
        on_data_(&l->near, NULL, 0);
        on_data_(&l->far, NULL, 0);
    }
}

void
FakeHop_Cut(FakeHop *hop)
{
    while (!TAILQ_EMPTY(&hop->links))
        link_delete_(TAILQ_FIRST(&hop->links));
}

static void
on_accept_(void *user, GwTcp *raw)
{
    FakeHop *hop = user;
    Link *l = g_new0(Link, 1);

    l->hop = hop;
    l->near = (End){l, raw, false, g_byte_array_new()};
    l->far = (End){l, NULL, false, g_byte_array_new()};
    GwTcp_SetOps(raw, &end_ops, &l->near);
    TAILQ_INSERT_TAIL(&hop->links, l, link);
    l->far.raw = GwTcp_Connect(hop->loop, &hop->target, &end_ops, &l->far);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    End *end = user;
    Link *l = end->link;
    GwTcp *other = end == &l->near ? l->far.raw : l->near.raw;

    if (len > 0)
        g_byte_array_append(end->kept, data, (guint)len);
    if (end->frozen || end->kept->len == 0)
        return;
    // The other side may be gone without this one having been told.
    if (other != NULL)
        GwTcp_Write(other, end->kept->data, end->kept->len);
    g_byte_array_set_size(end->kept, 0);
}

// A hop that lost track of a connection does not tell of its end either.
static void
on_closed_(void *user, GwTcpEnd reason)
{
    End *end = user;
    Link *l = end->link;

    end->raw = NULL;
    if (!end->frozen)
        link_delete_(l);
    else if (l->near.raw == NULL && l->far.raw == NULL)
        link_delete_(l);
}

static void
link_delete_(Link *l)
{
    TAILQ_REMOVE(&l->hop->links, l, link);
    GwTcp_Close(l->near.raw);
    GwTcp_Close(l->far.raw);
    g_byte_array_unref(l->near.kept);
    g_byte_array_unref(l->far.kept);
    g_free(l);
}
