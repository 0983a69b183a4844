#include "galenagw/policy/limit_owner.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

struct GwLimitOwner {
    GHashTable *buckets; /* account to Bucket */
    GwLimitPool pool;
    uint64_t self;
    GwTime empty_since; /* time when the buckets that are not in the table yet
                           were empty */
};

/* The bucket of an account, and the use of its limit. */
typedef struct {
    GwBucket bucket;
    /* Units taken and not returned, with the weight
     * exp(-age / GW_LIMIT_USE_TIME). */
    double units;
    GwTime summed_at;
    GwTime counted_since;
} Bucket;

/* Use is known after this time, from when it was first counted. */
#define USE_KNOWN_TIME GW_SECOND
/* Fixed hash key, of any value, by which nodes are ranked for the pool.
 * Accounts rank them by the hash of their name. */
#define POOL_HASH_KEY 0x11
/* Burst, in units, from which a limit is split among several owners. Owners
 * grant whole units, so each part is rounded up by as much as one unit, which
 * would raise a small limit considerably. */
#define SPLIT_BURST_MIN 30

static unsigned find_owners_(const GwLimitPool *pool, const char *account,
                             unsigned n_max, uint64_t *out);
static unsigned select_highest_(uint64_t key, const uint64_t *nodes, size_t n,
                                uint64_t *out, unsigned n_max);
static uint64_t rank_node_(uint64_t key, uint64_t node);
static bool contains_node_(uint64_t node, const uint64_t *owners, unsigned n);
static gboolean is_not_owned_(gpointer account, gpointer bucket,
                              gpointer owner);
static Bucket *find_or_add_bucket_(GwLimitOwner *owner, const char *account,
                                   const GwLimit *part, GwTime now);
static void add_use_(Bucket *b, double taken, double returned, GwTime now);

GwLimitPool
GwLimitPool_Of(const uint64_t *nodes, size_t n)
{
    GwLimitPool pool = {0};

    pool.n = select_highest_(POOL_HASH_KEY, nodes, n, pool.nodes,
                             GW_LIMIT_POOL_MAX);
    return pool;
}

bool
GwLimitPool_Has(const GwLimitPool *pool, uint64_t node)
{
    return contains_node_(node, pool->nodes, pool->n);
}

unsigned
GwLimitPool_Rank(const GwLimitPool *pool, uint64_t key,
                 uint64_t nodes[GW_LIMIT_POOL_MAX])
{
    return select_highest_(key, pool->nodes, pool->n, nodes,
                           GW_LIMIT_POOL_MAX);
}

// The nodes of both pools are sorted by rank.
bool
GwLimitPool_Equal(const GwLimitPool *x, const GwLimitPool *y)
{
    return x->n == y->n &&
           memcmp(x->nodes, y->nodes, x->n * sizeof(*x->nodes)) == 0;
}

unsigned
GwLimitPool_Owners(const GwLimitPool *pool, const char *account,
                   const GwLimit *limit, uint64_t owners[GW_LIMIT_OWNERS])
{
    return find_owners_(pool, account,
                        limit->burst < SPLIT_BURST_MIN ? 1 : GW_LIMIT_OWNERS,
                        owners);
}

GwLimitOwner *
GwLimitOwner_New(GwTime now)
{
    GwLimitOwner *owner = g_new0(GwLimitOwner, 1);

    owner->empty_since = now;
    owner->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return owner;
}

void
GwLimitOwner_Delete(GwLimitOwner *owner)
{
    if (owner == NULL)
        return;
    g_hash_table_unref(owner->buckets);
    g_free(owner);
}

void
GwLimitOwner_SetPool(GwLimitOwner *owner, const GwLimitPool *pool,
                     uint64_t self, GwTime now)
{
    if (GwLimitPool_Equal(&owner->pool, pool) && owner->self == self)
        return;
    owner->pool = *pool;
    owner->self = self;
    owner->empty_since = now;
    g_hash_table_foreach_remove(owner->buckets, is_not_owned_, owner);
}

