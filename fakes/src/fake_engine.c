#include "galenagw/fakes/fake_engine.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "fake_engine_calls.h"
#include "fake_engine_events.h"
#include "fake_engine_private.h"
#include "fake_http.h"

#define BYTES_PER_TOKEN 4
#define BYTE_ORDER_MARK "\xEF\xBB\xBF"

static void on_call_(void *user, GwHttpCall *call);
static void on_call_closed_(void *user, GwHttpCall *call);
static void start_generation_(FakeEngine *e, GwHttpCall *call, bool chat);
static bool parse_request_(Generation *g, const json_t *root);
static void read_last_message_(Generation *g, const json_t *root);
static bool has_fatal_system_(const FakeEngine *e, const json_t *root);
static void enqueue_by_priority_(FakeEngine *e, Generation *g);
static void prefill_next_(FakeEngine *e);
static void on_prefilled_(void *user);
static void serve_faults_(FakeEngine *e, GwHttpCall *call);
static bool is_fatal_message_(const FakeEngine *e, const Generation *g);
static void on_decode_timer_(void *user);
static void emit_token_(Generation *g);
static void write_events_(const FakeEngine *e, GwHttpCall *call,
                          const char *events);
static void finish_generation_(Generation *g);
static void generation_delete_(Generation *g);
static uint64_t tokens_cached_elsewhere_(const FakeEngine *e,
                                         const Generation *g, size_t hit);
static void add_evicted_block_(void *user, uint64_t block);

static const GwHttpServerOps server_ops = {on_call_, on_call_closed_, NULL,
                                           NULL};

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
    e->evicted = g_ptr_array_new();
    TAILQ_INIT(&e->prefill_queue);
    TAILQ_INIT(&e->running);
    TAILQ_INIT(&e->event_polls);
    g_queue_init(&e->events);
    GwTimer_Init(&e->load_timer, loop, FakeEngineCalls_OnWeightsLoaded, e);
    GwTimer_Init(&e->event_timer, loop, FakeEngineEvents_OnTimer, e);
    e->server = FakeHttp_Listen(loop, address, &server_ops, e, err);
    return e->server != NULL ? e : NULL;
}

void
FakeEngine_Delete(FakeEngine *e)
{
    Event *ev;

    if (e == NULL)
        return;
    while (!TAILQ_EMPTY(&e->prefill_queue))
        generation_delete_(TAILQ_FIRST(&e->prefill_queue));
    while (!TAILQ_EMPTY(&e->running))
        generation_delete_(TAILQ_FIRST(&e->running));
    while (!TAILQ_EMPTY(&e->event_polls))
        FakeEngineEvents_DeletePoll(TAILQ_FIRST(&e->event_polls));
    while ((ev = g_queue_pop_head(&e->events)) != NULL) {
        g_free(ev->json);
        g_free(ev);
    }
    GwTimer_Stop(&e->load_timer);
    GwTimer_Stop(&e->event_timer);
    GwHttpServer_Delete(e->server);
    BlockCache_Delete(e->cache);
    g_ptr_array_unref(e->evicted);
    g_free(e->weights);
    g_free(e->loading_weights);
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
    struct GenerationList *lists[] = {&e->prefill_queue, &e->running};
    Event *ev;

    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        Generation *g;

        while ((g = TAILQ_FIRST(lists[i])) != NULL) {
            GwHttpCall *call = g->call;

            generation_delete_(g);
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
        start_generation_(e, call, true);
    else if (strcmp(path, "/v1/completions") == 0)
        start_generation_(e, call, false);
    else if (strcmp(path, "/load") == 0)
        FakeEngineCalls_ServeReport(e, call);
    else if (g_str_has_prefix(path, "/events"))
        FakeEngineEvents_Serve(e, call);
    else if (strcmp(path, "/orders") == 0)
        FakeEngineCalls_ServeOrder(e, call);
    else if (strcmp(path, "/faults") == 0)
        serve_faults_(e, call);
    else if (strcmp(path, "/stats") == 0)
        FakeEngineCalls_ServeStats(e, call);
    else
        FakeHttp_Respond(call, 404, "{}");
}

static void
on_call_closed_(void *user, GwHttpCall *call)
{
    FakeEngine *e = user;
    Generation *g;
    EventPoll *w;

    TAILQ_FOREACH(w, &e->event_polls, link)
    {
        if (w->call == call) {
            FakeEngineEvents_DeletePoll(w);
            return;
        }
    }
    g = GwHttpCall_User(call);
    if (g == NULL)
        return;
    e->stats.cancelled++;
    generation_delete_(g);
    prefill_next_(e);
}

static void
start_generation_(FakeEngine *e, GwHttpCall *call, bool chat)
{
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);
    json_t *root;
    Generation *g;

    if (e->options.reject || e->loading_weights != NULL) {
        FakeHttp_Respond(call, 503, "{\"error\":\"not now\"}");
        return;
    }
    root = json_loadb(body, len, 0, NULL);
    g = g_new0(Generation, 1);
    g->engine = e;
    g->call = call;
    g->chat = chat;
    g->text = g_string_new(NULL);
    GwTimer_Init(&g->timer, e->loop, on_prefilled_, g);
    GwHttpCall_SetUser(call, g);
    if (!parse_request_(g, root)) {
        TAILQ_INSERT_TAIL(&e->prefill_queue, g, link);
        generation_delete_(g);
        FakeHttp_Respond(call, 400, "{\"error\":\"bad request\"}");
        json_decref(root);
        return;
    }
    json_decref(root);
    e->stats.requests++;
    enqueue_by_priority_(e, g);
    prefill_next_(e);
}

