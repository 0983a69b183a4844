#include "galenagw/fakes/fake_platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#include "fake_http.h"

const char *const FakeLogMode_Names[FAKE_LOG_MODES] = {"up", "down", "hang"};

typedef struct {
    uint64_t first_offset; /* offset of records[0] */
    GPtrArray *records;    /* json_t */
} Stream;

/* A call that is processed or answered later: a read that waits for a record,
 * an append that takes effect later, a delayed answer, or a call that gets no
 * answer. */
typedef struct DeferredCall DeferredCall;
struct DeferredCall {
    TAILQ_ENTRY(DeferredCall) link;
    FakePlatform *platform;
    GwHttpCall *call; /* NULL after the client closed it */
    GwTimer timer;
    char *stream;   /* of a waiting read or a late append; else NULL */
    uint64_t from;  /* offset of a waiting read */
    json_t *record; /* of a late append; else NULL */
    char *text;     /* of a delayed answer; else NULL */
};

struct FakePlatform {
    GwLoop *loop;
    GwHttpServer *server;
    FakeFaults faults;
    GHashTable *streams; /* name to Stream */
    json_t *instances;   /* name to row */
    char *last_list;     /* answer repeated while list_frozen is set */
    TAILQ_HEAD(, DeferredCall) deferred_calls;
};

static void on_call_(void *user, GwHttpCall *call);
static void on_call_closed_(void *user, GwHttpCall *call);
static void serve_append_(FakePlatform *p, GwHttpCall *call,
                          const char *stream);
static void serve_read_(FakePlatform *p, GwHttpCall *call, const char *stream);
static void serve_list_(FakePlatform *p, GwHttpCall *call);
static void serve_instance_(FakePlatform *p, GwHttpCall *call,
                            const char *name);
static void serve_faults_(FakePlatform *p, GwHttpCall *call);
static void answer_with_delay_(FakePlatform *p, GwHttpCall *call, char *text);
static void answer_read_(GwHttpCall *call, const Stream *s, uint64_t from);
static void answer_waiting_reads_(FakePlatform *p, const char *stream);
static DeferredCall *deferred_call_new_(FakePlatform *p, GwHttpCall *call,
                                        GwTime delay);
static void deferred_call_delete_(DeferredCall *d);
static void on_deferred_due_(void *user);
static Stream *find_or_add_stream_(FakePlatform *p, const char *name);
static uint64_t query_number_(const char *path, const char *name);

static const GwHttpServerOps server_ops = {on_call_, on_call_closed_, NULL,
                                           NULL};

static void
stream_delete_(gpointer data)
{
    Stream *s = data;

    g_ptr_array_unref(s->records);
    g_free(s);
}

FakePlatform *
FakePlatform_New(GwLoop *loop, const GwAddress *address, GwError *err)
{
    FakePlatform *p = g_new0(FakePlatform, 1);

    p->loop = loop;
    p->streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stream_delete_);
    p->instances = json_object();
    TAILQ_INIT(&p->deferred_calls);
    p->server = FakeHttp_Listen(loop, address, &server_ops, p, err);
    return p->server != NULL ? p : NULL;
}

void
FakePlatform_Delete(FakePlatform *p)
{
    if (p == NULL)
        return;
    while (!TAILQ_EMPTY(&p->deferred_calls))
        deferred_call_delete_(TAILQ_FIRST(&p->deferred_calls));
    GwHttpServer_Delete(p->server);
    g_hash_table_unref(p->streams);
    json_decref(p->instances);
    free(p->last_list);
    g_free(p);
}

int
FakePlatform_Port(const FakePlatform *p)
{
    return GwHttpServer_Port(p->server);
}

FakeFaults *
FakePlatform_Faults(FakePlatform *p)
{
    return &p->faults;
}

void
FakePlatform_SetInstance(FakePlatform *p, const char *name, const char *role,
                         const char *pool, const char *failure_domain,
                         int port, bool leaving)
{
    char address[32];

    g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    json_object_set_new(
        p->instances, name,
        json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "name", name, "role", role,
                  "pool", pool, "failure_domain", failure_domain, "address",
                  address, "state", leaving ? "leaving" : "live"));
}

uint64_t
FakePlatform_Append(FakePlatform *p, const char *stream, const json_t *record)
{
    Stream *s = find_or_add_stream_(p, stream);
    uint64_t offset = s->first_offset + s->records->len;

    g_ptr_array_add(s->records, json_deep_copy(record));
    while (p->faults.keep > 0 && s->records->len > p->faults.keep) {
        g_ptr_array_remove_index(s->records, 0);
        s->first_offset++;
    }
    answer_waiting_reads_(p, stream);
    return offset;
}

