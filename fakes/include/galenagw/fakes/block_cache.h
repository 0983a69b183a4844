/**
 * @defgroup block_cache Block cache
 * @brief An engine's prefix cache: named blocks with LRU eviction.
 *
 * Used by the stand-in engine and by the reference policy of the benchmark,
 * which routes with complete knowledge of all caches.
 * @{
 */
#ifndef GALENAGW_FAKES_BLOCK_CACHE_H
#define GALENAGW_FAKES_BLOCK_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct BlockCache BlockCache;

/** Makes an empty cache for @p capacity blocks. */
BlockCache *BlockCache_New(size_t capacity);
void BlockCache_Delete(BlockCache *cache);
bool BlockCache_Has(const BlockCache *cache, uint64_t block);
/** @return number of leading blocks of @p blocks that are cached */
size_t BlockCache_Hit(const BlockCache *cache, const uint64_t *blocks,
                      size_t n);
/** Caches all of @p blocks as most recently used. Evicts the least recently
 * used blocks beyond the capacity and calls @p removed for each of them; @p
 * removed may be NULL. */
void BlockCache_Use(BlockCache *cache, const uint64_t *blocks, size_t n,
                    void (*removed)(void *user, uint64_t block), void *user);
void BlockCache_Clear(BlockCache *cache);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
