/**
 * @defgroup cached_parts Cached parts
 * @brief Which parts of prompts one cache node holds.
 *
 * A cache node is an engine or a KV store. Its events report parts that it has
 * added and evicted; this is the resulting state. A late or missing event may
 * cause a less suitable endpoint to be chosen, but never a wrong answer:
 * engines compare scopes and parts themselves and prefill what is missing.
 * @{
 */
#ifndef GALENAGW_ROUTING_CACHED_PARTS_H
#define GALENAGW_ROUTING_CACHED_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "galenagw/routing/request_info.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwCachedParts GwCachedParts;

/** Maximum number of parts stored for one engine. The largest known engine, of
 * 260,000 tokens, has memory for about 2,000 short ones. */
#define GW_MAX_CACHED_PARTS 4000

/** A part of which a cache node now holds more or fewer tokens. */
typedef struct {
    uint64_t key;    /**< see GwCachedParts_Key */
    uint32_t tokens; /**< tokens held now; 0: evicted */
} GwCachedPartChange;

/** Called for each cached part. */
typedef void (*GwCachedParts_OnPart)(void *user, uint64_t key,
                                     uint32_t tokens);

/** @param max_parts maximum number of stored parts, which bounds memory;
 *   further ones are ignored */
GwCachedParts *GwCachedParts_New(unsigned max_parts);
GwCachedParts *GwCachedParts_Ref(GwCachedParts *cached);
/** @p cached may be NULL. */
void GwCachedParts_Unref(GwCachedParts *cached);
/** Key of @p part in @p scope. Only requests of the same scope share parts. */
uint64_t GwCachedParts_Key(const char *scope, uint64_t part);
/** Set the tokens of a part that the node holds; 0: the part was evicted. */
void GwCachedParts_Set(GwCachedParts *cached, uint64_t key, uint32_t tokens);
void GwCachedParts_Clear(GwCachedParts *cached);
unsigned GwCachedParts_Count(const GwCachedParts *cached);
void GwCachedParts_Each(const GwCachedParts *cached, GwCachedParts_OnPart fn,
                        void *user);
/** Number of leading parts of @p info that the node holds. Parts after a
 * missing one do not count, because engines only reuse a part if they have all
 * parts before it. */
unsigned GwCachedParts_Leading(const GwCachedParts *cached,
                               const GwRequestInfo *info, const char *scope);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
