#include "cache_sync.h"

#include <string.h>

/* Collects the parts for a message: their keys, and how many tokens of each
 * are cached (0: the part is no longer cached). */
typedef struct {
    uint64_t *keys;
    uint32_t *tokens;
    size_t n;
} PartBatch;

static void add_part_(void *user, uint64_t key, uint32_t tokens);
static void attach_to_instance_(const GwCacheSync *sync,
                                GwInstances *instances);

void
GwCacheSync_Send(GwCacheSync *sync, GwSession *session,
                 const GwLocalCache *cache, const GwCachedPartChange *list,
                 size_t n)
{
    size_t capacity =
        sync->has_full_update ? n : GwCachedParts_Count(cache->parts);
    g_autofree uint64_t *keys = g_new(uint64_t, capacity);
    g_autofree uint32_t *tokens = g_new(uint32_t, capacity);
    PartBatch out = {keys, tokens, 0};
    GW_FRAME(frame, msg, KEPT_PARTS, KeptParts, kept_parts);

    if (sync->has_full_update && n == 0)
        return;
    if (sync->has_full_update) {
        for (size_t i = 0; i < n; i++)
            add_part_(&out, list[i].key, list[i].tokens);
    }
    else {
        GwCachedParts_Each(cache->parts, add_part_, &out);
    }
    msg.instance = (char *)cache->instance;
    msg.incarnation = cache->incarnation;
    msg.whole = !sync->has_full_update;
    msg.keys = keys;
    msg.n_keys = out.n;
    msg.tokens = tokens;
    msg.n_tokens = out.n;
    sync->has_full_update = true;
    GwSession_Send(session, &frame);
}

void
GwCacheSync_Reset(GwCacheSync *sync)
{
    sync->has_full_update = false;
}

void
GwCacheSync_OnUpdate(GwCacheSync *sync, const Gw__Wire__KeptParts *msg,
                     GwInstances *instances)
{
    bool is_known_cache = sync->parts != NULL &&
                          strcmp(sync->instance, msg->instance) == 0 &&
                          sync->incarnation == msg->incarnation;

    if (msg->whole) {
        GwCacheSync_Clear(sync);
        sync->parts = GwCachedParts_New(GW_MAX_CACHED_PARTS);
        g_strlcpy(sync->instance, msg->instance, sizeof(sync->instance));
        sync->incarnation = msg->incarnation;
    }
    else if (!is_known_cache) {
        // Changes are of no use unless all parts of this instance and
        // incarnation were received before.
        return;
    }
    for (size_t i = 0; i < msg->n_keys && i < msg->n_tokens; i++)
        GwCachedParts_Set(sync->parts, msg->keys[i], msg->tokens[i]);
    attach_to_instance_(sync, instances);
}

void
GwCacheSync_Clear(GwCacheSync *sync)
{
    GwCachedParts_Unref(g_steal_pointer(&sync->parts));
}

static void
add_part_(void *user, uint64_t key, uint32_t tokens)
{
    PartBatch *out = user;

    out->keys[out->n] = key;
    out->tokens[out->n] = tokens;
    out->n++;
}

// Attaches the parts to their instance. The agent may send them before the
// instance list contains the engine, or contains this incarnation of it. The
// parts are then attached with a later update of changes, which follows within
// some hundred milliseconds. Parts of unknown incarnation (0) are attached to
// any.
static void
attach_to_instance_(const GwCacheSync *sync, GwInstances *instances)
{
    GwInstance *instance = GwInstances_Find(instances, sync->instance);

    if (instance == NULL || instance->cached_parts == sync->parts ||
        (sync->incarnation != 0 && sync->incarnation != instance->incarnation))
        return;
    GwInstance_SetCachedParts(instance, sync->parts);
}
