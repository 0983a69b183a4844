#include "galenagw/fakes/fake_platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#include "fake_http.h"

const char *const FakeLogMode_Names[FAKE_LOG_MODES] = {"up", "down", "hang"};

typedef struct {
    uint64_t first;     /* offset of records[0] */
    GPtrArray *records; /* json_t */
} Stream;

/* A call that is answered later. */
typedef struct Later Later;
struct Later {
    TAILQ_ENTRY(Later) link;
    FakePlatform *platform;
    GwHttpCall *call; /* NULL once the caller left */
    GwTimer timer;
    char *stream; /* a waiting read, or a late append */
    uint64_t from;
    json_t *record; /* late append */
    char *text;     /* delayed answer */
};

struct FakePlatform {
    GwLoop *loop;
    GwHttpServer *server;
    FakeFaults faults;
    GHashTable *streams;
    json_t *instances; /* name to row */
    char *frozen_list;
    TAILQ_HEAD(, Later) later;
};

static void on_call_(void *user, GwHttpCall *call);
static void on_gone_(void *user, GwHttpCall *call);
static void serve_append_(FakePlatform *p, GwHttpCall *call,
                          const char *stream);
static void serve_read_(FakePlatform *p, GwHttpCall *call, const char *stream);
static void serve_list_(FakePlatform *p, GwHttpCall *call);
static void serve_instance_(FakePlatform *p, GwHttpCall *call,
                            const char *name);
static void serve_faults_(FakePlatform *p, GwHttpCall *call);
static void answer_(FakePlatform *p, GwHttpCall *call, char *text);
static void answer_read_(GwHttpCall *call, const Stream *s, uint64_t from);
static void wake_readers_(FakePlatform *p, const char *stream);
static Later *later_new_(FakePlatform *p, GwHttpCall *call, GwTime delay);
static void later_delete_(Later *l);
static void on_later_(void *user);
static Stream *stream_(FakePlatform *p, const char *name);
static uint64_t number_(const char *path, const char *name);

static const GwHttpServerOps server_ops = {on_call_, on_gone_, NULL, NULL};

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
    TAILQ_INIT(&p->later);
    p->server = FakeHttp_Listen(loop, address, &server_ops, p, err);
    return p->server != NULL ? p : NULL;
}

void
FakePlatform_Delete(FakePlatform *p)
{
    if (p == NULL)
        return;
    while (!TAILQ_EMPTY(&p->later))
        later_delete_(TAILQ_FIRST(&p->later));
    GwHttpServer_Delete(p->server);
    g_hash_table_unref(p->streams);
    json_decref(p->instances);
    free(p->frozen_list);
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
    Stream *s = stream_(p, stream);
    uint64_t offset = s->first + s->records->len;

    g_ptr_array_add(s->records, json_deep_copy(record));
    while (p->faults.keep > 0 && s->records->len > p->faults.keep) {
        g_ptr_array_remove_index(s->records, 0);
        s->first++;
    }
    wake_readers_(p, stream);
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
            later_new_(p, call, GW_NEVER / 4);
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
on_gone_(void *user, GwHttpCall *call)
{
    Later *l = GwHttpCall_User(call);

    if (l == NULL)
        return;
    // A late append takes effect whether its caller waits or not.
    l->call = NULL;
    if (l->record == NULL)
        later_delete_(l);
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
        Later *l = later_new_(p, NULL, p->faults.late_by);

        p->faults.late_appends--;
        l->stream = g_strdup(stream);
        l->record = json_incref(record);
        GwHttpCall_Abort(call);
    }
    else if (p->faults.lose_answers > 0) {
        p->faults.lose_answers--;
        FakePlatform_Append(p, stream, record);
        GwHttpCall_Abort(call);
    }
    else {
        uint64_t offset = FakePlatform_Append(p, stream, record);

        answer_(p, call, g_strdup_printf("{\"offset\":%" PRIu64 "}", offset));
    }
    json_decref(record);
}

