#include "galenagw/fakes/fake_deployment.h"

#include <stdlib.h>
#include <string.h>

/* Between two events of a stream. */
#define EVENT_INTERVAL (5 * GW_MILLISECOND)
/* Between a load order and the completion of the load. */
#define WEIGHTS_LOAD_TIME (200 * GW_MILLISECOND)
#define EVENTS_PER_STREAM 4

static const char config[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"desk\",\"path_prefix\":\"/chat/\","
    "\"route_type\":\"streaming\",\"resumable\":true,\"timeout_ms\":5000,"
    "\"target_latency_ms\":400,\"max_attempts\":2,\"service\":\"model\"},"
    "{\"name\":\"booking\",\"host\":\"desk\",\"path_prefix\":\"/booking/\","
    "\"route_type\":\"non_idempotent\",\"timeout_ms\":1000,"
    "\"target_latency_ms\":100,\"max_attempts\":1,\"service\":\"plain\"}],"
    "\"services\":[{\"name\":\"plain\"},{\"name\":\"model\","
    "\"engine\":{\"slots\":64}}],"
    "\"limits\":{},\"tenants\":[{\"name\":\"desk\",\"api_keys\":[\"key\"]}]}";

/* An endpoint: an engine or the plain service. */
typedef struct {
    FakeDeployment *deployment;
    FakeHttpd *httpd;
    GwAddress address;
    char id[32];  /* instance id */
    int64_t born; /* start of its incarnation, Unix milliseconds */
    bool is_engine;
    int weights_version; /* loaded */
    int loading_version; /* version being loaded, or 0 */
    int order_count;     /* load orders of this incarnation */
    GwTimer load_timer;
} Node;

/* A streamed answer in progress. */
typedef struct {
    FakeExchange *exchange;
    GwTimer timer;
    int next_event; /* id of the next event; ids start at 1 */
} EventStream;

struct FakeDeployment {
    GwLoop *loop;
    FakeStore *store;
    /* Engines, then the plain service. */
    Node nodes[FAKE_DEPLOYMENT_ENGINES + 1];
    int n_engines;
};

static void add_foreign_rows_(FakeDeployment *d);
static bool start_node_(FakeDeployment *d, int i, GwError *err);
static void put_row_(const Node *n);
static void on_request_(void *user, FakeExchange *x);
static void on_connection_closed_(void *user, FakeExchange *x);
static void serve_report_(const Node *n, FakeExchange *x);
static void serve_load_order_(Node *n, FakeExchange *x);
static void on_weights_loaded_(void *user);
static void serve_request_(Node *n, FakeExchange *x);
static void on_event_due_(void *user);
static void decline_request_(const Node *n, FakeExchange *x, int status);
static const char *find_header_(FakeExchange *x, const char *name);

static const FakeHttpdOps node_httpd_ops = {on_request_,
                                            on_connection_closed_};

FakeDeployment *
FakeDeployment_New(GwLoop *loop, int engines, GwError *err)
{
    FakeDeployment *d = g_new0(FakeDeployment, 1);
    const GwAddress any = {"127.0.0.1", 0};

    d->loop = loop;
    d->n_engines = MIN(engines, FAKE_DEPLOYMENT_ENGINES);
    d->store = FakeStore_New(loop, &any, err);
    if (d->store == NULL)
        return NULL;
    FakeStore_Put(d->store, "keyed.op", "config", config);
    for (int i = 0; i <= d->n_engines; i++) {
        if (!start_node_(d, i, err))
            return NULL;
    }
    add_foreign_rows_(d);
    return d;
}

void
FakeDeployment_Delete(FakeDeployment *d)
{
    if (d == NULL)
        return;
    for (int i = 0; i <= d->n_engines; i++) {
        GwTimer_Stop(&d->nodes[i].load_timer);
        FakeHttpd_Delete(d->nodes[i].httpd);
    }
    FakeStore_Delete(d->store);
    g_free(d);
}

int
FakeDeployment_StorePort(const FakeDeployment *d)
{
    return FakeStore_Port(d->store);
}

GwAddress
FakeDeployment_Engine(const FakeDeployment *d, int i)
{
    return d->nodes[i].address;
}

void
FakeDeployment_Restart(FakeDeployment *d, int i)
{
    Node *n = &d->nodes[i];

    GwTimer_Stop(&n->load_timer);
    FakeHttpd_ResetAll(n->httpd);
    n->loading_version = 0;
    n->order_count = 0;
    n->born = MAX(n->born + 1, g_get_real_time() / 1000);
    put_row_(n);
}

void
FakeDeployment_NameWeights(FakeDeployment *d, int version)
{
    g_autofree char *text =
        g_strdup_printf("{\"model\":\"m\",\"version\":%d}", version);

    FakeStore_Put(d->store, "keyed.op", "version/m", text);
}

// Adds rows that other writers could have put into the instance list: a row of
// another service with the address of the first engine, a row with an invalid
// field and a row that is not UTF-8.
static void
add_foreign_rows_(FakeDeployment *d)
{
    const GwAddress *a = &d->nodes[0].address;
    g_autofree char *same_address_row = g_strdup_printf(
        "{\"service\":\"nobody's\",\"address\":\"%s:%d\",\"zone\":\"medeu\","
        "\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
        "\"cold_remaining_ms\":0,\"seq\":1,\"born\":1}",
        a->host, a->port);

    FakeStore_Put(d->store, "keyed.servers", "foreign-1", same_address_row);
    FakeStore_Put(d->store, "keyed.servers", "foreign-2",
                  "{\"service\":\"model\",\"slots\":\"many\"}");
    FakeStore_Put(d->store, "keyed.servers", "foreign-3", "\xff\xfe");
}

// Starts node i and lists it as an instance. The last node is the plain
// service.
static bool
start_node_(FakeDeployment *d, int i, GwError *err)
{
    Node *n = &d->nodes[i];

    n->deployment = d;
    n->is_engine = i < d->n_engines;
    n->weights_version = 1;
    n->born = g_get_real_time() / 1000;
    g_snprintf(n->id, sizeof(n->id), "i-%d", i + 1);
    g_snprintf(n->address.host, sizeof(n->address.host), "127.0.0.%d", 11 + i);
    n->httpd = FakeHttpd_New(d->loop, &n->address, &node_httpd_ops, n, err);
    if (n->httpd == NULL)
        return false;
    n->address.port = FakeHttpd_Port(n->httpd);
    GwTimer_Init(&n->load_timer, d->loop, on_weights_loaded_, n);
    put_row_(n);
    return true;
}

// Writes the row of the instance list for a node.
static void
put_row_(const Node *n)
{
    g_autofree char *models = g_strdup_printf(
        ",\"models\":[{\"name\":\"m\",\"version\":%d}]", n->weights_version);
    g_autofree char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"medeu\","
        "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
        "\"cold_remaining_ms\":0,\"seq\":1,\"born\":%" G_GINT64_FORMAT "%s}",
        n->is_engine ? "model" : "plain", n->address.host, n->address.port,
        n->born, n->is_engine ? models : "");

    FakeStore_Put(n->deployment->store, "keyed.servers", n->id, text);
}

