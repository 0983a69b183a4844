#include "fake_engine_calls.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "fake_http.h"

void
FakeEngineCalls_ServeReport(FakeEngine *e, GwHttpCall *call)
{
    char text[256];

    if (e->options.silent)
        return;
    g_snprintf(text, sizeof(text),
               "{\"incarnation\":%" PRIu64
               ",\"slots\":%d,\"cache_blocks\":%zu,\"weights\":\"%s\","
               "\"loading\":%s}",
               e->incarnation, e->options.slots, e->options.cache_blocks,
               e->weights, e->loading_weights != NULL ? "true" : "false");
    FakeHttp_Respond(call, 200, text);
}

void
FakeEngineCalls_ServeOrder(FakeEngine *e, GwHttpCall *call)
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
    g_free(e->loading_weights);
    e->loading_weights = g_strdup(weights);
    json_decref(root);
    GwTimer_Start(&e->load_timer, e->options.load_time);
    FakeHttp_Respond(call, 200, "{}");
}

void
FakeEngineCalls_OnWeightsLoaded(void *user)
{
    FakeEngine *e = user;

    g_free(e->weights);
    e->weights = g_steal_pointer(&e->loading_weights);
    BlockCache_Clear(e->cache);
    // Cached blocks are invalid with new weights. A new incarnation makes
    // readers of the cache events discard their copies.
    e->incarnation++;
    e->next_seq = 0;
}

void
FakeEngineCalls_ServeStats(FakeEngine *e, GwHttpCall *call)
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
