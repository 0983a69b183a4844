#include "callers.h"

#include "galenagw/adapter/messages.h"
#include "request.h"

/* Unsent bytes of one caller before its endpoint has to wait. */
#define FULL_ABOVE (64 * 1024)
/* Bytes of further requests that are taken in while one is served. */
#define MAX_AHEAD (64 * 1024)
/* Bodies of all requests in progress; a third of the smallest instance. */
#define MAX_BODIES (32 * 1024 * 1024)

struct GwCaller {
    TAILQ_ENTRY(GwCaller) link;
    GwGateway *gateway;
    GwTcp *tcp;
    GwHttpReader *reader;
    GwRequest *request; /* in progress, or NULL */
    GByteArray *ahead;  /* bytes behind the request in progress */
    GwHttpHead *head;   /* of the request being read */
    GString *body;
    GwTimer timer; /* for the head, or for idleness */
    bool for_balancer;
    bool paused;
    bool close_after; /* the answer in progress is the last one */
    bool reading;     /* inside the reader */
    bool dead;
};

static GwCaller *new_(GwGateway *g, GwTcp *tcp, bool for_balancer);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static void on_drained_(void *user);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void on_timer_(void *user);
static void feed_(GwCaller *c);
static void take_request_(GwCaller *c);
static void refuse_(GwCaller *c, GwRefusal refusal);
static void free_(GwCaller *c);
static void drop_message_(GwCaller *c);
static void arm_(GwCaller *c);
static const GwLimits *limits_(const GwCaller *c);

static const GwTcpOps tcp_ops = {NULL, on_data_, on_closed_, on_drained_};
static const GwHttpReaderOps reader_ops = {on_head_, on_body_};
static const GwLimits default_limits = {16 * 1024, 4 * 1024 * 1024,
                                        3 * GW_SECOND, 15 * GW_SECOND};

void
GwCaller_Accept(GwGateway *g, GwTcp *tcp)
{
    new_(g, tcp, false);
}

void
GwCaller_AcceptBalancer(GwGateway *g, GwTcp *tcp)
{
    new_(g, tcp, true);
}

void
GwCaller_CloseAll(GwGateway *g)
{
    GwCaller *c;

    while ((c = TAILQ_FIRST(&g->callers)) != NULL) {
        if (c->request != NULL)
            GwRequest_CallerGone(c->request);
        c->request = NULL;
        GwTcp_Close(c->tcp);
        free_(c);
    }
}

void
GwCaller_CloseIdle(GwGateway *g)
{
    GwCaller *c;
    GwCaller *next;

    for (c = TAILQ_FIRST(&g->callers); c != NULL; c = next) {
        next = TAILQ_NEXT(c, link);
        if (c->for_balancer || c->request != NULL || c->ahead->len > 0 ||
            GwHttpReader_InMessage(c->reader))
            continue;
        GwTcp_Finish(c->tcp);
        free_(c);
    }
}

void
GwCaller_Write(GwCaller *c, const char *data, size_t len)
{
    GwTcp_Write(c->tcp, (const uint8_t *)data, len);
}

bool
GwCaller_IsFull(const GwCaller *c)
{
    return GwTcp_Pending(c->tcp) > FULL_ABOVE;
}

bool
GwCaller_MustClose(const GwCaller *c)
{
    return c->close_after || c->gateway->draining_since != 0;
}

void
GwCaller_Answered(GwCaller *c, bool close)
{
    c->request = NULL;
    if (close) {
        GwTcp_Finish(c->tcp);
        free_(c);
        return;
    }
    if (c->paused)
        GwTcp_Pause(c->tcp, false);
    c->paused = false;
    arm_(c);
    if (!c->reading)
        feed_(c);
}

void
GwCaller_Break(GwCaller *c)
{
    GwCaller_Answered(c, true);
}

static GwCaller *
new_(GwGateway *g, GwTcp *tcp, bool for_balancer)
{
    GwCaller *c = g_new0(GwCaller, 1);
    GwHttpReaderOptions options = {
        .reads = GW_HTTP_REQUESTS, .ops = &reader_ops, .user = c};

    c->gateway = g;
    c->tcp = tcp;
    c->for_balancer = for_balancer;
    c->reader = GwHttpReader_New(&options);
    c->ahead = g_byte_array_new();
    GwTimer_Init(&c->timer, g->loop, on_timer_, c);
    GwTcp_SetOps(tcp, &tcp_ops, c);
    TAILQ_INSERT_TAIL(&g->callers, c, link);
    arm_(c);
    return c;
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    GwCaller *c = user;

    g_byte_array_append(c->ahead, data, (guint)len);
    if (c->request == NULL) {
        feed_(c);
        return;
    }
    // Further requests wait for this one's answer, the first few in memory.
    if (c->ahead->len > MAX_AHEAD && !c->paused) {
        c->paused = true;
        GwTcp_Pause(c->tcp, true);
    }
}

static void
on_closed_(void *user, GwTcpEnd end)
{
    GwCaller *c = user;

    c->tcp = NULL;
    if (c->request != NULL)
        GwRequest_CallerGone(c->request);
    c->request = NULL;
    free_(c);
}

