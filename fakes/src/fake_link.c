#include "galenagw/fakes/fake_link.h"

#include <sys/queue.h>

/* Between two forwardings of queued bytes. */
#define TICK_INTERVAL (5 * GW_MILLISECOND)
/* Most bytes that one connection forwards in its turn. */
#define TURN_BYTES 4096
/* Queued bytes of one direction of a connection from which on reading from its
 * sender is paused. */
#define QUEUE_MAX_BYTES ((size_t)32 * 1024)

typedef struct LinkConnection LinkConnection;

/* One of the two TCP connections that are joined. Bytes received on it are
 * forwarded to the other one. */
typedef struct {
    LinkConnection *connection;
    GwTcp *tcp;
    GByteArray *queued; /* received, not forwarded yet */
    bool paused;        /* reading is paused, as the queue is full */
} ConnectionEnd;

/* An accepted connection and the one to the target. */
struct LinkConnection {
    TAILQ_ENTRY(LinkConnection) link;
    FakeLink *owner;
    /* By the direction of the bytes that the end receives. */
    ConnectionEnd ends[FAKE_LINK_WAYS];
};

/* A listening port whose connections are forwarded to a target. */
typedef struct LinkListener {
    TAILQ_ENTRY(LinkListener) link;
    FakeLink *owner;
    GwTcpServer *server;
    GwAddress target;
} LinkListener;

struct FakeLink {
    GwLoop *loop;
    GwTimer timer;
    GwTime last_tick_at;
    uint64_t rate_bytes_per_s;
    /* Bytes that may be forwarded now; negative after a turn that exceeded the
     * budget. */
    int64_t budget_bytes[FAKE_LINK_WAYS];
    uint64_t carried_bytes[FAKE_LINK_WAYS];
    bool blocked[FAKE_LINK_WAYS];
    TAILQ_HEAD(, LinkListener) listeners;
    TAILQ_HEAD(ConnectionList, LinkConnection) connections;
};

static void on_accept_(void *user, GwTcp *tcp);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd reason);
static void on_tick_(void *user);
static bool carry_turns_(FakeLink *link, FakeLinkWay way);
static size_t forward_queued_(ConnectionEnd *end, GwTcp *to, size_t max_bytes);
static void delete_finished_(FakeLink *link);
static void connection_delete_(LinkConnection *c);

static const GwTcpOps end_ops = {NULL, on_data_, on_closed_, NULL};

FakeLink *
FakeLink_New(GwLoop *loop, uint64_t bytes_per_s)
{
    FakeLink *link = g_new0(FakeLink, 1);

    link->loop = loop;
    link->rate_bytes_per_s = bytes_per_s;
    link->last_tick_at = GwTime_Now();
    TAILQ_INIT(&link->listeners);
    TAILQ_INIT(&link->connections);
    GwTimer_Init(&link->timer, loop, on_tick_, link);
    GwTimer_Start(&link->timer, TICK_INTERVAL);
    return link;
}

void
FakeLink_Delete(FakeLink *link)
{
    LinkListener *listener;

    if (link == NULL)
        return;
    GwTimer_Stop(&link->timer);
    while (!TAILQ_EMPTY(&link->connections))
        connection_delete_(TAILQ_FIRST(&link->connections));
    while ((listener = TAILQ_FIRST(&link->listeners)) != NULL) {
        TAILQ_REMOVE(&link->listeners, listener, link);
        GwTcpServer_Delete(listener->server);
        g_free(listener);
    }
    g_free(link);
}

int
FakeLink_Open(FakeLink *link, int target_port)
{
    LinkListener *listener = g_new0(LinkListener, 1);
    GwAddress any = {"127.0.0.1", 0};
    GwError err = {0};

    listener->owner = link;
    listener->target = any;
    listener->target.port = target_port;
    listener->server =
        GwTcpServer_New(link->loop, &any, on_accept_, listener, &err);
    g_assert(listener->server != NULL);
    TAILQ_INSERT_TAIL(&link->listeners, listener, link);
    return GwTcpServer_Port(listener->server);
}

uint64_t
FakeLink_Carried(const FakeLink *link, FakeLinkWay way)
{
    return link->carried_bytes[way];
}

void
FakeLink_Block(FakeLink *link, FakeLinkWay way, bool block)
{
    link->blocked[way] = block;
}