static void
on_request_(void *user, FakeExchange *x)
{
    Node *n = user;
    const char *expected = find_header_(x, "X-Expect-Instance");
    const char *weights_version = find_header_(x, "X-Expect-Version");

    if (n->is_engine && strcmp(x->head->target, "/galenagw/report") == 0)
        serve_report_(n, x);
    else if (expected == NULL || strcmp(expected, n->id) != 0)
        decline_request_(n, x, 421);
    else if (n->is_engine && strcmp(x->head->target, "/galenagw/order") == 0)
        serve_load_order_(n, x);
    else if (n->loading_version != 0)
        decline_request_(n, x, 503);
    else if (weights_version != NULL &&
             atoi(weights_version) != n->weights_version)
        decline_request_(n, x, 421);
    else
        serve_request_(n, x);
}

static void
on_connection_closed_(void *user, FakeExchange *x)
{
    EventStream *stream = x->user;

    if (stream == NULL)
        return;
    GwTimer_Stop(&stream->timer);
    g_free(stream);
}

static void
serve_report_(const Node *n, FakeExchange *x)
{
    g_autofree char *text = g_strdup_printf(
        "{\"models\":[{\"name\":\"m\",\"version\":%d}],\"busy\":%s,"
        "\"seq\":%d,\"queued\":0,\"running\":0,\"kv_used\":0,"
        "\"kv_total\":100000,\"born\":%" G_GINT64_FORMAT "}",
        n->weights_version, n->loading_version != 0 ? "true" : "false",
        n->order_count, n->born);

    FakeExchange_Answer(x, 200, "", text, strlen(text));
}

