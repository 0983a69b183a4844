#include "galenagw/fakes/fake_link.h"

#include <sys/queue.h>

#define TICK (5 * GW_MILLISECOND)
/* Bytes that one connection passes in its turn. */
#define TURN 4096
/* Bytes that wait for their turn before the sender is held back. */
#define QUEUE_MOST ((size_t)32 * 1024)

typedef struct Pipe Pipe;

/* One direction's end: what it reads goes to the other end. */
typedef struct {
    Pipe *pipe;
    GwTcp *raw;
    GByteArray *kept;
    bool paused;
} End;

struct Pipe {
    TAILQ_ENTRY(Pipe) link;
    FakeLink *owner;
    End ends[FAKE_LINK_WAYS]; /* by the way of what they read */
};

/* A port that leads to a target. */
typedef struct Door {
    TAILQ_ENTRY(Door) link;
    FakeLink *owner;
    GwTcpServer *server;
    GwAddress target;
} Door;

struct FakeLink {
    GwLoop *loop;
    GwTimer timer;
    GwTime ticked_at;
    uint64_t rate;
    int64_t budget[FAKE_LINK_WAYS];
    uint64_t carried[FAKE_LINK_WAYS];
    bool blocked[FAKE_LINK_WAYS];
    TAILQ_HEAD(, Door) doors;
    TAILQ_HEAD(Pipes, Pipe) pipes;
};

static void on_accept_(void *user, GwTcp *raw);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd reason);
static void on_tick_(void *user);
static bool carry_(FakeLink *link, FakeLinkWay way);
static size_t pass_(End *end, GwTcp *to, size_t most);
static void sweep_(FakeLink *link);
static void pipe_delete_(Pipe *p);

static const GwTcpOps end_ops = {NULL, on_data_, on_closed_, NULL};

FakeLink *
FakeLink_New(GwLoop *loop, uint64_t bytes_per_s)
{
    FakeLink *link = g_new0(FakeLink, 1);

    link->loop = loop;
    link->rate = bytes_per_s;
    link->ticked_at = GwTime_Now();
    TAILQ_INIT(&link->doors);
    TAILQ_INIT(&link->pipes);
    GwTimer_Init(&link->timer, loop, on_tick_, link);
    GwTimer_Start(&link->timer, TICK);
    return link;
}

void
FakeLink_Delete(FakeLink *link)
{
    Door *door;

    if (link == NULL)
        return;
    GwTimer_Stop(&link->timer);
    while (!TAILQ_EMPTY(&link->pipes))
        pipe_delete_(TAILQ_FIRST(&link->pipes));
    while ((door = TAILQ_FIRST(&link->doors)) != NULL) {
        TAILQ_REMOVE(&link->doors, door, link);
        GwTcpServer_Delete(door->server);
        g_free(door);
    }
    g_free(link);
}

int
FakeLink_Open(FakeLink *link, int target_port)
{
    Door *door = g_new0(Door, 1);
    GwAddress any = {"127.0.0.1", 0};
    GwError err = {0};

    door->owner = link;
    door->target = any;
    door->target.port = target_port;
    door->server = GwTcpServer_New(link->loop, &any, on_accept_, door, &err);
    g_assert(door->server != NULL);
    TAILQ_INSERT_TAIL(&link->doors, door, link);
    return GwTcpServer_Port(door->server);
}

uint64_t
FakeLink_Carried(const FakeLink *link, FakeLinkWay way)
{
    return link->carried[way];
}

void
FakeLink_Block(FakeLink *link, FakeLinkWay way, bool block)
{
    link->blocked[way] = block;
}

static void
on_accept_(void *user, GwTcp *raw)
{
    Door *door = user;
    Pipe *p = g_new0(Pipe, 1);
    End *near = &p->ends[FAKE_LINK_UP];
    End *far = &p->ends[FAKE_LINK_DOWN];

    p->owner = door->owner;
    *near = (End){p, raw, g_byte_array_new(), false};
    *far = (End){p, NULL, g_byte_array_new(), false};
    GwTcp_SetOps(raw, &end_ops, near);
    TAILQ_INSERT_TAIL(&p->owner->pipes, p, link);
    far->raw = GwTcp_Connect(p->owner->loop, &door->target, &end_ops, far);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    End *end = user;

    g_byte_array_append(end->kept, data, (guint)len);
    if (end->kept->len < QUEUE_MOST || end->paused)
        return;
    end->paused = true;
    GwTcp_Pause(end->raw, true);
}

static void
on_closed_(void *user, GwTcpEnd reason)
{
    End *end = user;

    // What it sent before still has to pass: see sweep_.
    end->raw = NULL;
}

static void
on_tick_(void *user)
{
    FakeLink *link = user;
    GwTime now = GwTime_Now();
    int64_t earned = (int64_t)link->rate * (now - link->ticked_at) / GW_SECOND;

    link->ticked_at = now;
    for (int way = 0; way < FAKE_LINK_WAYS; way++) {
        // What was not used is lost: a link saves up nothing.
        link->budget[way] = MIN(link->budget[way], 0) + earned;
        while (!link->blocked[way] && link->budget[way] > 0 &&
               carry_(link, (FakeLinkWay)way))
            ;
    }
    sweep_(link);
    GwTimer_Start(&link->timer, TICK);
}

// One turn of each connection. @return whether any byte passed
static bool
carry_(FakeLink *link, FakeLinkWay way)
{
    bool any = false;
    int n = 0;
    Pipe *p;
    Pipe *last = TAILQ_LAST(&link->pipes, Pipes);

    while (last != NULL && (p = TAILQ_FIRST(&link->pipes)) != NULL &&
           link->budget[way] > 0) {
        size_t passed = pass_(&p->ends[way], p->ends[!way].raw, TURN);

        // Who had its turn comes last, also in the next tick.
        TAILQ_REMOVE(&link->pipes, p, link);
        TAILQ_INSERT_TAIL(&link->pipes, p, link);
        link->budget[way] -= (int64_t)passed;
        link->carried[way] += passed;
        any = any || passed > 0;
        n++;
        if (p == last)
            break;
    }
    return any && n > 0;
}

static size_t
pass_(End *end, GwTcp *to, size_t most)
{
    size_t len = MIN(end->kept->len, most);

    if (len == 0)
        return 0;
    if (to != NULL)
        GwTcp_Write(to, end->kept->data, len);
    g_byte_array_remove_range(end->kept, 0, (guint)len);
    if (end->paused && end->raw != NULL && end->kept->len < QUEUE_MOST) {
        end->paused = false;
        GwTcp_Pause(end->raw, false);
    }
    return len;
}

// Connections of which one side has ended, and all that it sent has passed.
static void
sweep_(FakeLink *link)
{
    Pipe *p;
    Pipe *next;

    for (p = TAILQ_FIRST(&link->pipes); p != NULL; p = next) {
        next = TAILQ_NEXT(p, link);
        for (int way = 0; way < FAKE_LINK_WAYS; way++) {
            if (p->ends[way].raw == NULL && p->ends[way].kept->len == 0) {
                pipe_delete_(p);
                break;
            }
        }
    }
}

static void
pipe_delete_(Pipe *p)
{
    TAILQ_REMOVE(&p->owner->pipes, p, link);
    for (int way = 0; way < FAKE_LINK_WAYS; way++) {
        GwTcp_Close(p->ends[way].raw);
        g_byte_array_unref(p->ends[way].kept);
    }
    g_free(p);
}
