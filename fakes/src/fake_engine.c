#include "galenagw/fakes/fake_engine.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "fake_http.h"

#define BYTES_PER_TOKEN 4
#define EVENTS_KEPT 4096
#define EVENT_BLOCKS 64

typedef struct Run Run;
struct Run {
    TAILQ_ENTRY(Run) link;
    FakeEngine *engine;
    GwHttpCall *call;
    GwTimer timer;
    uint64_t *blocks;
    uint32_t *bytes;
    size_t n;
    int priority;
    bool stream;
    bool chat;
    char tag[9];
    int next;  /* index of the next token */
    int first; /* index of the first one in this call */
    int end;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    uint64_t held_elsewhere;
    GwTime prefill_from;
    GString *text;
};

typedef struct {
    uint64_t seq;
    char *json;
    GwTime visible_at;
} Event;

typedef struct Waiter Waiter;
struct Waiter {
    TAILQ_ENTRY(Waiter) link;
    FakeEngine *engine;
    GwHttpCall *call;
    GwTimer timer;
    uint64_t from;
};

struct FakeEngine {
    GwLoop *loop;
    GwHttpServer *server;
    FakeEngineOptions options;
    FakeEngineStats stats;
    BlockCache *cache;
    uint64_t incarnation;
    char *weights;
    char *loading; /* version being loaded, or NULL */
    GwTimer load_timer;
    TAILQ_HEAD(RunList, Run) queue; /* awaiting prefill */
    struct RunList running;         /* prefilling or decoding */
    Run *prefilling;
    GQueue events; /* Event */
    uint64_t next_seq;
    uint64_t batches;
    GPtrArray *removed; /* names, of the batch being made */
    TAILQ_HEAD(, Waiter) waiters;
    GwTimer event_timer;
    FakeEngine **fleet;
    size_t fleet_n;
};

static void on_call_(void *user, GwHttpCall *call);
static void on_gone_(void *user, GwHttpCall *call);
static void start_run_(FakeEngine *e, GwHttpCall *call, bool chat);
static bool parse_run_(Run *r, const json_t *root);
static void read_last_message_(Run *r, const json_t *root);
static void enqueue_(FakeEngine *e, Run *r);
static void prefill_next_(FakeEngine *e);
static void on_prefilled_(void *user);
static bool is_fatal_(const FakeEngine *e, const Run *r);
static void on_decode_(void *user);
static void emit_token_(Run *r);
static void finish_run_(Run *r);
static void run_delete_(Run *r);
static uint64_t held_elsewhere_(const FakeEngine *e, const Run *r, size_t hit);
static void note_removed_(void *user, uint64_t block);
static void add_event_(FakeEngine *e, const char *kind, const uint64_t *blocks,
                       size_t n);
static void serve_load_(FakeEngine *e, GwHttpCall *call);
static void serve_events_(FakeEngine *e, GwHttpCall *call);
static void serve_order_(FakeEngine *e, GwHttpCall *call);
static void serve_faults_(FakeEngine *e, GwHttpCall *call);
static void serve_stats_(FakeEngine *e, GwHttpCall *call);
static void on_loaded_(void *user);
static bool answer_events_(FakeEngine *e, GwHttpCall *call, uint64_t from,
                           bool empty_too);
static void on_waiter_(void *user);
static void on_event_timer_(void *user);
static void waiter_delete_(Waiter *w);

static const GwHttpServerOps server_ops = {on_call_, on_gone_, NULL, NULL};

FakeEngine *
FakeEngine_New(GwLoop *loop, const GwAddress *address,
               const FakeEngineOptions *options, GwError *err)
{
    static uint64_t incarnations = 1;
    FakeEngine *e = g_new0(FakeEngine, 1);

    e->loop = loop;
    e->options = *options;
    e->cache = BlockCache_New(options->cache_blocks);
    e->incarnation = (uint64_t)g_get_real_time() + incarnations++;
    e->weights = g_strdup(options->weights);
    e->removed = g_ptr_array_new();
    TAILQ_INIT(&e->queue);
    TAILQ_INIT(&e->running);
    TAILQ_INIT(&e->waiters);
    g_queue_init(&e->events);
    GwTimer_Init(&e->load_timer, loop, on_loaded_, e);
    GwTimer_Init(&e->event_timer, loop, on_event_timer_, e);
    e->server = FakeHttp_Listen(loop, address, &server_ops, e, err);
    return e->server != NULL ? e : NULL;
}