static bool
parse_request_(Generation *g, const json_t *root)
{
    const json_t *blocks = json_object_get(root, "prefix_blocks");
    const json_t *bytes = json_object_get(root, "prefix_bytes");
    const json_t *max = json_object_get(root, "max_tokens");
    int tokens =
        max != NULL ? (int)json_integer_value(max) : g->engine->options.tokens;

    if (!json_is_object(root))
        return false;
    g->n_blocks = json_array_size(blocks);
    g->blocks = g_new0(uint64_t, g->n_blocks + 1);
    g->block_bytes = g_new0(uint32_t, g->n_blocks + 1);
    for (size_t i = 0; i < g->n_blocks; i++) {
        g->blocks[i] = g_ascii_strtoull(
            json_string_value(json_array_get(blocks, i)), NULL, 16);
        g->block_bytes[i] =
            (uint32_t)json_integer_value(json_array_get(bytes, i));
        g->prompt_tokens +=
            (g->block_bytes[i] + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }
    g->priority = (int)json_integer_value(json_object_get(root, "priority"));
    g->stream = json_is_true(json_object_get(root, "stream"));
    read_last_message_(g, root);
    g->has_fatal_system = has_fatal_system_(g->engine, root);
    g->first_token_index = g->next_token_index;
    g->end_token_index = g->next_token_index + tokens;
    return true;
}

// Computes the tag from the last user message. With continue_final_message, an
// assistant message after it contains the tokens that were already delivered;
// the answer continues with the token after them.
static void
read_last_message_(Generation *g, const json_t *root)
{
    const json_t *messages = json_object_get(root, "messages");
    const char *prompt = json_string_value(json_object_get(root, "prompt"));
    size_t n = json_array_size(messages);

    FakeEngine_Tag(prompt != NULL ? prompt : "", g->tag);
    while (n-- > 0) {
        const json_t *m = json_array_get(messages, n);
        const char *text = json_string_value(json_object_get(m, "content"));
        const char *role = json_string_value(json_object_get(m, "role"));

        if (text == NULL)
            text = "";
        if (strcmp(role, "assistant") == 0 &&
            json_is_true(json_object_get(root, "continue_final_message"))) {
            for (const char *c = text; *c != '\0'; c++)
                g->next_token_index += *c == ' ';
            continue;
        }
        FakeEngine_Tag(text, g->tag);
        return;
    }
}

static bool
has_fatal_system_(const FakeEngine *e, const json_t *root)
{
    size_t i;
    json_t *m;

    if (e->options.fatal_system == NULL)
        return false;
    json_array_foreach(json_object_get(root, "messages"), i, m)
    {
        const char *text = json_string_value(json_object_get(m, "content"));

        if (text != NULL && strcmp(text, e->options.fatal_system) == 0)
            return true;
    }
    return false;
}

static void
enqueue_by_priority_(FakeEngine *e, Generation *g)
{
    Generation *other;

    TAILQ_FOREACH(other, &e->prefill_queue, link)
    {
        if (other->priority <= g->priority)
            continue;
        TAILQ_INSERT_BEFORE(other, g, link);
        return;
    }
    TAILQ_INSERT_TAIL(&e->prefill_queue, g, link);
}

static void
prefill_next_(FakeEngine *e)
{
    Generation *g = TAILQ_FIRST(&e->prefill_queue);
    size_t hit;
    uint64_t missing;

    if (g == NULL || e->prefilling != NULL || e->options.silent)
        return;
    TAILQ_REMOVE(&e->prefill_queue, g, link);
    TAILQ_INSERT_TAIL(&e->running, g, link);
    e->prefilling = g;
    hit = BlockCache_Hit(e->cache, g->blocks, g->n_blocks);
    g->cached_tokens = 0;
    for (size_t i = 0; i < hit; i++)
        g->cached_tokens +=
            (g->block_bytes[i] + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    missing = g->prompt_tokens - g->cached_tokens;
    g->held_elsewhere = tokens_cached_elsewhere_(e, g, hit);
    g->prefill_started_at = GwTime_Now();
    GwTimer_Start(&g->timer, e->options.prefill_base +
                                 (GwTime)(e->options.prefill_us_per_token *
                                          (double)missing));
}

static void
on_prefilled_(void *user)
{
    Generation *g = user;
    FakeEngine *e = g->engine;

    e->prefilling = NULL;
    if (is_fatal_message_(e, g)) {
        FakeEngine_Crash(e);
        return;
    }
    e->stats.prompt_tokens += g->prompt_tokens;
    e->stats.cached_tokens += g->cached_tokens;
    e->stats.held_elsewhere += g->held_elsewhere;
    g_ptr_array_set_size(e->evicted, 0);
    BlockCache_Use(e->cache, g->blocks, g->n_blocks, add_evicted_block_, e);
    FakeEngineEvents_Add(e, "stored", g->blocks, g->n_blocks);
    if (e->evicted->len > 0) {
        g_autofree uint64_t *evicted_blocks = g_new(uint64_t, e->evicted->len);

        for (guint i = 0; i < e->evicted->len; i++)
            evicted_blocks[i] = (uint64_t)(uintptr_t)e->evicted->pdata[i];
        FakeEngineEvents_Add(e, "removed", evicted_blocks, e->evicted->len);
    }
    if (g->stream)
        GwHttpCall_Begin(g->call, 200, "text/event-stream");
    if (g->stream && e->options.has_bom)
        GwHttpCall_Write(g->call, BYTE_ORDER_MARK, strlen(BYTE_ORDER_MARK));
    GwTimer_Init(&g->timer, e->loop, on_decode_timer_, g);
    prefill_next_(e);
    on_decode_timer_(g);
}

static bool
is_fatal_message_(const FakeEngine *e, const Generation *g)
{
    char tag[9];

    if (e->options.fatal == NULL)
        return g->has_fatal_system;
    FakeEngine_Tag(e->options.fatal, tag);
    return g->has_fatal_system || strcmp(tag, g->tag) == 0;
}

static void
on_decode_timer_(void *user)
{
    Generation *g = user;
    FakeEngineOptions *o = &g->engine->options;

    if (o->silent) {
        GwTimer_Start(&g->timer, 10 * GW_MILLISECOND);
        return;
    }
    if (o->break_count > 0 &&
        g->next_token_index - g->first_token_index >= o->break_after) {
        GwHttpCall *call = g->call;

        o->break_count--;
        generation_delete_(g);
        GwHttpCall_Abort(call);
        return;
    }
    if (g->next_token_index >= g->end_token_index) {
        finish_generation_(g);
        return;
    }
    emit_token_(g);
    GwTimer_Start(&g->timer, o->decode);
}

static void
emit_token_(Generation *g)
{
    g_autofree char *event = NULL;
    int padding = g->engine->options.event_padding;
    int n;

    g_string_append_printf(g->text, "%s:%d ", g->tag, g->next_token_index);
    n = g->next_token_index++;
    if (!g->stream)
        return;
    if (g->chat)
        event = g_strdup_printf(
            "data: {%*s\"id\":\"c\",\"object\":\"chat.completion.chunk\","
            "\"choices\":[{\"index\":0,\"delta\":{\"content\":"
            "\"%s:%d \"}}]}\n\n",
            padding, "", g->tag, n);
    else
        event = g_strdup_printf(
            "data: {%*s\"id\":\"c\",\"object\":\"text_completion\","
            "\"choices\":[{\"index\":0,\"text\":\"%s:%d \"}]}\n\n",
            padding, "", g->tag, n);
    write_events_(g->engine, g->call, event);
}

static void
write_events_(const FakeEngine *e, GwHttpCall *call, const char *events)
{
    g_autoptr(GString) out = g_string_new(events);

    if (e->options.line_end != NULL)
        g_string_replace(out, "\n", e->options.line_end, 0);
    GwHttpCall_Write(call, out->str, out->len);
}

static void
finish_generation_(Generation *g)
{
    GwHttpCall *call = g->call;
    g_autofree char *usage = g_strdup_printf(
        "\"usage\":{\"prompt_tokens\":%" PRIu64
        ",\"completion_tokens\":%d,\"prompt_tokens_details\":{"
        "\"cached_tokens\":%" PRIu64 "}}",
        g->prompt_tokens, g->end_token_index - g->first_token_index,
        g->cached_tokens);
    g_autofree char *text = NULL;

    if (g->stream)
        text = g_strdup_printf("data: {\"id\":\"c\",\"choices\":[],%s}\n\n"
                               "data: [DONE]\n\n",
                               usage);
    else if (g->chat)
        text = g_strdup_printf(
            "{\"id\":\"c\",\"object\":\"chat.completion\",\"choices\":[{"
            "\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":"
            "\"%s\"},\"finish_reason\":\"stop\"}],%s}",
            g->text->str, usage);
    else
        text = g_strdup_printf(
            "{\"id\":\"c\",\"object\":\"text_completion\",\"choices\":[{"
            "\"index\":0,\"text\":\"%s\",\"finish_reason\":\"stop\"}],%s}",
            g->text->str, usage);
    if (g->stream) {
        write_events_(g->engine, call, text);
        generation_delete_(g);
        GwHttpCall_End(call);
        return;
    }
    generation_delete_(g);
    FakeHttp_Respond(call, 200, text);
}

static void
generation_delete_(Generation *g)
{
    FakeEngine *e = g->engine;
    Generation *other;
    bool queued = false;

    GwTimer_Stop(&g->timer);
    GwHttpCall_SetUser(g->call, NULL);
    TAILQ_FOREACH(other, &e->prefill_queue, link)
    queued |= other == g;
    if (queued)
        TAILQ_REMOVE(&e->prefill_queue, g, link);
    else
        TAILQ_REMOVE(&e->running, g, link);
    if (e->prefilling == g) {
        // Cancelled during its prefill: the tokens computed so far are lost.
        if (e->options.prefill_us_per_token > 0)
            e->stats.abandoned +=
                (uint64_t)((double)(GwTime_Now() - g->prefill_started_at) /
                           e->options.prefill_us_per_token);
        e->prefilling = NULL;
    }
    g_free(g->blocks);
    g_free(g->block_bytes);
    g_string_free(g->text, TRUE);
    g_free(g);
}

static uint64_t
tokens_cached_elsewhere_(const FakeEngine *e, const Generation *g, size_t hit)
{
    size_t best = hit;
    uint64_t tokens = 0;

    for (size_t i = 0; i < e->fleet_n; i++) {
        size_t other =
            BlockCache_Hit(e->fleet[i]->cache, g->blocks, g->n_blocks);

        best = MAX(best, other);
    }
    for (size_t i = hit; i < best; i++)
        tokens += (g->block_bytes[i] + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    return tokens;
}

static void
add_evicted_block_(void *user, uint64_t block)
{
    FakeEngine *e = user;

    g_ptr_array_add(e->evicted, (gpointer)(uintptr_t)block);
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
