#include "galenagw/policy/candidates.h"

#include <xxhash.h>

typedef struct {
    const GwCandidateMember *members;
    size_t n_members;
    int wanted;
    size_t *picks;
    int n_picks;
} Pick;

static void take_ranked_(Pick *pick, uint64_t key, uint32_t width, int count,
                         GRand *rand);
static size_t rank_(const Pick *pick, uint64_t key, uint64_t below,
                    uint64_t *weight);
static bool taken_(const Pick *pick, size_t index);
static uint64_t level_hash_(const GwChain *chain, size_t level);
static size_t shared_levels_(const GwChain *chain);
static size_t inner_chunk_(const GwChain *chain);

uint64_t
GwCandidates_Weight(uint64_t key, uint64_t member)
{
    return XXH3_64bits_withSeed(&member, sizeof(member), key);
}

int
GwCandidates_Pick(const GwChain *chain, const GwCandidateMember *members,
                  size_t n_members, const GwCandidateOptions *options,
                  GRand *rand, size_t picks[GW_CANDIDATES_MAX])
{
    Pick pick = {members, n_members, MIN(options->probes, GW_CANDIDATES_MAX),
                 picks, 0};
    size_t n = shared_levels_(chain);
    uint32_t width = MAX(options->width, 2);

    take_ranked_(&pick, GwCandidates_Anchor(chain), width, 2, rand);
    // From the second deepest level upwards, one place each.
    for (size_t l = n; l-- > 1 && pick.n_picks < pick.wanted;)
        take_ranked_(&pick, level_hash_(chain, l - 1), 1, 1, rand);
    take_ranked_(&pick, GwCandidates_Anchor(chain), (uint32_t)n_members,
                 pick.wanted - pick.n_picks, rand);
    return pick.n_picks;
}

uint64_t
GwCandidates_Anchor(const GwChain *chain)
{
    size_t n = shared_levels_(chain);

    if (n > 0)
        return level_hash_(chain, n - 1);
    return chain->count > 0 ? chain->hashes[inner_chunk_(chain)] : chain->last;
}

// Take `count` of the `width` best-ranked members. With a width of two the
// order is fixed; a wider set is sampled, so that a hot prefix spreads.
static void
take_ranked_(Pick *pick, uint64_t key, uint32_t width, int count, GRand *rand)
{
    size_t ranked[64];
    uint64_t below = UINT64_MAX;
    size_t n = 0;

    width = MIN(width, (uint32_t)G_N_ELEMENTS(ranked));
    while (n < width) {
        size_t i = rank_(pick, key, below, &below);

        if (i == pick->n_members)
            break;
        if (!taken_(pick, i))
            ranked[n++] = i;
        else if (width == 1)
            break;
        else
            width--;
    }
    for (int k = 0; k < count && n > 0 && pick->n_picks < pick->wanted; k++) {
        size_t at = n > 2 && width > 2
                        ? (size_t)g_rand_int_range(rand, 0, (gint32)n)
                        : 0;

        pick->picks[pick->n_picks++] = ranked[at];
        for (size_t j = at + 1; j < n; j++)
            ranked[j - 1] = ranked[j];
        n--;
    }
}

// The usable member with the highest weight below `below`.
static size_t
rank_(const Pick *pick, uint64_t key, uint64_t below, uint64_t *weight)
{
    size_t best = pick->n_members;
    uint64_t best_weight = 0;

    for (size_t i = 0; i < pick->n_members; i++) {
        uint64_t w;

        if (!pick->members[i].usable)
            continue;
        w = GwCandidates_Weight(key, pick->members[i].id);
        if (w < below && (best == pick->n_members || w > best_weight)) {
            best = i;
            best_weight = w;
        }
    }
    *weight = best_weight;
    return best;
}

static bool
taken_(const Pick *pick, size_t index)
{
    for (int i = 0; i < pick->n_picks; i++) {
        if (pick->picks[i] == index)
            return true;
    }
    return false;
}

static uint64_t
level_hash_(const GwChain *chain, size_t level)
{
    return chain->hashes[chain->levels[level] - 1];
}

// The last message is the caller's own; levels before it can be shared.
static size_t
shared_levels_(const GwChain *chain)
{
    return chain->n_levels > 1 ? chain->n_levels - 1 : 0;
}

// A prompt of one message has no inner boundary: prompts that begin alike
// meet at the largest power of four of chunks below its length.
static size_t
inner_chunk_(const GwChain *chain)
{
    size_t n = 1;

    while (n * 4 < chain->count)
        n *= 4;
    return n - 1;
}
