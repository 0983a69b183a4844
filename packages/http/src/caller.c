#include "galenagw/http/caller.h"

/* Default of GwHttpCaller_SetMaxBody: larger than any configuration. */
#define DEFAULT_MAX_BODY_BYTES (64 * 1024 * 1024)
/* Bounds of the idle timeout. With GwHttpCaller_UseIdleTimeout it replaces the
 * timeout of the call once the answer has begun. The lower bound applies even
 * if the timeout of the call is shorter, because the retransmission of a lost
 * packet can take that long. */
#define IDLE_TIMEOUT_MAX (5 * GW_SECOND)
#define IDLE_TIMEOUT_MIN (1 * GW_SECOND)

struct GwHttpCaller {
    GwLoop *loop;
    GwAddress address;
    GwTcp *tcp;
    bool open;            /* the connection is established */
    GwHttpReader *reader; /* parses the answers of this connection */
    GString *request;
    GString *body;
    size_t max_body; /* see GwHttpCaller_SetMaxBody */
    size_t received; /* bytes of the current answer, including its head */
    GwTime last_received_at; /* time of the last of these bytes; 0: none */
    bool use_idle_timeout;   /* see GwHttpCaller_UseIdleTimeout */
    const GwHttpHead *head;  /* of the current answer; belongs to the reader */
    int status;
    bool keep_open; /* the server keeps the connection open */
    GwTimer timer;
    GwTime timeout; /* of the current call */
    /* callback of the current call; NULL: no call is in progress */
    GwHttpCaller_OnDone fn;
    void *user;
};

const char *const GwCallOutcome_Names[GW_CALL_OUTCOMES] = {
    [GW_CALL_ANSWERED] = "answered",
    [GW_CALL_NOT_SENT] = "not_sent",
    [GW_CALL_LOST] = "lost",
    [GW_CALL_TIMEOUT] = "timeout",
};

static void on_open_(void *user);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void on_timeout_(void *user);
static void connect_(GwHttpCaller *c);
static void disconnect_(GwHttpCaller *c);
static void finish_call_(GwHttpCaller *c, GwCallOutcome outcome);

static const GwTcpOps tcp_ops = {on_open_, on_data_, on_closed_, NULL};
static const GwHttpReaderOps reader_ops = {on_head_, on_body_};

GwHttpCaller *
GwHttpCaller_New(GwLoop *loop, const GwAddress *address)
{
    GwHttpCaller *c = g_new0(GwHttpCaller, 1);

    c->loop = loop;
    c->address = *address;
    c->request = g_string_new(NULL);
    c->body = g_string_new(NULL);
    c->max_body = DEFAULT_MAX_BODY_BYTES;
    GwTimer_Init(&c->timer, loop, on_timeout_, c);
    return c;
}

void
GwHttpCaller_Delete(GwHttpCaller *c)
{
    if (c == NULL)
        return;
    GwHttpCaller_Cancel(c);
    disconnect_(c);
    GwHttpReader_Delete(c->reader);
    g_string_free(c->request, TRUE);
    g_string_free(c->body, TRUE);
    g_free(c);
}

void
GwHttpCaller_Send(GwHttpCaller *c, const GString *request, GwTime timeout,
                  GwHttpCaller_OnDone fn, void *user)
{
    g_assert(c->fn == NULL);
    c->fn = fn;
    c->user = user;
    c->timeout = timeout;
    g_string_assign(c->request, "");
    g_string_append_len(c->request, request->str, (gssize)request->len);
    g_string_truncate(c->body, 0);
    c->received = 0;
    c->last_received_at = 0;
    GwTimer_Start(&c->timer, timeout);
    if (c->tcp == NULL)
        connect_(c);
    else
        GwTcp_Write(c->tcp, (const uint8_t *)request->str, request->len);
}

void
GwHttpCaller_Cancel(GwHttpCaller *c)
{
    if (c->fn == NULL)
        return;
    c->fn = NULL;
    GwTimer_Stop(&c->timer);
    disconnect_(c);
}

const GwHttpHead *
GwHttpCaller_Head(const GwHttpCaller *c)
{
    return c->head;
}

