/**
 * @defgroup block_cache Block cache
 * @brief An engine's prefix cache: named blocks, least recently used out.
 *
 * Used by the stand-in engine, and by the reference of the measurements, which
 * knows all.
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

BlockCache *BlockCache_New(size_t capacity);
void BlockCache_Delete(BlockCache *cache);
bool BlockCache_Has(const BlockCache *cache, uint64_t block);
/** Leading blocks that are held. */
size_t BlockCache_Hit(const BlockCache *cache, const uint64_t *blocks,
                      size_t n);
/** Hold all of @p blocks; @p removed is told of each that had to go. */
void BlockCache_Use(BlockCache *cache, const uint64_t *blocks, size_t n,
                    void (*removed)(void *user, uint64_t block), void *user);
void BlockCache_Clear(BlockCache *cache);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
