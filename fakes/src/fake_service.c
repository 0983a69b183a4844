#include "galenagw/fakes/fake_service.h"

#include <jansson.h>
#include <string.h>
#include <sys/queue.h>

#include "fake_http.h"

/* The answer to a call that has run; sent when the timer expires. */
typedef struct PendingAnswer PendingAnswer;
struct PendingAnswer {
    TAILQ_ENTRY(PendingAnswer) link;
    FakeService *service;
    GwHttpCall *call;
    GwTimer timer;
    char *text;
};

struct FakeService {
    GwLoop *loop;
    GwHttpServer *server;
    FakeServiceOptions options;
    GHashTable *run_counts; /* call id to number of runs */
    int total;
    TAILQ_HEAD(, PendingAnswer) pending_answers;
};

static void on_call_(void *user, GwHttpCall *call);
static void on_call_closed_(void *user, GwHttpCall *call);
static int count_run_(FakeService *s, const char *body, size_t len);
static void on_answer_due_(void *user);
static void pending_answer_delete_(PendingAnswer *a);

static const GwHttpServerOps server_ops = {on_call_, on_call_closed_, NULL,
                                           NULL};

FakeService *
FakeService_New(GwLoop *loop, const GwAddress *address,
                const FakeServiceOptions *options, GwError *err)
{
    FakeService *s = g_new0(FakeService, 1);

    s->loop = loop;
    s->options = *options;
    s->run_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    TAILQ_INIT(&s->pending_answers);
    s->server = FakeHttp_Listen(loop, address, &server_ops, s, err);
    return s->server != NULL ? s : NULL;
}

void
FakeService_Delete(FakeService *s)
{
    if (s == NULL)
        return;
    while (!TAILQ_EMPTY(&s->pending_answers))
        pending_answer_delete_(TAILQ_FIRST(&s->pending_answers));
    GwHttpServer_Delete(s->server);
    g_hash_table_unref(s->run_counts);
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
    return GPOINTER_TO_INT(g_hash_table_lookup(s->run_counts, id));
}

int
FakeService_MostRuns(const FakeService *s)
{
    GHashTableIter it;
    gpointer count;
    int most = 0;

    g_hash_table_iter_init(&it, s->run_counts);
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
    PendingAnswer *a;
    int count;

    if (strcmp(GwHttpCall_Path(call), "/runs") == 0) {
        g_autofree char *text = g_strdup_printf(
            "{\"total\":%d,\"most\":%d}", s->total, FakeService_MostRuns(s));

        FakeHttp_Respond(call, 200, text);
        return;
    }
    count = count_run_(s, body, len);
    if (s->options.lose_answers > 0) {
        s->options.lose_answers--;
        GwHttpCall_Abort(call);
        return;
    }
    a = g_new0(PendingAnswer, 1);
    a->service = s;
    a->call = call;
    a->text =
        g_strdup_printf("{\"booked\":true,\"run\":%d,\"path\":\"%s\"%*s}",
                        count, GwHttpCall_Path(call), s->options.padding, "");
    GwHttpCall_SetUser(call, a);
    GwTimer_Init(&a->timer, s->loop, on_answer_due_, a);
    TAILQ_INSERT_TAIL(&s->pending_answers, a, link);
    if (s->options.hang > 0)
        s->options.hang--;
    else
        GwTimer_Start(&a->timer, s->options.delay);
}

static void
on_call_closed_(void *user, GwHttpCall *call)
{
    PendingAnswer *a = GwHttpCall_User(call);

    if (a != NULL)
        pending_answer_delete_(a);
}

// Counts a run of the call with the id in the body. @return its runs so far
static int
count_run_(FakeService *s, const char *body, size_t len)
{
    json_t *root = json_loadb(body, len, 0, NULL);
    const char *id = json_string_value(json_object_get(root, "id"));
    int count;

    if (id == NULL)
        id = "";
    count = FakeService_Runs(s, id) + 1;
    g_hash_table_insert(s->run_counts, g_strdup(id), GINT_TO_POINTER(count));
    s->total++;
    json_decref(root);
    return count;
}

static void
on_answer_due_(void *user)
{
    PendingAnswer *a = user;
    GwHttpCall *call = a->call;
    char *text = g_steal_pointer(&a->text);

    pending_answer_delete_(a);
    FakeHttp_Respond(call, 200, text);
    g_free(text);
}

static void
pending_answer_delete_(PendingAnswer *a)
{
    TAILQ_REMOVE(&a->service->pending_answers, a, link);
    GwTimer_Stop(&a->timer);
    g_free(a->text);
    g_free(a);
}
