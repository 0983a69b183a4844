#include "galenagw/fakes/fake_httpd.h"

#include <string.h>
#include <sys/queue.h>

typedef struct HttpdConnection {
    FakeExchange exchange; /* must be first: FakeExchange * is cast to
                              HttpdConnection * */
    TAILQ_ENTRY(HttpdConnection) link;
    FakeHttpd *httpd;
    GwTcp *tcp;
    GwHttpReader *reader;
    GwHttpHead *head;
} HttpdConnection;

struct FakeHttpd {
    GwTcpServer *server;
    FakeHttpdOps ops;
    void *user;
    bool silent;       /* discard received bytes */
    unsigned n_open;   /* open connections */
    unsigned n_resets; /* connections reset by clients */
    TAILQ_HEAD(, HttpdConnection) connections;
};

static void on_accept_(void *user, GwTcp *tcp);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void connection_free_(HttpdConnection *c);

static const GwTcpOps tcp_ops = {NULL, on_data_, on_closed_, NULL};
static const GwHttpReaderOps reader_ops = {on_head_, on_body_};

FakeHttpd *
FakeHttpd_New(GwLoop *loop, const GwAddress *address, const FakeHttpdOps *ops,
              void *user, GwError *err)
{
    FakeHttpd *h = g_new0(FakeHttpd, 1);

    h->ops = *ops;
    h->user = user;
    TAILQ_INIT(&h->connections);
    h->server = GwTcpServer_New(loop, address, on_accept_, h, err);
    if (h->server != NULL)
        return h;
    g_free(h);
    return NULL;
}

void
FakeHttpd_Delete(FakeHttpd *h)
{
    if (h == NULL)
        return;
    FakeHttpd_ResetAll(h);
    GwTcpServer_Delete(h->server);
    g_free(h);
}

int
FakeHttpd_Port(const FakeHttpd *h)
{
    return GwTcpServer_Port(h->server);
}

unsigned
FakeHttpd_Open(const FakeHttpd *h)
{
    return h->n_open;
}

unsigned
FakeHttpd_Resets(const FakeHttpd *h)
{
    return h->n_resets;
}

void
FakeHttpd_ResetAll(FakeHttpd *h)
{
    while (!TAILQ_EMPTY(&h->connections))
        FakeExchange_Close(&TAILQ_FIRST(&h->connections)->exchange, true);
}

void
FakeHttpd_SetSilent(FakeHttpd *h, bool silent)
{
    h->silent = silent;
}

void
FakeExchange_Write(FakeExchange *exchange, const char *data, size_t len)
{
    GwTcp_Write(((HttpdConnection *)exchange)->tcp, (const uint8_t *)data,
                len);
}

void
FakeExchange_Answer(FakeExchange *exchange, int status, const char *headers,
                    const char *body, size_t len)
{
    g_autofree char *head = g_strdup_printf(
        "HTTP/1.1 %d Status\r\n%sContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
        status, headers, len);

    FakeExchange_Write(exchange, head, strlen(head));
    if (len > 0)
        FakeExchange_Write(exchange, body, len);
}

void
FakeExchange_Close(FakeExchange *exchange, bool reset)
{
    HttpdConnection *c = (HttpdConnection *)exchange;

    if (reset)
        GwTcp_Reset(c->tcp);
    else
        GwTcp_Finish(c->tcp);
    connection_free_(c);
}

static void
on_accept_(void *user, GwTcp *tcp)
{
    FakeHttpd *h = user;
    HttpdConnection *c = g_new0(HttpdConnection, 1);
    GwHttpReaderOptions options = {
        .reads = GW_HTTP_REQUESTS, .ops = &reader_ops, .user = c};

    c->httpd = h;
    c->tcp = tcp;
    c->reader = GwHttpReader_New(&options);
    c->exchange.body = g_string_new(NULL);
    GwTcp_SetOps(tcp, &tcp_ops, c);
    TAILQ_INSERT_TAIL(&h->connections, c, link);
    h->n_open++;
}

// Handles one request at a time. Pipelining is not supported: bytes of the
// next request that arrive together with the end of a request are discarded.
// The clients under test do not pipeline.
static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    HttpdConnection *c = user;
    size_t used = 0;

    if (c->httpd->silent)
        return;
    switch (GwHttpReader_Feed(c->reader, (const char *)data, len, &used)) {
    case GW_HTTP_MORE:
        return;
    case GW_HTTP_DONE:
        c->exchange.head = c->head;
        c->httpd->ops.on_request(c->httpd->user, &c->exchange);
        return;
    default:
        FakeExchange_Close(&c->exchange, true);
        return;
    }
}

static void
on_closed_(void *user, GwTcpEnd end)
{
    HttpdConnection *c = user;

    c->httpd->n_resets += end == GW_TCP_RESET;
    connection_free_(c);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    HttpdConnection *c = user;

    GwHttpHead_Free(c->head);
    c->head = GwHttpHead_Copy(head);
    g_string_truncate(c->exchange.body, 0);
    return true;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    HttpdConnection *c = user;

    g_string_append_len(c->exchange.body, data, (gssize)len);
    return true;
}

static void
connection_free_(HttpdConnection *c)
{
    FakeHttpd *h = c->httpd;

    TAILQ_REMOVE(&h->connections, c, link);
    h->n_open--;
    if (h->ops.on_gone != NULL)
        h->ops.on_gone(h->user, &c->exchange);
    GwHttpReader_Delete(c->reader);
    GwHttpHead_Free(c->head);
    g_string_free(c->exchange.body, TRUE);
    g_free(c);
}