uint64_t
FakePlatform_Count(const FakePlatform *p, const char *stream)
{
    const Stream *s = g_hash_table_lookup(p->streams, stream);

    return s != NULL ? s->records->len : 0;
}

static void
on_call_(void *user, GwHttpCall *call)
{
    FakePlatform *p = user;
    const char *path = GwHttpCall_Path(call);
    char stream[128];
    char verb[16];

    if (sscanf(path, "/streams/%127[^/]/%15[a-z]", stream, verb) == 2) {
        if (p->faults.mode == FAKE_LOG_DOWN)
            FakeHttp_Respond(call, 503, "{}");
        else if (p->faults.mode == FAKE_LOG_HANG)
            deferred_call_new_(p, call, GW_NEVER / 4);
        else if (strcmp(verb, "append") == 0)
            serve_append_(p, call, stream);
        else
            serve_read_(p, call, stream);
    }
    else if (strcmp(path, "/instances") == 0) {
        serve_list_(p, call);
    }
    else if (g_str_has_prefix(path, "/instances/")) {
        serve_instance_(p, call, path + strlen("/instances/"));
    }
    else if (strcmp(path, "/faults") == 0) {
        serve_faults_(p, call);
    }
    else {
        FakeHttp_Respond(call, 404, "{}");
    }
}

static void
on_call_closed_(void *user, GwHttpCall *call)
{
    DeferredCall *d = GwHttpCall_User(call);

    if (d == NULL)
        return;
    // A late append takes effect also after the client closed the call.
    d->call = NULL;
    if (d->record == NULL)
        deferred_call_delete_(d);
}

static void
serve_append_(FakePlatform *p, GwHttpCall *call, const char *stream)
{
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    json_t *record = json_loadb(body, len, 0, NULL);

    if (record == NULL) {
        FakeHttp_Respond(call, 400, "{}");
        return;
    }
    if (p->faults.drop_appends > 0) {
        p->faults.drop_appends--;
        GwHttpCall_Abort(call);
    }
    else if (p->faults.late_appends > 0) {
        DeferredCall *d = deferred_call_new_(p, NULL, p->faults.late_by);

        p->faults.late_appends--;
        d->stream = g_strdup(stream);
        d->record = json_incref(record);
        GwHttpCall_Abort(call);
    }
    else if (p->faults.lose_answers > 0) {
        p->faults.lose_answers--;
        FakePlatform_Append(p, stream, record);
        GwHttpCall_Abort(call);
    }
    else {
        uint64_t offset = FakePlatform_Append(p, stream, record);

        answer_with_delay_(
            p, call, g_strdup_printf("{\"offset\":%" PRIu64 "}", offset));
    }
    json_decref(record);
}

static void
serve_read_(FakePlatform *p, GwHttpCall *call, const char *stream)
{
    Stream *s = find_or_add_stream_(p, stream);
    const char *path = GwHttpCall_Path(call);
    uint64_t from = query_number_(path, "from=");
    uint64_t wait_ms = query_number_(path, "wait_ms=");

    if (from < s->first_offset + s->records->len || wait_ms == 0) {
        answer_read_(call, s, from);
        return;
    }
    DeferredCall *d =
        deferred_call_new_(p, call, (GwTime)wait_ms * GW_MILLISECOND);

    d->stream = g_strdup(stream);
    d->from = from;
}

static void
serve_list_(FakePlatform *p, GwHttpCall *call)
{
    json_t *rows = json_array();
    json_t *root;
    const char *name;
    json_t *row;
    char *text;

    if (p->faults.list_down) {
        json_decref(rows);
        FakeHttp_Respond(call, 503, "{}");
        return;
    }
    if (p->faults.list_frozen && p->last_list != NULL) {
        json_decref(rows);
        FakeHttp_Respond(call, 200, p->last_list);
        return;
    }
    json_object_foreach(p->instances, name, row) json_array_append(rows, row);
    root = json_pack("{s:o}", "instances", rows);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    FakeHttp_Respond(call, 200, text);
    free(p->last_list);
    p->last_list = text;
}

static void
serve_instance_(FakePlatform *p, GwHttpCall *call, const char *name)
{
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    json_t *row = json_loadb(body, len, 0, NULL);

    if (strcmp(GwHttpCall_Method(call), "DELETE") == 0) {
        json_object_del(p->instances, name);
    }
    else if (row != NULL) {
        json_object_set_new(row, "name", json_string(name));
        json_object_set(p->instances, name, row);
    }
    json_decref(row);
    FakeHttp_Respond(call, 200, "{}");
}