void
FakeEngine_Delete(FakeEngine *e)
{
    Event *ev;

    if (e == NULL)
        return;
    while (!TAILQ_EMPTY(&e->queue))
        run_delete_(TAILQ_FIRST(&e->queue));
    while (!TAILQ_EMPTY(&e->running))
        run_delete_(TAILQ_FIRST(&e->running));
    while (!TAILQ_EMPTY(&e->waiters))
        waiter_delete_(TAILQ_FIRST(&e->waiters));
    while ((ev = g_queue_pop_head(&e->events)) != NULL) {
        g_free(ev->json);
        g_free(ev);
    }
    GwTimer_Stop(&e->load_timer);
    GwTimer_Stop(&e->event_timer);
    GwHttpServer_Delete(e->server);
    BlockCache_Delete(e->cache);
    g_ptr_array_unref(e->removed);
    g_free(e->weights);
    g_free(e->loading);
    g_free(e);
}

int
FakeEngine_Port(const FakeEngine *e)
{
    return GwHttpServer_Port(e->server);
}

FakeEngineOptions *
FakeEngine_Options(FakeEngine *e)
{
    return &e->options;
}

const FakeEngineStats *
FakeEngine_Stats(const FakeEngine *e)
{
    return &e->stats;
}

void
FakeEngine_SetFleet(FakeEngine *e, FakeEngine **fleet, size_t n)
{
    e->fleet = fleet;
    e->fleet_n = n;
}

void
FakeEngine_Crash(FakeEngine *e)
{
    struct RunList *lists[] = {&e->queue, &e->running};
    Event *ev;

    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        Run *r;

        while ((r = TAILQ_FIRST(lists[i])) != NULL) {
            GwHttpCall *call = r->call;

            run_delete_(r);
            GwHttpCall_Abort(call);
        }
    }
    BlockCache_Clear(e->cache);
    while ((ev = g_queue_pop_head(&e->events)) != NULL) {
        g_free(ev->json);
        g_free(ev);
    }
    e->next_seq = 0;
    e->incarnation++;
    e->stats.crashes++;
}

void
FakeEngine_Tag(const char *message, char tag[9])
{
    g_snprintf(tag, 9, "%08x", XXH32(message, strlen(message), 0));
}

static void
on_call_(void *user, GwHttpCall *call)
{
    FakeEngine *e = user;
    const char *path = GwHttpCall_Path(call);

    if (strcmp(path, "/v1/chat/completions") == 0)
        start_run_(e, call, true);
    else if (strcmp(path, "/v1/completions") == 0)
        start_run_(e, call, false);
    else if (strcmp(path, "/load") == 0)
        serve_load_(e, call);
    else if (g_str_has_prefix(path, "/events"))
        serve_events_(e, call);
    else if (strcmp(path, "/orders") == 0)
        serve_order_(e, call);
    else if (strcmp(path, "/faults") == 0)
        serve_faults_(e, call);
    else if (strcmp(path, "/stats") == 0)
        serve_stats_(e, call);
    else
        FakeHttp_Respond(call, 404, "{}");
}

static void
on_gone_(void *user, GwHttpCall *call)
{
    FakeEngine *e = user;
    Run *r;
    Waiter *w;

    TAILQ_FOREACH(w, &e->waiters, link)
    {
        if (w->call == call) {
            waiter_delete_(w);
            return;
        }
    }
    r = GwHttpCall_User(call);
    if (r == NULL)
        return;
    e->stats.cancelled++;
    run_delete_(r);
    prefill_next_(e);
}

