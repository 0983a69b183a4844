#include "galenagw/fakes/fake_httpd.h"

#include <string.h>
#include <sys/queue.h>

typedef struct Link {
    FakeExchange exchange; /* first: handed out by its address */
    TAILQ_ENTRY(Link) link;
    FakeHttpd *httpd;
    GwTcp *tcp;
    GwHttpReader *reader;
    GwHttpHead *head;
} Link;

struct FakeHttpd {
    GwTcpServer *server;
    FakeHttpdOps ops;
    void *user;
    bool silent;
    unsigned open;
    unsigned resets;
    TAILQ_HEAD(, Link) links;
};

static void on_accept_(void *user, GwTcp *tcp);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void free_(Link *l);

static const GwTcpOps tcp_ops = {NULL, on_data_, on_closed_, NULL};
static const GwHttpReaderOps reader_ops = {on_head_, on_body_};

FakeHttpd *
FakeHttpd_New(GwLoop *loop, const GwAddress *address, const FakeHttpdOps *ops,
              void *user, GwError *err)
{
    FakeHttpd *h = g_new0(FakeHttpd, 1);

    h->ops = *ops;
    h->user = user;
    TAILQ_INIT(&h->links);
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
    return h->open;
}

unsigned
FakeHttpd_Resets(const FakeHttpd *h)
{
    return h->resets;
}

void
FakeHttpd_ResetAll(FakeHttpd *h)
{
    while (!TAILQ_EMPTY(&h->links))
        FakeExchange_Close(&TAILQ_FIRST(&h->links)->exchange, true);
}

void
FakeHttpd_SetSilent(FakeHttpd *h, bool silent)
{
    h->silent = silent;
}

void
FakeExchange_Write(FakeExchange *exchange, const char *data, size_t len)
{
    GwTcp_Write(((Link *)exchange)->tcp, (const uint8_t *)data, len);
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
    Link *l = (Link *)exchange;

    if (reset)
        GwTcp_Reset(l->tcp);
    else
        GwTcp_Finish(l->tcp);
    free_(l);
}

static void
on_accept_(void *user, GwTcp *tcp)
{
    FakeHttpd *h = user;
    Link *l = g_new0(Link, 1);
    GwHttpReaderOptions options = {
        .reads = GW_HTTP_REQUESTS, .ops = &reader_ops, .user = l};

    l->httpd = h;
    l->tcp = tcp;
    l->reader = GwHttpReader_New(&options);
    l->exchange.body = g_string_new(NULL);
    GwTcp_SetOps(tcp, &tcp_ops, l);
    TAILQ_INSERT_TAIL(&h->links, l, link);
    h->open++;
}

// One request at a time: a peer that sends the next one early gets it read
// with the one before, which no client of ours does.
static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    Link *l = user;
    size_t used = 0;

    if (l->httpd->silent)
        return;
    switch (GwHttpReader_Feed(l->reader, (const char *)data, len, &used)) {
    case GW_HTTP_MORE:
        return;
    case GW_HTTP_DONE:
        l->exchange.head = l->head;
        l->httpd->ops.on_request(l->httpd->user, &l->exchange);
        return;
    default:
        FakeExchange_Close(&l->exchange, true);
        return;
    }
}

static void
on_closed_(void *user, GwTcpEnd end)
{
    Link *l = user;

    l->httpd->resets += end == GW_TCP_RESET;
    free_(l);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    Link *l = user;

    GwHttpHead_Free(l->head);
    l->head = GwHttpHead_Copy(head);
    g_string_truncate(l->exchange.body, 0);
    return true;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    Link *l = user;

    g_string_append_len(l->exchange.body, data, (gssize)len);
    return true;
}

static void
free_(Link *l)
{
    FakeHttpd *h = l->httpd;

    TAILQ_REMOVE(&h->links, l, link);
    h->open--;
    if (h->ops.on_gone != NULL)
        h->ops.on_gone(h->user, &l->exchange);
    GwHttpReader_Delete(l->reader);
    GwHttpHead_Free(l->head);
    g_string_free(l->exchange.body, TRUE);
    g_free(l);
}