double
GwLimitOwner_Answer(GwLimitOwner *owner, const GwLimit *limit,
                    const GwLimitRequest *request, GwTime now)
{
    uint64_t owners[GW_LIMIT_OWNERS];
    unsigned n =
        GwLimitPool_Owners(&owner->pool, request->account, limit, owners);
    GwLimit part = GwLimit_Part(limit, n);
    double taken;
    Bucket *b;

    if (!contains_node_(owner->self, owners, n))
        return 0;
    b = find_or_add_bucket_(owner, request->account, &part, now);
    if (request->unused > 0)
        GwBucket_Return(&b->bucket, request->unused, now);
    taken = GwBucket_Take(&b->bucket, request->need, request->ahead, now);
    add_use_(b, taken, request->unused, now);
    return taken;
}

// The sum lacks what was used before counting began, and is scaled by the
// part of the weight that is known.
double
GwLimitOwner_Use(const GwLimitOwner *owner, const char *account, GwTime now)
{
    const Bucket *b = g_hash_table_lookup(owner->buckets, account);
    double weight;
    double known;

    if (b == NULL || now - b->counted_since < USE_KNOWN_TIME ||
        b->bucket.limit.rate <= 0)
        return -1;
    weight = exp(-(double)(now - b->summed_at) / (double)GW_LIMIT_USE_TIME);
    known =
        1 - exp(-(double)(now - b->counted_since) / (double)GW_LIMIT_USE_TIME);
    return b->units * weight / known * GW_SECOND / GW_LIMIT_USE_TIME /
           b->bucket.limit.rate;
}

static unsigned
find_owners_(const GwLimitPool *pool, const char *account, unsigned n_max,
             uint64_t *out)
{
    return select_highest_(XXH64(account, strlen(account), 0), pool->nodes,
                           pool->n, out, n_max);
}

// Writes the nodes with the highest ranks, highest first and without
// duplicates. Returns their number.
static unsigned
select_highest_(uint64_t key, const uint64_t *nodes, size_t n, uint64_t *out,
                unsigned n_max)
{
    unsigned n_selected = 0;

    for (size_t i = 0; i < n; i++) {
        uint64_t rank = rank_node_(key, nodes[i]);
        unsigned pos = n_selected;

        while (pos > 0 && rank_node_(key, out[pos - 1]) < rank)
            pos--;
        if (pos == n_max || (pos > 0 && out[pos - 1] == nodes[i]))
            continue;
        n_selected = MIN(n_selected + 1, n_max);
        memmove(&out[pos + 1], &out[pos],
                (n_selected - pos - 1) * sizeof(*out));
        out[pos] = nodes[i];
    }
    return n_selected;
}

static uint64_t
rank_node_(uint64_t key, uint64_t node)
{
    uint64_t input[2] = {key, node};

    return XXH64(input, sizeof(input), 0);
}

static bool
contains_node_(uint64_t node, const uint64_t *owners, unsigned n)
{
    for (unsigned i = 0; i < n; i++) {
        if (owners[i] == node)
            return true;
    }
    return false;
}

// Whether this process cannot be an owner of the account. The limit is not
// known here, so the number of owners is taken to be the greatest possible.
static gboolean
is_not_owned_(gpointer account, gpointer bucket, gpointer user)
{
    const GwLimitOwner *owner = user;
    uint64_t owners[GW_LIMIT_OWNERS];
    unsigned n = find_owners_(&owner->pool, account, GW_LIMIT_OWNERS, owners);

    return !contains_node_(owner->self, owners, n);
}

static Bucket *
find_or_add_bucket_(GwLimitOwner *owner, const char *account,
                    const GwLimit *part, GwTime now)
{
    Bucket *b = g_hash_table_lookup(owner->buckets, account);

    if (b == NULL) {
        b = g_new0(Bucket, 1);
        b->counted_since = b->summed_at = now;
        GwBucket_Init(&b->bucket, part, owner->empty_since);
        g_hash_table_insert(owner->buckets, g_strdup(account), b);
    }
    GwBucket_SetLimit(&b->bucket, part, now);
    return b;
}

// Returned units were taken in one of the last takes; at most all units of the
// sum are returned.
static void
add_use_(Bucket *b, double taken, double returned, GwTime now)
{
    double weight =
        exp(-(double)MAX(now - b->summed_at, 0) / (double)GW_LIMIT_USE_TIME);

    b->units = MAX(b->units * weight - returned, 0) + taken;
    b->summed_at = now;
}
