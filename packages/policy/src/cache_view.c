#include "galenagw/policy/cache_view.h"

#include <glib.h>
#include <sys/queue.h>

/* Capacity used while the engine has not reported its own. */
#define DEFAULT_CAPACITY_CHUNKS 65536
/* Weight of a new sample in unconfirmed_share. */
#define SAMPLE_WEIGHT 0.05

const char *const GwCacheEventKind_Names[GW_CACHE_EVENTS] = {
    "stored",
    "removed",
    "cleared",
};

typedef struct CachedChunk CachedChunk;
struct CachedChunk {
    uint64_t hash;
    TAILQ_ENTRY(CachedChunk) link;
    uint32_t epoch; /* epoch of the last confirmation; older than that of the
                       view: unconfirmed */
    bool trial;
};

TAILQ_HEAD(ChunkList, CachedChunk);

struct GwCacheView {
    GHashTable *chunks;   /* &chunk->hash to CachedChunk */
    struct ChunkList lru; /* least recently used first */
    size_t capacity;
    size_t trial_size;
    uint64_t incarnation;
    uint64_t next_seq;
    bool seq_known;
    uint32_t epoch;
    double unconfirmed_share; /* average share of unconfirmed chunks that
                                 answers show to be cached */
};

static void use_chunk_(GwCacheView *view, uint64_t hash, bool trial);
static void remove_chunk_(GwCacheView *view, CachedChunk *chunk);
static void remove_all_chunks_(GwCacheView *view);
static void evict_to_capacity_(GwCacheView *view);

GwCacheView *
GwCacheView_New(size_t capacity)
{
    GwCacheView *view = g_new0(GwCacheView, 1);

    view->chunks = g_hash_table_new(g_int64_hash, g_int64_equal);
    view->capacity = capacity;
    view->unconfirmed_share = 1;
    TAILQ_INIT(&view->lru);
    return view;
}

void
GwCacheView_Delete(GwCacheView *view)
{
    if (view == NULL)
        return;
    remove_all_chunks_(view);
    g_hash_table_unref(view->chunks);
    g_free(view);
}

void
GwCacheView_SetCapacity(GwCacheView *view, size_t capacity)
{
    view->capacity = capacity;
    evict_to_capacity_(view);
}

bool
GwCacheView_Bind(GwCacheView *view, uint64_t incarnation)
{
    if (view->incarnation == incarnation)
        return false;
    // An engine that crashed restarts with an empty cache. Offers based on its
    // old chunks would attract prompts that it must recompute.
    view->incarnation = incarnation;
    view->seq_known = false;
    remove_all_chunks_(view);
    return true;
}

size_t
GwCacheView_Resident(const GwCacheView *view, const uint64_t *hashes,
                     size_t count)
{
    size_t n_confirmed = 0;
    size_t n_unconfirmed = 0;

    for (size_t i = 0; i < count; i++) {
        const CachedChunk *c = g_hash_table_lookup(view->chunks, &hashes[i]);

        if (c == NULL)
            break;
        if (c->epoch == view->epoch && n_unconfirmed == 0)
            n_confirmed++;
        else
            n_unconfirmed++;
    }
    return n_confirmed +
           (size_t)((double)n_unconfirmed * view->unconfirmed_share);
}

size_t
GwCacheView_Leading(const GwCacheView *view, const uint64_t *hashes,
                    size_t count)
{
    size_t n = 0;

    while (n < count && g_hash_table_contains(view->chunks, &hashes[n]))
        n++;
    return n;
}

void
GwCacheView_AddHitSample(GwCacheView *view, size_t leading, size_t hit)
{
    double share;

    if (leading == 0)
        return;
    share = (double)MIN(hit, leading) / (double)leading;
    view->unconfirmed_share +=
        SAMPLE_WEIGHT * (share - view->unconfirmed_share);
}

void
GwCacheView_Insert(GwCacheView *view, const uint64_t *hashes, size_t count,
                   bool trial)
{
    // In reverse order, so that the first chunk of a prefix is the most
    // recently used one: engines evict the last chunks of a prefix first.
    for (size_t i = count; i-- > 0;)
        use_chunk_(view, hashes[i], trial);
    evict_to_capacity_(view);
}

bool
GwCacheView_Event(GwCacheView *view, uint64_t seq, GwCacheEventKind kind,
                  const uint64_t *hashes, size_t count)
{
    bool in_order = !view->seq_known || seq == view->next_seq;

    // In a gap, updates on removals may have been lost. Chunks that are not
    // confirmed again are unconfirmed from now on.
    if (!in_order)
        view->epoch++;
    view->seq_known = true;
    view->next_seq = seq + 1;
    if (kind == GW_CACHE_CLEARED)
        remove_all_chunks_(view);
    for (size_t i = 0; i < count; i++) {
        CachedChunk *c = g_hash_table_lookup(view->chunks, &hashes[i]);

        if (kind == GW_CACHE_STORED && c != NULL)
            c->epoch = view->epoch;
        else if (kind == GW_CACHE_STORED)
            use_chunk_(view, hashes[i], false);
        else if (c != NULL)
            remove_chunk_(view, c);
    }
    evict_to_capacity_(view);
    return in_order;
}

size_t
GwCacheView_Size(const GwCacheView *view)
{
    return g_hash_table_size(view->chunks);
}

size_t
GwCacheView_TrialSize(const GwCacheView *view)
{
    return view->trial_size;
}

size_t
GwCacheView_Capacity(const GwCacheView *view)
{
    return view->capacity > 0 ? view->capacity : DEFAULT_CAPACITY_CHUNKS;
}

static void
use_chunk_(GwCacheView *view, uint64_t hash, bool trial)
{
    CachedChunk *c = g_hash_table_lookup(view->chunks, &hash);

    if (c == NULL) {
        c = g_new0(CachedChunk, 1);
        c->hash = hash;
        c->trial = trial;
        view->trial_size += trial;
        g_hash_table_insert(view->chunks, &c->hash, c);
    }
    else {
        TAILQ_REMOVE(&view->lru, c, link);
        // A chunk that a paying request uses counts as paying, also if a trial
        // was the first to insert it.
        if (c->trial && !trial) {
            c->trial = false;
            view->trial_size--;
        }
    }
    c->epoch = view->epoch;
    TAILQ_INSERT_TAIL(&view->lru, c, link);
}

static void
remove_chunk_(GwCacheView *view, CachedChunk *c)
{
    TAILQ_REMOVE(&view->lru, c, link);
    view->trial_size -= c->trial;
    g_hash_table_remove(view->chunks, &c->hash);
    g_free(c);
}

static void
remove_all_chunks_(GwCacheView *view)
{
    CachedChunk *c;

    while ((c = TAILQ_FIRST(&view->lru)) != NULL)
        remove_chunk_(view, c);
}

static void
evict_to_capacity_(GwCacheView *view)
{
    while (GwCacheView_Size(view) > GwCacheView_Capacity(view))
        remove_chunk_(view, TAILQ_FIRST(&view->lru));
}
