#include "galenagw/policy/chain.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t hash_text_(const char *text, uint64_t seed);
static void add_chunk_(GwChain *chain, const char *text, size_t len);
static void add_level_(GwChain *chain);

void
GwChain_Init(GwChain *chain, const GwChainSeed *seed)
{
    uint64_t h = 0;

    memset(chain, 0, sizeof(*chain));
    h = hash_text_(seed->account, h);
    h = hash_text_(seed->model, h);
    h = hash_text_(seed->weights, h);
    h = hash_text_(seed->adapter, h);
    chain->last = h;
}

void
GwChain_Finish(GwChain *chain)
{
    g_free(chain->hashes);
    g_free(chain->bytes);
    g_free(chain->levels);
    memset(chain, 0, sizeof(*chain));
}

void
GwChain_AddMessage(GwChain *chain, const char *role, const char *text,
                   size_t len)
{
    // The role is part of the hash, since engines insert it between the
    // messages of the prompt, but not of the counted bytes.
    chain->last = hash_text_(role, chain->last);
    for (size_t at = 0; at < len; at += GW_CHUNK_BYTES)
        add_chunk_(chain, text + at, MIN(len - at, GW_CHUNK_BYTES));
    add_level_(chain);
}

uint64_t
GwChain_Tokens(const uint32_t *bytes, size_t from, size_t count)
{
    uint64_t sum = 0;

    for (size_t i = from; i < count; i++)
        sum += (bytes[i] + GW_BYTES_PER_TOKEN - 1) / GW_BYTES_PER_TOKEN;
    return sum;
}

// The terminating NUL is hashed too, so that ("ab","c") and ("a","bc") give
// different seeds.
static uint64_t
hash_text_(const char *text, uint64_t seed)
{
    if (text == NULL)
        text = "";
    return XXH3_64bits_withSeed(text, strlen(text) + 1, seed);
}

static void
add_chunk_(GwChain *chain, const char *text, size_t len)
{
    if (chain->count == chain->capacity) {
        chain->capacity = MAX(16, chain->capacity * 2);
        chain->hashes = g_renew(uint64_t, chain->hashes, chain->capacity);
        chain->bytes = g_renew(uint32_t, chain->bytes, chain->capacity);
    }
    chain->last = XXH3_64bits_withSeed(text, len, chain->last);
    chain->hashes[chain->count] = chain->last;
    chain->bytes[chain->count] = (uint32_t)len;
    chain->count++;
}

static void
add_level_(GwChain *chain)
{
    // An empty message ends at the same chunk as its predecessor.
    if (chain->count == 0)
        return;
    if (chain->n_levels > 0 &&
        chain->levels[chain->n_levels - 1] == chain->count)
        return;
    if (chain->n_levels == chain->levels_capacity) {
        chain->levels_capacity = MAX(8, chain->levels_capacity * 2);
        chain->levels = g_renew(size_t, chain->levels, chain->levels_capacity);
    }
    chain->levels[chain->n_levels++] = chain->count;
}