bool
GwHttpCaller_IsBusy(const GwHttpCaller *c)
{
    return c->fn != NULL;
}

size_t
GwHttpCaller_Received(const GwHttpCaller *c)
{
    return c->fn != NULL ? c->received : 0;
}

GwTime
GwHttpCaller_LastReceivedAt(const GwHttpCaller *c)
{
    return c->fn != NULL ? c->last_received_at : 0;
}

void
GwHttpCaller_SetMaxBody(GwHttpCaller *c, size_t max_body)
{
    c->max_body = max_body;
}

void
GwHttpCaller_UseIdleTimeout(GwHttpCaller *c)
{
    c->use_idle_timeout = true;
}

static void
on_open_(void *user)
{
    GwHttpCaller *c = user;

    c->open = true;
    if (c->fn != NULL)
        GwTcp_Write(c->tcp, (const uint8_t *)c->request->str, c->request->len);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    GwHttpCaller *c = user;
    size_t used = 0;
    GwHttpProgress progress =
        GwHttpReader_Feed(c->reader, (const char *)data, len, &used);

    c->received += len;
    c->last_received_at = GwTime_Now();
    if (c->use_idle_timeout && c->fn != NULL)
        GwTimer_Start(&c->timer,
                      CLAMP(c->timeout, IDLE_TIMEOUT_MIN, IDLE_TIMEOUT_MAX));
    if (progress == GW_HTTP_MORE)
        return;
    // Bytes after the end of the answer, or without a call in progress, belong
    // to no call. The connection is unusable then.
    if (progress != GW_HTTP_DONE || used < len || c->fn == NULL) {
        disconnect_(c);
        finish_call_(c, progress == GW_HTTP_DONE ? GW_CALL_ANSWERED
                                                 : GW_CALL_LOST);
        return;
    }
    if (!c->keep_open)
        disconnect_(c);
    finish_call_(c, GW_CALL_ANSWERED);
}

static void
on_closed_(void *user, GwTcpEnd end)
{
    GwHttpCaller *c = user;
    bool is_complete = end == GW_TCP_FINISHED &&
                       GwHttpReader_Finish(c->reader) == GW_HTTP_DONE;

    c->tcp = NULL;
    disconnect_(c);
    if (c->fn == NULL)
        return;
    if (is_complete)
        finish_call_(c, GW_CALL_ANSWERED);
    else
        finish_call_(c, end == GW_TCP_UNREACHABLE ? GW_CALL_NOT_SENT
                                                  : GW_CALL_LOST);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    GwHttpCaller *c = user;

    c->head = head;
    c->status = head->status;
    c->keep_open = head->keep_alive;
    return true;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    GwHttpCaller *c = user;

    if (c->body->len + len > c->max_body)
        return false;
    g_string_append_len(c->body, data, (gssize)len);
    return true;
}

static void
on_timeout_(void *user)
{
    GwHttpCaller *c = user;
    bool sent = c->open;

    disconnect_(c);
    finish_call_(c, sent ? GW_CALL_TIMEOUT : GW_CALL_NOT_SENT);
}

static void
connect_(GwHttpCaller *c)
{
    GwHttpReaderOptions options = {
        .reads = GW_HTTP_RESPONSES, .ops = &reader_ops, .user = c};

    GwHttpReader_Delete(c->reader);
    c->reader = GwHttpReader_New(&options);
    c->open = false;
    c->tcp = GwTcp_Connect(c->loop, &c->address, &tcp_ops, c);
}

static void
disconnect_(GwHttpCaller *c)
{
    GwTcp_Close(c->tcp);
    c->tcp = NULL;
    c->open = false;
}

// The callback may start the next call or delete the caller.
static void
finish_call_(GwHttpCaller *c, GwCallOutcome outcome)
{
    GwHttpCaller_OnDone fn = c->fn;
    bool answered = outcome == GW_CALL_ANSWERED;

    if (fn == NULL)
        return;
    c->fn = NULL;
    GwTimer_Stop(&c->timer);
    fn(c->user, outcome, answered ? c->status : 0,
       answered ? c->body->str : NULL, answered ? c->body->len : 0);
}
