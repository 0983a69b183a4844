/**
 * @defgroup chain Prefix chains
 * @brief A prompt as a chain of hashes, one for each prefix of chunks.
 *
 * Text is cut at message boundaries and every GW_CHUNK_BYTES within one, so
 * that prompts sharing leading messages share leading hashes. The seed
 * covers client account, model, weights and adapter: entries of another
 * account or of older weights can never match.
 * @{
 */
#ifndef GALENAGW_POLICY_CHAIN_H
#define GALENAGW_POLICY_CHAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Largest chunk, in bytes of text. */
#define GW_CHUNK_BYTES 256
/** Bytes of text taken for one token, before an endpoint has told better. */
#define GW_BYTES_PER_TOKEN 4

/** What a chain is bound to. */
typedef struct {
    const char *account;
    const char *model;
    const char *weights;
    const char *adapter;
} GwChainSeed;

/** A chain; plain data, released by GwChain_Finish. */
typedef struct {
    uint64_t *hashes; /**< one a chunk; each covers all before it */
    uint32_t *bytes;  /**< text bytes of each chunk */
    size_t count;
    size_t capacity;
    size_t *levels; /**< chunk counts at which a message ended */
    size_t n_levels;
    size_t levels_capacity;
    uint64_t last; /**< hash so far, the seed's when empty */
} GwChain;

void GwChain_Init(GwChain *chain, const GwChainSeed *seed);
void GwChain_Finish(GwChain *chain);
/** Add one message; its end becomes a level. */
void GwChain_AddMessage(GwChain *chain, const char *role, const char *text,
                        size_t len);
/** Tokens that chunks @p from to the end are estimated to hold. */
uint64_t GwChain_Tokens(const uint32_t *bytes, size_t from, size_t count);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
