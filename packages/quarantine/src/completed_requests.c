#include "completed_requests.h"

#include <xxhash.h>

#include "galenagw/quarantine/quarantine_options.h"

/* A request that completes again while its place is among this many newest
 * ones keeps the place. Requests that complete often thus take few places,
 * and each completion is still kept for COMPLETED_REQUESTS_KEPT others. */
#define NEWEST_PLACES 480
#define PLACES (COMPLETED_REQUESTS_KEPT + NEWEST_PLACES)
#define BUCKETS 16384
/* With this unit, 32 bits are enough for 497 days. The times of peers are
 * less exact than this. */
#define TIME_UNIT (10 * GW_MILLISECOND)
/* Bound of the memory in a process for the sets of all kinds of suspects. */
#define MEMORY_MAX 1000000

/* A ring of completions in the order in which they were added, and a hash
 * table with chains of its places. Places are stored as 1 + index, 0: none.
 * Arrays instead of one array of structs, because a struct would be padded.
 */
struct CompletedTable {
    GwTime epoch;  /* to which times refer */
    size_t oldest; /* index of the place that is used next */
    uint16_t chains[BUCKETS];
    uint16_t next[PLACES]; /* in the same chain */
    uint32_t times[PLACES];
    GwDigest digests[PLACES];
};

G_STATIC_ASSERT(PLACES <= UINT16_MAX);
G_STATIC_ASSERT(sizeof(CompletedTable) * GW_SUSPECT_KINDS <= MEMORY_MAX);

static uint16_t *chain_(CompletedTable *t, const GwDigest *request);
static uint16_t find_(CompletedTable *t, const GwDigest *request);
static bool is_among_newest_(const CompletedTable *t, uint16_t place);
static void unlink_(CompletedTable *t, uint16_t place);

void
CompletedRequests_Add(CompletedRequests *c, const GwDigest *request, GwTime at)
{
    CompletedTable *t = c->table;
    GwTime units;
    uint16_t place;
    uint16_t *chain;

    if (t != NULL && (at - t->epoch) / TIME_UNIT > UINT32_MAX) {
        CompletedRequests_Clear(c);
        t = NULL;
    }
    if (t == NULL) {
        // Pages are touched when they are used.
        t = c->table = g_new0(CompletedTable, 1);
        t->epoch = at - 2 * GW_QUARANTINE_RETENTION - TIME_UNIT;
    }
    units = (at - t->epoch) / TIME_UNIT;
    if (units <= 0)
        return;
    place = find_(t, request);
    if (place != 0 && units <= (GwTime)t->times[place - 1])
        return;
    if (place == 0 || !is_among_newest_(t, place)) {
        place = (uint16_t)(t->oldest + 1);
        t->oldest = (t->oldest + 1) % PLACES;
        unlink_(t, place);
        chain = chain_(t, request);
        t->digests[place - 1] = *request;
        t->next[place - 1] = *chain;
        *chain = place;
    }
    t->times[place - 1] = (uint32_t)units;
}

GwTime
CompletedRequests_At(const CompletedRequests *c, const GwDigest *request)
{
    uint16_t place = c->table != NULL ? find_(c->table, request) : 0;

    return place != 0 ? c->table->epoch +
                            (GwTime)c->table->times[place - 1] * TIME_UNIT
                      : 0;
}

void
CompletedRequests_Clear(CompletedRequests *c)
{
    g_free(c->table);
    c->table = NULL;
}

// The chain that the request belongs to. Callers select the ids of parts; with
// the seed, which they do not know, they cannot make chains long.
static uint16_t *
chain_(CompletedTable *t, const GwDigest *request)
{
    XXH64_hash_t hash =
        XXH3_64bits_withSeed(request, sizeof(*request), (uint64_t)t->epoch);

    return &t->chains[hash % BUCKETS];
}

// The newest place of the request: it is the first one in its chain.
static uint16_t
find_(CompletedTable *t, const GwDigest *request)
{
    uint16_t place = *chain_(t, request);

    while (place != 0 && !GwDigest_Equal(&t->digests[place - 1], request))
        place = t->next[place - 1];
    return place;
}

static bool
is_among_newest_(const CompletedTable *t, uint16_t place)
{
    size_t age = (t->oldest + PLACES - place) % PLACES;

    return age < NEWEST_PLACES;
}

// Removes the place from its chain, if it is in one.
static void
unlink_(CompletedTable *t, uint16_t place)
{
    uint16_t *link = chain_(t, &t->digests[place - 1]);

    while (*link != 0 && *link != place)
        link = &t->next[*link - 1];
    if (*link == place)
        *link = t->next[place - 1];
}
