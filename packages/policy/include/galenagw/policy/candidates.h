/**
 * @defgroup candidates Candidates
 * @brief Which endpoints to ask for an offer, without shared state.
 *
 * Every entry ranks a pool's members by rendezvous hashing of the prefix
 * at each nested level of the prompt. The deepest level that other prompts
 * can share gets the first two places, widened when it is hot; shallower
 * levels get one each, so that a new prompt still meets an endpoint that
 * holds its longest shared part.
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

/** A member as the choice sees it. */
typedef struct {
    uint64_t id; /**< stable hash of the instance's name */
    bool usable; /**< may get new work */
} GwCandidateMember;

/** What steers the choice. */
typedef struct {
    int probes;     /**< how many to pick, up to GW_CANDIDATES_MAX */
    uint32_t width; /**< how many places the deepest level is spread over */
} GwCandidateOptions;

/** Rendezvous weight of @p member for @p key; the highest wins. */
uint64_t GwCandidates_Weight(uint64_t key, uint64_t member);

/**
 * Pick members for @p chain.
 * @param[out] picks indices into @p members, best place first
 * @return how many were picked
 */
int GwCandidates_Pick(const GwChain *chain, const GwCandidateMember *members,
                      size_t n_members, const GwCandidateOptions *options,
                      GRand *rand, size_t picks[GW_CANDIDATES_MAX]);

/** Hash of the deepest level that other prompts can share. */
uint64_t GwCandidates_Anchor(const GwChain *chain);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
