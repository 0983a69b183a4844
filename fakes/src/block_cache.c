#include "galenagw/fakes/block_cache.h"

#include <glib.h>
#include <sys/queue.h>

typedef struct Block Block;
struct Block {
    uint64_t name; /* hash that identifies the block */
    TAILQ_ENTRY(Block) link;
};

struct BlockCache {
    GHashTable *blocks;      /* name to Block */
    TAILQ_HEAD(, Block) lru; /* least recently used first */
    size_t capacity;         /* in blocks */
};

BlockCache *
BlockCache_New(size_t capacity)
{
    BlockCache *c = g_new0(BlockCache, 1);

    c->capacity = capacity;
    c->blocks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    TAILQ_INIT(&c->lru);
    return c;
}

void
BlockCache_Delete(BlockCache *c)
{
    g_hash_table_unref(c->blocks);
    g_free(c);
}

bool
BlockCache_Has(const BlockCache *c, uint64_t block)
{
    return g_hash_table_contains(c->blocks, &block);
}

size_t
BlockCache_Hit(const BlockCache *c, const uint64_t *blocks, size_t n)
{
    size_t i = 0;

    while (i < n && BlockCache_Has(c, blocks[i]))
        i++;
    return i;
}

void
BlockCache_Use(BlockCache *c, const uint64_t *blocks, size_t n,
               void (*removed)(void *user, uint64_t block), void *user)
{
    // In reverse order, so that the first blocks of a prompt are evicted last.
    for (size_t i = n; i-- > 0;) {
        Block *b = g_hash_table_lookup(c->blocks, &blocks[i]);

        if (b != NULL) {
            TAILQ_REMOVE(&c->lru, b, link);
        }
        else {
            b = g_new0(Block, 1);
            b->name = blocks[i];
            g_hash_table_insert(c->blocks, &b->name, b);
        }
        TAILQ_INSERT_TAIL(&c->lru, b, link);
    }
    while (g_hash_table_size(c->blocks) > c->capacity) {
        Block *b = TAILQ_FIRST(&c->lru);

        TAILQ_REMOVE(&c->lru, b, link);
        if (removed != NULL)
            removed(user, b->name);
        g_hash_table_remove(c->blocks, &b->name);
    }
}

void
BlockCache_Clear(BlockCache *c)
{
    g_hash_table_remove_all(c->blocks);
    TAILQ_INIT(&c->lru);
}
