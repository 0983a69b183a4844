#include "kv_stores.h"

#include "galenagw/routing/placement.h"

/* One KV store that this gateway follows. */
typedef struct {
    GwAddress address;
    uint64_t address_hash; /* its node in rendezvous hashing */
    GwKvStore *store;
    bool is_configured; /* in the routes in force */
} FollowedStore;

struct GwKvStores {
    GwLoop *loop;
    GwEventLog *log;
    GRand *rand;
    GPtrArray *stores; /* of FollowedStore, owned */
};

static FollowedStore *find_followed_store_(const GwKvStores *s,
                                           const GwAddress *address);
static void add_followed_store_(GwKvStores *s, const GwService *service);
static void free_followed_store_(void *item);

GwKvStores *
GwKvStores_New(GwLoop *loop, GwEventLog *log, GRand *rand)
{
    GwKvStores *s = g_new0(GwKvStores, 1);

    s->loop = loop;
    s->log = log;
    s->rand = rand;
    s->stores = g_ptr_array_new_with_free_func(free_followed_store_);
    return s;
}

void
GwKvStores_Delete(GwKvStores *s)
{
    if (s == NULL)
        return;
    g_ptr_array_unref(s->stores);
    g_free(s);
}

void
GwKvStores_Follow(GwKvStores *s, const GwRoutes *routes)
{
    GHashTableIter iter;
    gpointer item;

    for (guint i = 0; i < s->stores->len; i++)
        ((FollowedStore *)g_ptr_array_index(s->stores, i))->is_configured =
            false;
    g_hash_table_iter_init(&iter, routes->services);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const GwService *service = item;
        FollowedStore *followed;

        if (!service->is_kv_store)
            continue;
        followed = find_followed_store_(s, &service->kv_store);
        if (followed != NULL)
            followed->is_configured = true;
        else
            add_followed_store_(s, service);
    }
    for (guint i = s->stores->len; i > 0; i--) {
        if (!((FollowedStore *)g_ptr_array_index(s->stores, i - 1))
                 ->is_configured)
            g_ptr_array_remove_index(s->stores, i - 1);
    }
}

GwKvStore *
GwKvStores_Pick(const GwKvStores *s, uint64_t prefix_hash, uint64_t domain)
{
    const FollowedStore *best = NULL;
    uint64_t best_rank = 0;
    bool best_is_near = false;

    for (guint i = 0; i < s->stores->len; i++) {
        const FollowedStore *followed = g_ptr_array_index(s->stores, i);
        uint64_t rank = GwPlacement_Rank(prefix_hash, followed->address_hash);
        bool is_near = GwKvStore_Domain(followed->store) == domain;

        if (GwKvStore_Address(followed->store) == NULL)
            continue;
        if (best != NULL && best_is_near != is_near) {
            if (!is_near)
                continue;
        }
        else if (best != NULL && rank <= best_rank)
            continue;
        best = followed;
        best_rank = rank;
        best_is_near = is_near;
    }
    return best != NULL ? best->store : NULL;
}

void
GwKvStores_SetFollowers(GwKvStores *s, unsigned followers)
{
    for (guint i = 0; i < s->stores->len; i++) {
        FollowedStore *followed = g_ptr_array_index(s->stores, i);

        GwKvStore_SetFollowers(followed->store, followers);
    }
}

unsigned
GwKvStores_Count(const GwKvStores *s)
{
    return s->stores->len;
}

static FollowedStore *
find_followed_store_(const GwKvStores *s, const GwAddress *address)
{
    for (guint i = 0; i < s->stores->len; i++) {
        FollowedStore *followed = g_ptr_array_index(s->stores, i);

        if (GwAddress_Equal(&followed->address, address))
            return followed;
    }
    return NULL;
}

static void
add_followed_store_(GwKvStores *s, const GwService *service)
{
    FollowedStore *followed = g_new0(FollowedStore, 1);
    GwKvStoreOptions options = {
        .address = service->kv_store,
        .domain = GwPlacement_HashDomain(service->failure_domain),
        .link_mbps = service->link_mbps,
        .max_followers = service->max_followers,
        .log = s->log,
        .rand = s->rand,
    };

    followed->address = service->kv_store;
    followed->address_hash = GwPlacement_HashAddress(&service->kv_store);
    followed->store = GwKvStore_New(s->loop, &options);
    followed->is_configured = true;
    g_ptr_array_add(s->stores, followed);
}

static void
free_followed_store_(void *item)
{
    FollowedStore *followed = item;

    GwKvStore_Delete(followed->store);
    g_free(followed);
}