static void
on_accept_(void *user, GwTcp *tcp)
{
    LinkListener *listener = user;
    LinkConnection *c = g_new0(LinkConnection, 1);
    ConnectionEnd *connecting_end = &c->ends[FAKE_LINK_UP];
    ConnectionEnd *target_end = &c->ends[FAKE_LINK_DOWN];

    c->owner = listener->owner;
    *connecting_end = (ConnectionEnd){c, tcp, g_byte_array_new(), false};
    *target_end = (ConnectionEnd){c, NULL, g_byte_array_new(), false};
    GwTcp_SetOps(tcp, &end_ops, connecting_end);
    TAILQ_INSERT_TAIL(&c->owner->connections, c, link);
    target_end->tcp =
        GwTcp_Connect(c->owner->loop, &listener->target, &end_ops, target_end);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    ConnectionEnd *end = user;

    g_byte_array_append(end->queued, data, (guint)len);
    if (end->queued->len < QUEUE_MAX_BYTES || end->paused)
        return;
    end->paused = true;
    GwTcp_Pause(end->tcp, true);
}

static void
on_closed_(void *user, GwTcpEnd reason)
{
    ConnectionEnd *end = user;

    // Queued bytes are still forwarded; delete_finished_ deletes it later.
    end->tcp = NULL;
}

static void
on_tick_(void *user)
{
    FakeLink *link = user;
    GwTime now = GwTime_Now();
    int64_t new_budget_bytes = (int64_t)link->rate_bytes_per_s *
                               (now - link->last_tick_at) / GW_SECOND;

    link->last_tick_at = now;
    for (int way = 0; way < FAKE_LINK_WAYS; way++) {
        // An unused budget is not carried over to the next tick.
        link->budget_bytes[way] =
            MIN(link->budget_bytes[way], 0) + new_budget_bytes;
        while (!link->blocked[way] && link->budget_bytes[way] > 0 &&
               carry_turns_(link, (FakeLinkWay)way))
            ;
    }
    delete_finished_(link);
    GwTimer_Start(&link->timer, TICK_INTERVAL);
}

// Gives each connection one turn while the budget lasts.
// @return whether any byte was forwarded
static bool
carry_turns_(FakeLink *link, FakeLinkWay way)
{
    bool any = false;
    int n_turns = 0;
    LinkConnection *c;
    LinkConnection *last = TAILQ_LAST(&link->connections, ConnectionList);

    while (last != NULL && (c = TAILQ_FIRST(&link->connections)) != NULL &&
           link->budget_bytes[way] > 0) {
        size_t forwarded =
            forward_queued_(&c->ends[way], c->ends[!way].tcp, TURN_BYTES);

        // A connection that had its turn is the last one in the order, also in
        // the next tick.
        TAILQ_REMOVE(&link->connections, c, link);
        TAILQ_INSERT_TAIL(&link->connections, c, link);
        link->budget_bytes[way] -= (int64_t)forwarded;
        link->carried_bytes[way] += forwarded;
        any = any || forwarded > 0;
        n_turns++;
        if (c == last)
            break;
    }
    return any && n_turns > 0;
}

// Forwards up to max_bytes queued bytes. @return how many were forwarded
static size_t
forward_queued_(ConnectionEnd *end, GwTcp *to, size_t max_bytes)
{
    size_t len = MIN(end->queued->len, max_bytes);

    if (len == 0)
        return 0;
    if (to != NULL)
        GwTcp_Write(to, end->queued->data, len);
    g_byte_array_remove_range(end->queued, 0, (guint)len);
    if (end->paused && end->tcp != NULL &&
        end->queued->len < QUEUE_MAX_BYTES) {
        end->paused = false;
        GwTcp_Pause(end->tcp, false);
    }
    return len;
}

// Deletes connections with a closed end whose bytes have all been forwarded.
static void
delete_finished_(FakeLink *link)
{
    LinkConnection *c;
    LinkConnection *next;

    for (c = TAILQ_FIRST(&link->connections); c != NULL; c = next) {
        next = TAILQ_NEXT(c, link);
        for (int way = 0; way < FAKE_LINK_WAYS; way++) {
            if (c->ends[way].tcp == NULL && c->ends[way].queued->len == 0) {
                connection_delete_(c);
                break;
            }
        }
    }
}

static void
connection_delete_(LinkConnection *c)
{
    TAILQ_REMOVE(&c->owner->connections, c, link);
    for (int way = 0; way < FAKE_LINK_WAYS; way++) {
        GwTcp_Close(c->ends[way].tcp);
        g_byte_array_unref(c->ends[way].queued);
    }
    g_free(c);
}