static void
serve_faults_(FakePlatform *p, GwHttpCall *call)
{
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    json_t *root = json_loadb(body, len, 0, NULL);
    const char *mode = json_string_value(json_object_get(root, "log"));
    const json_t *keep = json_object_get(root, "keep");

    for (int m = 0; m < FAKE_LOG_MODES; m++) {
        if (g_strcmp0(mode, FakeLogMode_Names[m]) == 0)
            p->faults.mode = (FakeLogMode)m;
    }
    if (keep != NULL)
        p->faults.keep = (uint64_t)json_integer_value(keep);
    p->faults.lose_answers +=
        (int)json_integer_value(json_object_get(root, "lose_answers"));
    p->faults.list_down = json_is_true(json_object_get(root, "list_down"));
    json_decref(root);
    FakeHttp_Respond(call, 200, "{}");
}

static void
answer_with_delay_(FakePlatform *p, GwHttpCall *call, char *text)
{
    if (p->faults.delay == 0) {
        FakeHttp_Respond(call, 200, text);
        g_free(text);
        return;
    }
    deferred_call_new_(p, call, p->faults.delay)->text = text;
}

static void
answer_read_(GwHttpCall *call, const Stream *s, uint64_t from)
{
    uint64_t at = MAX(from, s->first_offset);
    json_t *rows = json_array();
    json_t *root;
    char *text;

    for (; at < s->first_offset + s->records->len; at++)
        json_array_append_new(
            rows, json_pack("{s:I, s:O}", "offset", (json_int_t)at, "data",
                            s->records->pdata[at - s->first_offset]));
    root = json_pack("{s:I, s:I, s:o}", "first", (json_int_t)s->first_offset,
                     "next",
                     (json_int_t)s->first_offset + (json_int_t)s->records->len,
                     "records", rows);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    FakeHttp_Respond(call, 200, text);
    free(text);
}

static void
answer_waiting_reads_(FakePlatform *p, const char *stream)
{
    DeferredCall *d;
    DeferredCall *next;

    for (d = TAILQ_FIRST(&p->deferred_calls); d != NULL; d = next) {
        next = TAILQ_NEXT(d, link);
        if (d->record == NULL && g_strcmp0(d->stream, stream) == 0)
            on_deferred_due_(d);
    }
}

static DeferredCall *
deferred_call_new_(FakePlatform *p, GwHttpCall *call, GwTime delay)
{
    DeferredCall *d = g_new0(DeferredCall, 1);

    d->platform = p;
    d->call = call;
    if (call != NULL)
        GwHttpCall_SetUser(call, d);
    GwTimer_Init(&d->timer, p->loop, on_deferred_due_, d);
    GwTimer_Start(&d->timer, delay);
    TAILQ_INSERT_TAIL(&p->deferred_calls, d, link);
    return d;
}

static void
deferred_call_delete_(DeferredCall *d)
{
    if (d->call != NULL)
        GwHttpCall_SetUser(d->call, NULL);
    TAILQ_REMOVE(&d->platform->deferred_calls, d, link);
    GwTimer_Stop(&d->timer);
    json_decref(d->record);
    g_free(d->stream);
    g_free(d->text);
    g_free(d);
}

static void
on_deferred_due_(void *user)
{
    DeferredCall *d = user;
    GwHttpCall *call = d->call;

    // The call is invalid after its answer: its user is cleared before.
    if (call != NULL)
        GwHttpCall_SetUser(call, NULL);
    d->call = NULL;
    if (d->record != NULL)
        FakePlatform_Append(d->platform, d->stream, d->record);
    else if (d->text != NULL && call != NULL)
        FakeHttp_Respond(call, 200, d->text);
    else if (d->stream != NULL && call != NULL)
        answer_read_(call, find_or_add_stream_(d->platform, d->stream),
                     d->from);
    deferred_call_delete_(d);
}

static Stream *
find_or_add_stream_(FakePlatform *p, const char *name)
{
    Stream *s = g_hash_table_lookup(p->streams, name);

    if (s == NULL) {
        s = g_new0(Stream, 1);
        s->records =
            g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
        g_hash_table_insert(p->streams, g_strdup(name), s);
    }
    return s;
}

static uint64_t
query_number_(const char *path, const char *name)
{
    const char *at = strstr(path, name);

    return at != NULL ? g_ascii_strtoull(at + strlen(name), NULL, 10) : 0;
}
