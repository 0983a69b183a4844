#include "galenagw/policy/cache_view.h"

#include <glib.h>
#include <sys/queue.h>

/* Bound on the view while the engine has not told its capacity. */
#define UNKNOWN_CAPACITY 65536
/* Weight of a new sample in the share of doubtful blocks held. */
#define LEARN_SHARE 0.05

const char *const GwCacheEventKind_Names[GW_CACHE_EVENTS] = {
    "stored",
    "removed",
    "cleared",
};

typedef struct Entry Entry;
struct Entry {
    uint64_t hash;
    TAILQ_ENTRY(Entry) link;
    uint32_t epoch; /* of the last confirmation */
    bool trial;
};

TAILQ_HEAD(EntryList, Entry);

struct GwCacheView {
    GHashTable *entries;  /* &entry->hash to Entry */
    struct EntryList lru; /* least recently used first */
    size_t capacity;
    size_t trial_size;
    uint64_t incarnation;
    uint64_t next_seq;
    bool seq_known;
    uint32_t epoch;
    double trust; /* learned share of doubtful blocks that are held */
};

static void touch_(GwCacheView *view, uint64_t hash, bool trial);
static void drop_(GwCacheView *view, Entry *entry);
static void clear_(GwCacheView *view);
static void trim_(GwCacheView *view);

GwCacheView *
GwCacheView_New(size_t capacity)
{
    GwCacheView *view = g_new0(GwCacheView, 1);

    view->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
    view->capacity = capacity;
    view->trust = 1;
    TAILQ_INIT(&view->lru);
    return view;
}

void
GwCacheView_Delete(GwCacheView *view)
{
    if (view == NULL)
        return;
    clear_(view);
    g_hash_table_unref(view->entries);
    g_free(view);
}

void
GwCacheView_SetCapacity(GwCacheView *view, size_t capacity)
{
    view->capacity = capacity;
    trim_(view);
}

bool
GwCacheView_Bind(GwCacheView *view, uint64_t incarnation)
{
    if (view->incarnation == incarnation)
        return false;
    // An engine that crashed comes back empty: offers that promised its old
    // blocks would draw prompts that it must recompute.
    view->incarnation = incarnation;
    view->seq_known = false;
    clear_(view);
    return true;
}

size_t
GwCacheView_Resident(const GwCacheView *view, const uint64_t *hashes,
                     size_t count)
{
    size_t sure = 0;
    size_t doubtful = 0;

    for (size_t i = 0; i < count; i++) {
        const Entry *e = g_hash_table_lookup(view->entries, &hashes[i]);

        if (e == NULL)
            break;
        if (e->epoch == view->epoch && doubtful == 0)
            sure++;
        else
            doubtful++;
    }
    return sure + (size_t)((double)doubtful * view->trust);
}

size_t
GwCacheView_Leading(const GwCacheView *view, const uint64_t *hashes,
                    size_t count)
{
    size_t n = 0;

    while (n < count && g_hash_table_contains(view->entries, &hashes[n]))
        n++;
    return n;
}

void
GwCacheView_Learn(GwCacheView *view, size_t leading, size_t hit)
{
    double share;

    if (leading == 0)
        return;
    share = (double)MIN(hit, leading) / (double)leading;
    view->trust += LEARN_SHARE * (share - view->trust);
}

void
GwCacheView_Insert(GwCacheView *view, const uint64_t *hashes, size_t count,
                   bool trial)
{
    // From the end: a prefix's root must look used last, as engines evict
    // leaves first.
    for (size_t i = count; i-- > 0;)
        touch_(view, hashes[i], trial);
    trim_(view);
}

bool
GwCacheView_Event(GwCacheView *view, uint64_t seq, GwCacheEventKind kind,
                  const uint64_t *hashes, size_t count)
{
    bool in_order = !view->seq_known || seq == view->next_seq;

    // After a gap some removals were not heard: what is not confirmed
    // again is doubtful from now on.
    if (!in_order)
        view->epoch++;
    view->seq_known = true;
    view->next_seq = seq + 1;
    if (kind == GW_CACHE_CLEARED)
        clear_(view);
    for (size_t i = 0; i < count; i++) {
        Entry *e = g_hash_table_lookup(view->entries, &hashes[i]);

        if (kind == GW_CACHE_STORED && e != NULL)
            e->epoch = view->epoch;
        else if (kind == GW_CACHE_STORED)
            touch_(view, hashes[i], false);
        else if (e != NULL)
            drop_(view, e);
    }
    trim_(view);
    return in_order;
}

size_t
GwCacheView_Size(const GwCacheView *view)
{
    return g_hash_table_size(view->entries);
}

size_t
GwCacheView_TrialSize(const GwCacheView *view)
{
    return view->trial_size;
}

size_t
GwCacheView_Capacity(const GwCacheView *view)
{
    return view->capacity > 0 ? view->capacity : UNKNOWN_CAPACITY;
}

static void
touch_(GwCacheView *view, uint64_t hash, bool trial)
{
    Entry *e = g_hash_table_lookup(view->entries, &hash);

    if (e == NULL) {
        e = g_new0(Entry, 1);
        e->hash = hash;
        e->trial = trial;
        view->trial_size += trial;
        g_hash_table_insert(view->entries, &e->hash, e);
    }
    else {
        TAILQ_REMOVE(&view->lru, e, link);
        // A block that paying work uses is paying's, whoever brought it.
        if (e->trial && !trial) {
            e->trial = false;
            view->trial_size--;
        }
    }
    e->epoch = view->epoch;
    TAILQ_INSERT_TAIL(&view->lru, e, link);
}

static void
drop_(GwCacheView *view, Entry *e)
{
    TAILQ_REMOVE(&view->lru, e, link);
    view->trial_size -= e->trial;
    g_hash_table_remove(view->entries, &e->hash);
    g_free(e);
}

static void
clear_(GwCacheView *view)
{
    Entry *e;

    while ((e = TAILQ_FIRST(&view->lru)) != NULL)
        drop_(view, e);
}

static void
trim_(GwCacheView *view)
{
    while (GwCacheView_Size(view) > GwCacheView_Capacity(view))
        drop_(view, TAILQ_FIRST(&view->lru));
}
