/**
 * @defgroup candidates Candidates
 * @brief Which endpoints to ask for an offer, without shared state.
 *
 * Every entry ranks the members of a pool by rendezvous hashing of the prefix
 * at each level of the prompt, that is, at each end of a message. For the
 * deepest level that other prompts can share it picks the two members with the
 * highest rank, or two of more members if the prefix is hot. For each
 * shallower level it picks the member with the highest rank, unless that is
 * picked already, so that a new prompt also reaches an endpoint with the
 * longest prefix that is already cached.
 * @{
 */
#ifndef GALENAGW_POLICY_CANDIDATES_H
#define GALENAGW_POLICY_CANDIDATES_H

#include <glib.h>
#include <stdbool.h>

#include "galenagw/policy/chain.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most candidates for one request. */
#define GW_CANDIDATES_MAX 8

/** A member of the pool, as the input of the choice. */
typedef struct {
    uint64_t id; /**< stable hash of the instance's name */
    bool usable; /**< may get new requests */
} GwCandidateMember;

/** Parameters of the choice. */
typedef struct {
    int probes;     /**< members to pick, up to GW_CANDIDATES_MAX */
    uint32_t width; /**< number of members over which the requests of the
                         deepest level are spread */
} GwCandidateOptions;

/** Rendezvous weight of @p member for @p key; the highest has the highest
 * rank. */
uint64_t GwCandidates_Weight(uint64_t key, uint64_t member);

/**
 * Picks members for @p chain.
 * @param[out] picks indices into @p members, preferred ones first
 * @return number of members picked
 */
int GwCandidates_Pick(const GwChain *chain, const GwCandidateMember *members,
                      size_t n_members, const GwCandidateOptions *options,
                      GRand *rand, size_t picks[GW_CANDIDATES_MAX]);

/** The anchor of a prompt: the hash of the deepest level that other prompts
 * can share, by which requests are routed and heat is counted. */
uint64_t GwCandidates_Anchor(const GwChain *chain);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
