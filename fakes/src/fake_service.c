#include "galenagw/fakes/fake_service.h"

#include <jansson.h>
#include <string.h>
#include <sys/queue.h>

#include "fake_http.h"

typedef struct Answer Answer;
struct Answer {
    TAILQ_ENTRY(Answer) link;
    FakeService *service;
    GwHttpCall *call;
    GwTimer timer;
    char *text;
};

struct FakeService {
    GwLoop *loop;
    GwHttpServer *server;
    FakeServiceOptions options;
    GHashTable *runs; /* id to count */
    int total;
    TAILQ_HEAD(, Answer) answers;
};

static void on_call_(void *user, GwHttpCall *call);
static void on_gone_(void *user, GwHttpCall *call);
static int run_(FakeService *s, const char *body, size_t len);
static void on_answer_(void *user);
static void answer_delete_(Answer *a);

static const GwHttpServerOps server_ops = {on_call_, on_gone_, NULL, NULL};

FakeService *
FakeService_New(GwLoop *loop, const GwAddress *address,
                const FakeServiceOptions *options, GwError *err)
{
    FakeService *s = g_new0(FakeService, 1);

    s->loop = loop;
    s->options = *options;
    s->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    TAILQ_INIT(&s->answers);
    s->server = FakeHttp_Listen(loop, address, &server_ops, s, err);
    return s->server != NULL ? s : NULL;
}

void
FakeService_Delete(FakeService *s)
{
    if (s == NULL)
        return;
    while (!TAILQ_EMPTY(&s->answers))
        answer_delete_(TAILQ_FIRST(&s->answers));
    GwHttpServer_Delete(s->server);
    g_hash_table_unref(s->runs);
    g_free(s);
}

int
FakeService_Port(const FakeService *s)
{
    return GwHttpServer_Port(s->server);
}

FakeServiceOptions *
FakeService_Options(FakeService *s)
{
    return &s->options;
}

int
FakeService_Runs(const FakeService *s, const char *id)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(s->runs, id));
}

int
FakeService_MostRuns(const FakeService *s)
{
    GHashTableIter it;
    gpointer count;
    int most = 0;

    g_hash_table_iter_init(&it, s->runs);
    while (g_hash_table_iter_next(&it, NULL, &count))
        most = MAX(most, GPOINTER_TO_INT(count));
    return most;
}

int
FakeService_Total(const FakeService *s)
{
    return s->total;
}

static void
on_call_(void *user, GwHttpCall *call)
{
    FakeService *s = user;
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    Answer *a;
    int count;

    if (strcmp(GwHttpCall_Path(call), "/runs") == 0) {
        g_autofree char *text = g_strdup_printf(
            "{\"total\":%d,\"most\":%d}", s->total, FakeService_MostRuns(s));

        FakeHttp_Respond(call, 200, text);
        return;
    }
    count = run_(s, body, len);
    if (s->options.lose_answers > 0) {
        s->options.lose_answers--;
        GwHttpCall_Abort(call);
        return;
    }
    a = g_new0(Answer, 1);
    a->service = s;
    a->call = call;
    a->text =
        g_strdup_printf("{\"booked\":true,\"run\":%d,\"path\":\"%s\"%*s}",
                        count, GwHttpCall_Path(call), s->options.padding, "");
    GwHttpCall_SetUser(call, a);
    GwTimer_Init(&a->timer, s->loop, on_answer_, a);
    TAILQ_INSERT_TAIL(&s->answers, a, link);
    if (s->options.hang > 0)
        s->options.hang--;
    else
        GwTimer_Start(&a->timer, s->options.delay);
}

static void
on_gone_(void *user, GwHttpCall *call)
{
    Answer *a = GwHttpCall_User(call);

    if (a != NULL)
        answer_delete_(a);
}

static int
run_(FakeService *s, const char *body, size_t len)
{
    json_t *root = json_loadb(body, len, 0, NULL);
    const char *id = json_string_value(json_object_get(root, "id"));
    int count;

    if (id == NULL)
        id = "";
    count = FakeService_Runs(s, id) + 1;
    g_hash_table_insert(s->runs, g_strdup(id), GINT_TO_POINTER(count));
    s->total++;
    json_decref(root);
    return count;
}

static void
on_answer_(void *user)
{
    Answer *a = user;
    GwHttpCall *call = a->call;
    char *text = g_steal_pointer(&a->text);

    answer_delete_(a);
    FakeHttp_Respond(call, 200, text);
    g_free(text);
}

static void
answer_delete_(Answer *a)
{
    TAILQ_REMOVE(&a->service->answers, a, link);
    GwTimer_Stop(&a->timer);
    g_free(a->text);
    g_free(a);
}