static void
start_run_(FakeEngine *e, GwHttpCall *call, bool chat)
{
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    json_t *root;
    Run *r;

    if (e->options.reject || e->loading != NULL) {
        FakeHttp_Respond(call, 503, "{\"error\":\"not now\"}");
        return;
    }
    root = json_loadb(body, len, 0, NULL);
    r = g_new0(Run, 1);
    r->engine = e;
    r->call = call;
    r->chat = chat;
    r->text = g_string_new(NULL);
    GwTimer_Init(&r->timer, e->loop, on_prefilled_, r);
    GwHttpCall_SetUser(call, r);
    if (!parse_run_(r, root)) {
        TAILQ_INSERT_TAIL(&e->queue, r, link);
        run_delete_(r);
        FakeHttp_Respond(call, 400, "{\"error\":\"bad request\"}");
        json_decref(root);
        return;
    }
    json_decref(root);
    e->stats.requests++;
    enqueue_(e, r);
    prefill_next_(e);
}

static bool
parse_run_(Run *r, const json_t *root)
{
    const json_t *blocks = json_object_get(root, "prefix_blocks");
    const json_t *bytes = json_object_get(root, "prefix_bytes");
    const json_t *max = json_object_get(root, "max_tokens");
    int tokens =
        max != NULL ? (int)json_integer_value(max) : r->engine->options.tokens;

    if (!json_is_object(root))
        return false;
    r->n = json_array_size(blocks);
    r->blocks = g_new0(uint64_t, r->n + 1);
    r->bytes = g_new0(uint32_t, r->n + 1);
    for (size_t i = 0; i < r->n; i++) {
        r->blocks[i] = g_ascii_strtoull(
            json_string_value(json_array_get(blocks, i)), NULL, 16);
        r->bytes[i] = (uint32_t)json_integer_value(json_array_get(bytes, i));
        r->prompt_tokens +=
            (r->bytes[i] + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }
    r->priority = (int)json_integer_value(json_object_get(root, "priority"));
    r->stream = json_is_true(json_object_get(root, "stream"));
    read_last_message_(r, root);
    r->first = r->next;
    r->end = r->next + tokens;
    return true;
}

// The tag comes from the last user message. An assistant message after it
// is what was delivered before: the answer goes on from its last token.
static void
read_last_message_(Run *r, const json_t *root)
{
    const json_t *messages = json_object_get(root, "messages");
    const char *prompt = json_string_value(json_object_get(root, "prompt"));
    size_t n = json_array_size(messages);

    FakeEngine_Tag(prompt != NULL ? prompt : "", r->tag);
    while (n-- > 0) {
        const json_t *m = json_array_get(messages, n);
        const char *text = json_string_value(json_object_get(m, "content"));
        const char *role = json_string_value(json_object_get(m, "role"));

        if (text == NULL)
            text = "";
        if (strcmp(role, "assistant") == 0 &&
            json_is_true(json_object_get(root, "continue_final_message"))) {
            for (const char *c = text; *c != '\0'; c++)
                r->next += *c == ' ';
            continue;
        }
        FakeEngine_Tag(text, r->tag);
        return;
    }
}

static void
enqueue_(FakeEngine *e, Run *r)
{
    Run *other;

    TAILQ_FOREACH(other, &e->queue, link)
    {
        if (other->priority <= r->priority)
            continue;
        TAILQ_INSERT_BEFORE(other, r, link);
        return;
    }
    TAILQ_INSERT_TAIL(&e->queue, r, link);
}

static void
prefill_next_(FakeEngine *e)
{
    Run *r = TAILQ_FIRST(&e->queue);
    size_t hit;
    uint64_t missing;

    if (r == NULL || e->prefilling != NULL || e->options.silent)
        return;
    TAILQ_REMOVE(&e->queue, r, link);
    TAILQ_INSERT_TAIL(&e->running, r, link);
    e->prefilling = r;
    hit = BlockCache_Hit(e->cache, r->blocks, r->n);
    r->cached_tokens = 0;
    for (size_t i = 0; i < hit; i++)
        r->cached_tokens +=
            (r->bytes[i] + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    missing = r->prompt_tokens - r->cached_tokens;
    r->held_elsewhere = held_elsewhere_(e, r, hit);
    r->prefill_from = GwTime_Now();
    GwTimer_Start(&r->timer, e->options.prefill_base +
                                 (GwTime)(e->options.prefill_us_per_token *
                                          (double)missing));
}

static void
on_prefilled_(void *user)
{
    Run *r = user;
    FakeEngine *e = r->engine;

    e->prefilling = NULL;
    if (is_fatal_(e, r)) {
        FakeEngine_Crash(e);
        return;
    }
    e->stats.prompt_tokens += r->prompt_tokens;
    e->stats.cached_tokens += r->cached_tokens;
    e->stats.held_elsewhere += r->held_elsewhere;
    g_ptr_array_set_size(e->removed, 0);
    BlockCache_Use(e->cache, r->blocks, r->n, note_removed_, e);
    add_event_(e, "stored", r->blocks, r->n);
    if (e->removed->len > 0) {
        g_autofree uint64_t *gone = g_new(uint64_t, e->removed->len);

        for (guint i = 0; i < e->removed->len; i++)
            gone[i] = (uint64_t)(uintptr_t)e->removed->pdata[i];
        add_event_(e, "removed", gone, e->removed->len);
    }
    if (r->stream)
        GwHttpCall_Begin(r->call, 200, "text/event-stream");
    GwTimer_Init(&r->timer, e->loop, on_decode_, r);
    prefill_next_(e);
    on_decode_(r);
}

static bool
is_fatal_(const FakeEngine *e, const Run *r)
{
    char tag[9];

    if (e->options.fatal == NULL)
        return false;
    FakeEngine_Tag(e->options.fatal, tag);
    return strcmp(tag, r->tag) == 0;
}

static void
on_decode_(void *user)
{
    Run *r = user;
    FakeEngineOptions *o = &r->engine->options;

    if (o->silent) {
        GwTimer_Start(&r->timer, 10 * GW_MILLISECOND);
        return;
    }
    if (o->break_count > 0 && r->next - r->first >= o->break_after) {
        GwHttpCall *call = r->call;

        o->break_count--;
        run_delete_(r);
        GwHttpCall_Abort(call);
        return;
    }
    if (r->next >= r->end) {
        finish_run_(r);
        return;
    }
    emit_token_(r);
    GwTimer_Start(&r->timer, o->decode);
}

static void
emit_token_(Run *r)
{
    char event[256];
    int n;

    g_string_append_printf(r->text, "%s:%d ", r->tag, r->next);
    n = r->next++;
    if (!r->stream)
        return;
    if (r->chat)
        g_snprintf(event, sizeof(event),
                   "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\","
                   "\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                   "\"%s:%d \"}}]}\n\n",
                   r->tag, n);
    else
        g_snprintf(event, sizeof(event),
                   "data: {\"id\":\"c\",\"object\":\"text_completion\","
                   "\"choices\":[{\"index\":0,\"text\":\"%s:%d \"}]}\n\n",
                   r->tag, n);
    GwHttpCall_Write(r->call, event, strlen(event));
}

static void
finish_run_(Run *r)
{
    GwHttpCall *call = r->call;
    g_autofree char *usage =
        g_strdup_printf("\"usage\":{\"prompt_tokens\":%" PRIu64
                        ",\"completion_tokens\":%d,\"prompt_tokens_details\":{"
                        "\"cached_tokens\":%" PRIu64 "}}",
                        r->prompt_tokens, r->end - r->first, r->cached_tokens);
    g_autofree char *text = NULL;

    if (r->stream)
        text = g_strdup_printf("data: {\"id\":\"c\",\"choices\":[],%s}\n\n"
                               "data: [DONE]\n\n",
                               usage);
    else if (r->chat)
        text = g_strdup_printf(
            "{\"id\":\"c\",\"object\":\"chat.completion\",\"choices\":[{"
            "\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":"
            "\"%s\"},\"finish_reason\":\"stop\"}],%s}",
            r->text->str, usage);
    else
        text = g_strdup_printf(
            "{\"id\":\"c\",\"object\":\"text_completion\",\"choices\":[{"
            "\"index\":0,\"text\":\"%s\",\"finish_reason\":\"stop\"}],%s}",
            r->text->str, usage);
    if (r->stream) {
        run_delete_(r);
        GwHttpCall_Write(call, text, strlen(text));
        GwHttpCall_End(call);
        return;
    }
    run_delete_(r);
    FakeHttp_Respond(call, 200, text);
}

static void
run_delete_(Run *r)
{
    FakeEngine *e = r->engine;
    Run *other;
    bool queued = false;

    GwTimer_Stop(&r->timer);
    GwHttpCall_SetUser(r->call, NULL);
    TAILQ_FOREACH(other, &e->queue, link)
    queued |= other == r;
    if (queued)
        TAILQ_REMOVE(&e->queue, r, link);
    else
        TAILQ_REMOVE(&e->running, r, link);
    if (e->prefilling == r) {
        // Begun and cancelled: what was computed is lost.
        if (e->options.prefill_us_per_token > 0)
            e->stats.abandoned +=
                (uint64_t)((double)(GwTime_Now() - r->prefill_from) /
                           e->options.prefill_us_per_token);
        e->prefilling = NULL;
    }
    g_free(r->blocks);
    g_free(r->bytes);
    g_string_free(r->text, TRUE);
    g_free(r);
}

static uint64_t
held_elsewhere_(const FakeEngine *e, const Run *r, size_t hit)
{
    size_t best = hit;
    uint64_t tokens = 0;

    for (size_t i = 0; i < e->fleet_n; i++) {
        size_t other = BlockCache_Hit(e->fleet[i]->cache, r->blocks, r->n);

        best = MAX(best, other);
    }
    for (size_t i = hit; i < best; i++)
        tokens += (r->bytes[i] + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    return tokens;
}

static void
note_removed_(void *user, uint64_t block)
{
    FakeEngine *e = user;

    g_ptr_array_add(e->removed, (gpointer)(uintptr_t)block);
}

static void
add_event_(FakeEngine *e, const char *kind, const uint64_t *blocks, size_t n)
{
    for (size_t at = 0; at < n; at += EVENT_BLOCKS) {
        GString *text = g_string_new(NULL);
        Event *ev = g_new0(Event, 1);

        ev->seq = e->next_seq++;
        ev->visible_at = GwTime_Now() + e->options.event_delay;
        g_string_printf(text, "{\"seq\":%" PRIu64 ",\"kind\":\"%s\"", ev->seq,
                        kind);
        g_string_append(text, ",\"blocks\":[");
        for (size_t i = at; i < MIN(n, at + EVENT_BLOCKS); i++)
            g_string_append_printf(text, "%s\"%016" PRIx64 "\"",
                                   i > at ? "," : "", blocks[i]);
        g_string_append(text, "]}");
        ev->json = g_string_free(text, FALSE);
        e->batches++;
        if (e->options.drop_events > 0 &&
            e->batches % (uint64_t)e->options.drop_events == 0) {
            g_free(ev->json);
            g_free(ev);
            continue;
        }
        g_queue_push_tail(&e->events, ev);
        if (g_queue_get_length(&e->events) > EVENTS_KEPT) {
            ev = g_queue_pop_head(&e->events);
            g_free(ev->json);
            g_free(ev);
        }
    }
    GwTimer_Start(&e->event_timer, e->options.event_delay + GW_MILLISECOND);
}

static void
serve_load_(FakeEngine *e, GwHttpCall *call)
{
    char text[256];

    if (e->options.silent)
        return;
    g_snprintf(text, sizeof(text),
               "{\"incarnation\":%" PRIu64
               ",\"slots\":%d,\"cache_blocks\":%zu,\"weights\":\"%s\","
               "\"loading\":%s}",
               e->incarnation, e->options.slots, e->options.cache_blocks,
               e->weights, e->loading != NULL ? "true" : "false");
    FakeHttp_Respond(call, 200, text);
}

static void
serve_events_(FakeEngine *e, GwHttpCall *call)
{
    const char *path = GwHttpCall_Path(call);
    const char *from = strstr(path, "from=");
    uint64_t seq = from != NULL ? g_ascii_strtoull(from + 5, NULL, 10) : 0;
    Waiter *w;

    if (answer_events_(e, call, seq, false))
        return;
    w = g_new0(Waiter, 1);
    w->engine = e;
    w->call = call;
    w->from = seq;
    GwTimer_Init(&w->timer, e->loop, on_waiter_, w);
    GwTimer_Start(&w->timer, GW_SECOND);
    TAILQ_INSERT_TAIL(&e->waiters, w, link);
}

static bool
answer_events_(FakeEngine *e, GwHttpCall *call, uint64_t from, bool empty_too)
{
    g_autoptr(GString) text = g_string_new(NULL);
    GwTime now = GwTime_Now();
    bool any = false;

    g_string_printf(text, "{\"incarnation\":%" PRIu64 ",\"events\":[",
                    e->incarnation);
    for (GList *l = e->events.head; l != NULL; l = l->next) {
        const Event *ev = l->data;

        if (ev->seq < from || ev->visible_at > now)
            continue;
        g_string_append_printf(text, "%s%s", any ? "," : "", ev->json);
        any = true;
    }
    if (!any && !empty_too)
        return false;
    g_string_append(text, "]}");
    FakeHttp_Respond(call, 200, text->str);
    return true;
}

static void
on_waiter_(void *user)
{
    Waiter *w = user;
    FakeEngine *e = w->engine;
    GwHttpCall *call = w->call;
    uint64_t from = w->from;

    waiter_delete_(w);
    answer_events_(e, call, from, true);
}

static void
on_event_timer_(void *user)
{
    FakeEngine *e = user;
    Waiter *w;
    Waiter *next;

    for (w = TAILQ_FIRST(&e->waiters); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (answer_events_(e, w->call, w->from, false))
            waiter_delete_(w);
    }
}

static void
waiter_delete_(Waiter *w)
{
    TAILQ_REMOVE(&w->engine->waiters, w, link);
    GwTimer_Stop(&w->timer);
    g_free(w);
}

static void
serve_order_(FakeEngine *e, GwHttpCall *call)
{
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    json_t *root = json_loadb(body, len, 0, NULL);
    const char *weights = json_string_value(json_object_get(root, "weights"));
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(root, "fence"));

    if (!e->options.ignore_fence && fence < e->stats.last_fence) {
        e->stats.fenced++;
        json_decref(root);
        FakeHttp_Respond(call, 409, "{\"error\":\"old fence\"}");
        return;
    }
    e->stats.last_fence = MAX(fence, e->stats.last_fence);
    e->stats.loads++;
    g_free(e->loading);
    e->loading = g_strdup(weights);
    json_decref(root);
    GwTimer_Start(&e->load_timer, e->options.load_time);
    FakeHttp_Respond(call, 200, "{}");
}

static void
on_loaded_(void *user)
{
    FakeEngine *e = user;

    g_free(e->weights);
    e->weights = g_steal_pointer(&e->loading);
    BlockCache_Clear(e->cache);
    // New weights make every cached block useless; the incarnation says so.
    e->incarnation++;
    e->next_seq = 0;
}

static void
serve_faults_(FakeEngine *e, GwHttpCall *call)
{
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    json_t *root = json_loadb(body, len, 0, NULL);

    if (json_is_true(json_object_get(root, "crash")))
        FakeEngine_Crash(e);
    e->options.silent = json_is_true(json_object_get(root, "silent"));
    e->options.reject = json_is_true(json_object_get(root, "reject"));
    json_decref(root);
    FakeHttp_Respond(call, 200, "{}");
    if (!e->options.silent)
        prefill_next_(e);
}

static void
serve_stats_(FakeEngine *e, GwHttpCall *call)
{
    char text[256];

    g_snprintf(text, sizeof(text),
               "{\"requests\":%" PRIu64 ",\"prompt_tokens\":%" PRIu64
               ",\"cached_tokens\":%" PRIu64 ",\"held_elsewhere\":%" PRIu64
               ",\"abandoned\":%" PRIu64 ",\"cancelled\":%" PRIu64 "}",
               e->stats.requests, e->stats.prompt_tokens,
               e->stats.cached_tokens, e->stats.held_elsewhere,
               e->stats.abandoned, e->stats.cancelled);
    FakeHttp_Respond(call, 200, text);
}
