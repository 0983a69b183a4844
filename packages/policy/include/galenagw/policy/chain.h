/**
 * @defgroup chain Prefix chains
 * @brief A prompt as a chain of hashes: one for the first chunk, one for the
 * first two, and so on up to the entire prompt.
 *
 * Text is cut at message boundaries and every GW_CHUNK_BYTES within a message,
 * so that prompts with the same leading messages have the same leading hashes.
 * The first hash starts from a seed of client account, model, weights version
 * and adapter. Prompts that differ in one of them never match, so that a
 * prompt is not taken for cached because another account has sent it or
 * because it was computed with other weights.
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
/** Bytes of text that are estimated to make one token. */
#define GW_BYTES_PER_TOKEN 4

/** What the initial hash of a chain is computed from; NULL strings count as
 * empty. */
typedef struct {
    const char *account; /**< name of the client account */
    const char *model;   /**< name of the pool of engines of the model */
    const char *weights; /**< version of the model's weights */
    const char *adapter; /**< name of the adapter */
} GwChainSeed;

/** A chain. It owns its arrays, which GwChain_Finish releases; a copy of the
 * struct shares them. */
typedef struct {
    uint64_t *hashes; /**< one for each chunk, covering it and all before it */
    uint32_t *bytes;  /**< text bytes of each chunk */
    size_t count;     /**< number of chunks */
    size_t capacity;  /**< allocated length of @c hashes and @c bytes */
    size_t *levels;   /**< for each end of a message the number of chunks up to
                           there; ends with the same number are one level.
                           Other prompts can share the prefix up to such an
                           end, so candidates are picked for each level. */
    size_t n_levels;  /**< number of levels */
    size_t levels_capacity; /**< allocated length of @c levels */
    uint64_t last; /**< hash from which the next chunk's is computed: that of
                        the seed, of the last chunk, or of a role after it.
                        It differs from the last of @c hashes if the last
                        message is empty. For a prompt without chunks it is
                        the anchor (see GwCandidates_Anchor). */
} GwChain;

void GwChain_Init(GwChain *chain, const GwChainSeed *seed);
void GwChain_Finish(GwChain *chain);
/**
 * Adds one message; its end becomes a level. An empty text adds neither a
 * chunk nor a level.
 * @param role part of the hashes from this message on, but not of the bytes
 * that are counted in @c bytes; NULL counts as empty
 */
void GwChain_AddMessage(GwChain *chain, const char *role, const char *text,
                        size_t len);
/**
 * Estimates the tokens of the chunks from index @p from to the end.
 * @param bytes text bytes of each of @p count chunks
 */
uint64_t GwChain_Tokens(const uint32_t *bytes, size_t from, size_t count);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
