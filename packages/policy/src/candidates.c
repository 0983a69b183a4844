#include "galenagw/policy/candidates.h"

#include <xxhash.h>

typedef struct {
    const GwCandidateMember *members;
    size_t n_members;
    int n_wanted;
    size_t *picks;
    int n_picks;
} Selection;

static void pick_ranked_(Selection *selection, uint64_t key, uint32_t width,
                         int count, GRand *rand);
static size_t find_next_ranked_(const Selection *selection, uint64_t key,
                                uint64_t below, uint64_t *weight);
static bool is_picked_(const Selection *selection, size_t index);
static uint64_t level_hash_(const GwChain *chain, size_t level);
static size_t count_shared_levels_(const GwChain *chain);
static size_t find_anchor_chunk_(const GwChain *chain);

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
    Selection selection = {members, n_members,
                           MIN(options->probes, GW_CANDIDATES_MAX), picks, 0};
    size_t n = count_shared_levels_(chain);
    uint32_t width = MAX(options->width, 2);

    pick_ranked_(&selection, GwCandidates_Anchor(chain), width, 2, rand);
    // One member for each level, from the second deepest level upwards.
    for (size_t l = n; l-- > 1 && selection.n_picks < selection.n_wanted;)
        pick_ranked_(&selection, level_hash_(chain, l - 1), 1, 1, rand);
    // The remaining picks are random ones of the members with the highest
    // ranks for the anchor (at most 64); of the last two, the one with the
    // higher rank is picked first.
    pick_ranked_(&selection, GwCandidates_Anchor(chain), (uint32_t)n_members,
                 selection.n_wanted - selection.n_picks, rand);
    return selection.n_picks;
}

uint64_t
GwCandidates_Anchor(const GwChain *chain)
{
    size_t n = count_shared_levels_(chain);

    if (n > 0)
        return level_hash_(chain, n - 1);
    return chain->count > 0 ? chain->hashes[find_anchor_chunk_(chain)]
                            : chain->last;
}

// Picks `count` of the `width` members with the highest rank. With a width of
// two the order is fixed; from a larger set members are picked at random, so
// that the requests of a hot prefix are spread. Members that are picked
// already count as part of the width and are not picked again, so fewer than
// `count` may be added.
static void
pick_ranked_(Selection *selection, uint64_t key, uint32_t width, int count,
             GRand *rand)
{
    size_t ranked[64];
    uint64_t below = UINT64_MAX;
    size_t n = 0;

    width = MIN(width, (uint32_t)G_N_ELEMENTS(ranked));
    while (n < width) {
        size_t i = find_next_ranked_(selection, key, below, &below);

        if (i == selection->n_members)
            break;
        if (!is_picked_(selection, i))
            ranked[n++] = i;
        else if (width == 1)
            break;
        else
            width--;
    }
    for (int k = 0;
         k < count && n > 0 && selection->n_picks < selection->n_wanted; k++) {
        size_t chosen = n > 2 && width > 2
                            ? (size_t)g_rand_int_range(rand, 0, (gint32)n)
                            : 0;

        selection->picks[selection->n_picks++] = ranked[chosen];
        for (size_t j = chosen + 1; j < n; j++)
            ranked[j - 1] = ranked[j];
        n--;
    }
}

// Finds the usable member with the highest weight below `below`. Returns
// n_members if there is none.
static size_t
find_next_ranked_(const Selection *selection, uint64_t key, uint64_t below,
                  uint64_t *weight)
{
    size_t best = selection->n_members;
    uint64_t best_weight = 0;

    for (size_t i = 0; i < selection->n_members; i++) {
        uint64_t w;

        if (!selection->members[i].usable)
            continue;
        w = GwCandidates_Weight(key, selection->members[i].id);
        if (w < below && (best == selection->n_members || w > best_weight)) {
            best = i;
            best_weight = w;
        }
    }
    *weight = best_weight;
    return best;
}

static bool
is_picked_(const Selection *selection, size_t index)
{
    for (int i = 0; i < selection->n_picks; i++) {
        if (selection->picks[i] == index)
            return true;
    }
    return false;
}

static uint64_t
level_hash_(const GwChain *chain, size_t level)
{
    return chain->hashes[chain->levels[level] - 1];
}

// Number of levels that other prompts can share: all but the last, which is
// the end of the caller's own message.
static size_t
count_shared_levels_(const GwChain *chain)
{
    return chain->n_levels > 1 ? chain->n_levels - 1 : 0;
}

// Index of the chunk whose hash is the anchor of a prompt with a single
// message, which has no inner boundary. It is the last one within the largest
// power of four of chunks below the prompt's length, so that prompts with the
// same beginning and similar lengths have the same anchor.
static size_t
find_anchor_chunk_(const GwChain *chain)
{
    size_t n = 1;

    while (n * 4 < chain->count)
        n *= 4;
    return n - 1;
}
