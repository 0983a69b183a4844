#include "galenagw/routing/subset.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "galenagw/routing/instances.h"
#include "galenagw/routing/placement.h"

/* Average number of entries that follow an engine. The probability that no
 * entry follows an engine is about e^-8 then; with fewer followers, some
 * engines would get no requests. */
#define FOLLOWERS_PER_ENGINE 8
/* A size is used while the wanted size exceeds it by at most this factor. */
#define SIZE_SHORTFALL_FACTOR 1.25

/* An engine and its rank for the entry. */
typedef struct {
    GwInstance *instance;
    uint64_t rank;
} RankedEngine;

static int compare_rank_(const void *a, const void *b);

unsigned
GwSubset_Size(unsigned engines, unsigned entries)
{
    double wanted =
        entries > 0 ? (double)FOLLOWERS_PER_ENGINE * engines / entries : 0;
    unsigned size = GW_SUBSET_MIN;

    if (engines <= GW_SUBSET_ALL_MAX)
        return engines;
    while (size * SIZE_SHORTFALL_FACTOR < wanted)
        size += size / 2;
    return MIN(size, engines);
}

void
GwSubset_Mark(const GPtrArray *all, const char *name, unsigned size)
{
    uint64_t name_hash = XXH64(name, strlen(name), 0);
    g_autofree RankedEngine *list = g_new(RankedEngine, all->len);
    size_t n = 0;
    unsigned n_selected = 0;

    for (guint i = 0; i < all->len; i++) {
        GwInstance *instance = g_ptr_array_index(all, i);

        if (instance->model != NULL)
            list[n++] = (RankedEngine){
                instance, GwPlacement_Rank(name_hash, instance->address_hash)};
    }
    // qsort() must not get the null pointer of an empty array.
    if (n > 0)
        qsort(list, n, sizeof(*list), compare_rank_);
    for (size_t i = 0; i < n; i++) {
        list[i].instance->followed = n_selected < size;
        n_selected += !list[i].instance->draining;
    }
}

unsigned
GwSubset_Entries(double followers, unsigned engines, unsigned size)
{
    if (size == 0 || size >= engines)
        return (unsigned)lround(followers);
    return (unsigned)lround(followers * engines / size);
}

// Highest rank first. Two incarnations at one address have the same rank and
// may come in any order.
static int
compare_rank_(const void *a, const void *b)
{
    const RankedEngine *x = a;
    const RankedEngine *y = b;

    return (x->rank < y->rank) - (x->rank > y->rank);
}