static void
serve_read_(FakePlatform *p, GwHttpCall *call, const char *stream)
{
    Stream *s = stream_(p, stream);
    const char *path = GwHttpCall_Path(call);
    uint64_t from = number_(path, "from=");
    uint64_t wait_ms = number_(path, "wait_ms=");

    if (from < s->first + s->records->len || wait_ms == 0) {
        answer_read_(call, s, from);
        return;
    }
    Later *l = later_new_(p, call, (GwTime)wait_ms * GW_MILLISECOND);

    l->stream = g_strdup(stream);
    l->from = from;
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
    if (p->faults.list_frozen && p->frozen_list != NULL) {
        json_decref(rows);
        FakeHttp_Respond(call, 200, p->frozen_list);
        return;
    }
    json_object_foreach(p->instances, name, row) json_array_append(rows, row);
    root = json_pack("{s:o}", "instances", rows);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    FakeHttp_Respond(call, 200, text);
    free(p->frozen_list);
    p->frozen_list = text;
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
answer_(FakePlatform *p, GwHttpCall *call, char *text)
{
    if (p->faults.delay == 0) {
        FakeHttp_Respond(call, 200, text);
        g_free(text);
        return;
    }
    later_new_(p, call, p->faults.delay)->text = text;
}

static void
answer_read_(GwHttpCall *call, const Stream *s, uint64_t from)
{
    uint64_t at = MAX(from, s->first);
    json_t *rows = json_array();
    json_t *root;
    char *text;

    for (; at < s->first + s->records->len; at++)
        json_array_append_new(
            rows, json_pack("{s:I, s:O}", "offset", (json_int_t)at, "data",
                            s->records->pdata[at - s->first]));
    root = json_pack("{s:I, s:I, s:o}", "first", (json_int_t)s->first, "next",
                     (json_int_t)s->first + (json_int_t)s->records->len,
                     "records", rows);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    FakeHttp_Respond(call, 200, text);
    free(text);
}

static void
wake_readers_(FakePlatform *p, const char *stream)
{
    Later *l;
    Later *next;

    for (l = TAILQ_FIRST(&p->later); l != NULL; l = next) {
        next = TAILQ_NEXT(l, link);
        if (l->record == NULL && g_strcmp0(l->stream, stream) == 0)
            on_later_(l);
    }
}

static Later *
later_new_(FakePlatform *p, GwHttpCall *call, GwTime delay)
{
    Later *l = g_new0(Later, 1);

    l->platform = p;
    l->call = call;
    if (call != NULL)
        GwHttpCall_SetUser(call, l);
    GwTimer_Init(&l->timer, p->loop, on_later_, l);
    GwTimer_Start(&l->timer, delay);
    TAILQ_INSERT_TAIL(&p->later, l, link);
    return l;
}

static void
later_delete_(Later *l)
{
    if (l->call != NULL)
        GwHttpCall_SetUser(l->call, NULL);
    TAILQ_REMOVE(&l->platform->later, l, link);
    GwTimer_Stop(&l->timer);
    json_decref(l->record);
    g_free(l->stream);
    g_free(l->text);
    g_free(l);
}

static void
on_later_(void *user)
{
    Later *l = user;
    GwHttpCall *call = l->call;

    // A call ends with its answer; nothing may be set on it after that.
    if (call != NULL)
        GwHttpCall_SetUser(call, NULL);
    l->call = NULL;
    if (l->record != NULL)
        FakePlatform_Append(l->platform, l->stream, l->record);
    else if (l->text != NULL && call != NULL)
        FakeHttp_Respond(call, 200, l->text);
    else if (l->stream != NULL && call != NULL)
        answer_read_(call, stream_(l->platform, l->stream), l->from);
    later_delete_(l);
}

static Stream *
stream_(FakePlatform *p, const char *name)
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
number_(const char *path, const char *name)
{
    const char *at = strstr(path, name);

    return at != NULL ? g_ascii_strtoull(at + strlen(name), NULL, 10) : 0;
}