static void
serve_load_order_(Node *n, FakeExchange *x)
{
    const char *at = strstr(x->body->str, "\"version\":");

    if (at == NULL || n->loading_version != 0) {
        FakeExchange_Answer(x, at == NULL ? 400 : 409, "", "", 0);
        return;
    }
    n->loading_version = atoi(at + strlen("\"version\":"));
    n->order_count++;
    GwTimer_Start(&n->load_timer, WEIGHTS_LOAD_TIME);
    FakeExchange_Answer(x, 202, "", "", 0);
}

static void
on_weights_loaded_(void *user)
{
    Node *n = user;

    n->weights_version = n->loading_version;
    n->loading_version = 0;
    put_row_(n);
}

static void
serve_request_(Node *n, FakeExchange *x)
{
    const char *id = find_header_(x, "X-Request-Id");
    const char *last_event_id = find_header_(x, "Last-Event-Id");
    g_autofree char *headers =
        g_strdup_printf("X-Request-Id: %s\r\nX-Response-Signature: by-%s\r\n"
                        "Keep-Alive: timeout=5\r\nX-Weight-Versions: %d\r\n",
                        id != NULL ? id : "", n->id, n->weights_version);
    g_autofree char *head = NULL;
    EventStream *stream;

    if (!n->is_engine) {
        FakeExchange_Answer(x, 200, headers, "booked\n", 7);
        return;
    }
    head = g_strconcat("HTTP/1.1 200 OK\r\n", headers,
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       NULL);
    FakeExchange_Write(x, head, strlen(head));
    stream = g_new0(EventStream, 1);
    stream->exchange = x;
    stream->next_event = last_event_id != NULL ? atoi(last_event_id) + 1 : 1;
    x->user = stream;
    GwTimer_Init(&stream->timer, n->deployment->loop, on_event_due_, stream);
    GwTimer_Start(&stream->timer, EVENT_INTERVAL);
}

static void
on_event_due_(void *user)
{
    EventStream *stream = user;
    g_autofree char *event = NULL;
    g_autofree char *chunk = NULL;

    if (stream->next_event > EVENTS_PER_STREAM) {
        stream->exchange->user = NULL;
        FakeExchange_Write(stream->exchange, "0\r\n\r\n", 5);
        g_free(stream);
        return;
    }
    event = g_strdup_printf("id: %d\ndata: piece %d\n\n", stream->next_event,
                            stream->next_event);
    chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);
    FakeExchange_Write(stream->exchange, chunk, strlen(chunk));
    stream->next_event++;
    GwTimer_Start(&stream->timer, EVENT_INTERVAL);
}

static void
decline_request_(const Node *n, FakeExchange *x, int status)
{
    g_autofree char *headers =
        g_strdup_printf("X-Not-Executed: 1\r\nX-Instance-Id: %s\r\n", n->id);

    FakeExchange_Answer(x, status, headers, "", 0);
}

static const char *
find_header_(FakeExchange *x, const char *name)
{
    return GwHttpHead_Find(x->head, name);
}