static void
on_drained_(void *user)
{
    GwCaller *c = user;

    if (c->request != NULL)
        GwRequest_CallerDrained(c->request);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    GwCaller *c = user;

    c->close_after = !head->keep_alive;
    if (head->length > (int64_t)limits_(c)->max_body) {
        c->head = GwHttpHead_Copy(head);
        refuse_(c, GW_REFUSAL_TOO_LARGE);
        return false;
    }
    c->head = GwHttpHead_Copy(head);
    c->body = g_string_sized_new(head->length > 0 ? (gsize)head->length : 0);
    if (GwMessages_ExpectsContinue(head))
        GwCaller_Write(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    return true;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    GwCaller *c = user;

    if (c->body->len + len > limits_(c)->max_body) {
        refuse_(c, GW_REFUSAL_TOO_LARGE);
        return false;
    }
    if (c->gateway->body_bytes + len > MAX_BODIES) {
        refuse_(c, GW_REFUSAL_BUFFERS_FULL);
        return false;
    }
    c->gateway->body_bytes += len;
    g_string_append_len(c->body, data, (gssize)len);
    return true;
}

// Idle for too long, or too slow with a request.
static void
on_timer_(void *user)
{
    GwCaller *c = user;

    if (GwHttpReader_InMessage(c->reader)) {
        // It has not been read whole, so it has not run: a later try is
        // safe, and the caller sees why.
        refuse_(c, GW_REFUSAL_SLOW_REQUEST);
        return;
    }
    GwTcp_Finish(c->tcp);
    free_(c);
}

static void
feed_(GwCaller *c)
{
    c->reading = true;
    while (!c->dead && c->request == NULL && c->ahead->len > 0) {
        size_t used = 0;
        GwHttpProgress progress;

        GwHttpReader_SetMaxHead(c->reader, limits_(c)->max_head);
        progress = GwHttpReader_Feed(c->reader, (const char *)c->ahead->data,
                                     c->ahead->len, &used);
        if (c->dead)
            break;
        g_byte_array_remove_range(c->ahead, 0, (guint)used);
        if (progress == GW_HTTP_DONE)
            take_request_(c);
        else if (progress == GW_HTTP_HEAD_TOO_LONG)
            refuse_(c, GW_REFUSAL_HEAD_TOO_LARGE);
        else if (progress != GW_HTTP_MORE)
            refuse_(c, GW_REFUSAL_BAD_REQUEST);
    }
    c->reading = false;
    if (c->dead)
        free_(c);
    else if (c->request == NULL)
        arm_(c);
}

static void
take_request_(GwCaller *c)
{
    GwGateway *g = c->gateway;
    GwHttpHead *head = g_steal_pointer(&c->head);
    GString *body = g_steal_pointer(&c->body);

    GwTimer_Stop(&c->timer);
    if (c->for_balancer) {
        GString *out = g_string_new(NULL);

        if (GwMessages_IsReadiness(head))
            GwMessages_EncodeReadiness(GwGateway_IsReady(g), out);
        else
            GwMessages_EncodeFailure(
                &(GwFailure){.status = 404, .message = "ask for readiness"},
                out);
        GwCaller_Write(c, out->str, out->len);
        g_string_free(out, TRUE);
        g->body_bytes -= body->len;
        g_string_free(body, TRUE);
        GwHttpHead_Free(head);
        GwCaller_Answered(c, c->close_after);
        return;
    }
    c->request = GwRequest_New(g, c, head, body, GwTime_Now());
    GwRequest_Start(c->request);
}

// What follows cannot be told from the rest of this message, so the
// connection ends behind the answer.
static void
refuse_(GwCaller *c, GwRefusal refusal)
{
    c->close_after = true;
    GwRequest_RefuseEarly(c->gateway, c, c->head, refusal);
    GwTcp_Finish(c->tcp);
    free_(c);
}

static void
free_(GwCaller *c)
{
    if (c->reading) {
        c->dead = true;
        return;
    }
    TAILQ_REMOVE(&c->gateway->callers, c, link);
    GwTimer_Stop(&c->timer);
    drop_message_(c);
    GwHttpReader_Delete(c->reader);
    g_byte_array_unref(c->ahead);
    g_free(c);
}

static void
drop_message_(GwCaller *c)
{
    GwHttpHead_Free(c->head);
    c->head = NULL;
    if (c->body == NULL)
        return;
    c->gateway->body_bytes -= c->body->len;
    g_string_free(c->body, TRUE);
    c->body = NULL;
}

static void
arm_(GwCaller *c)
{
    const GwLimits *limits = limits_(c);

    // A head that has begun keeps its first timer: bytes that trickle in
    // must not extend it. A body may take its time as long as it moves.
    if (!GwHttpReader_InMessage(c->reader) || c->head != NULL)
        GwTimer_Start(&c->timer, limits->idle_timeout);
    else if (c->timer.place == NULL ||
             c->timer.due > GwTime_Now() + limits->head_timeout)
        GwTimer_Start(&c->timer, limits->head_timeout);
}

static const GwLimits *
limits_(const GwCaller *c)
{
    const GwRoutes *routes = GwView_Routes(c->gateway->view);

    return routes != NULL ? &routes->limits : &default_limits;
}
