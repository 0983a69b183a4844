#include "kv_stores.h"

#include "galenagw/routing/placement.h"

typedef struct {
    GwAddress address;
    uint64_t place;
    GwKvStore *store;
    bool wanted; /* by the routes in force */
} Entry;

struct GwKvStores {
    GwLoop *loop;
    GwEventLog *log;
    GRand *rand;
    GPtrArray *entries;
};

static Entry *find_(const GwKvStores *s, const GwAddress *address);
static void add_(GwKvStores *s, const GwService *service);
static void free_entry_(void *item);

GwKvStores *
GwKvStores_New(GwLoop *loop, GwEventLog *log, GRand *rand)
{
    GwKvStores *s = g_new0(GwKvStores, 1);

    s->loop = loop;
    s->log = log;
    s->rand = rand;
    s->entries = g_ptr_array_new_with_free_func(free_entry_);
    return s;
}

void
GwKvStores_Delete(GwKvStores *s)
{
    if (s == NULL)
        return;
    g_ptr_array_unref(s->entries);
    g_free(s);
}

void
GwKvStores_Follow(GwKvStores *s, const GwRoutes *routes)
{
    GHashTableIter iter;
    gpointer item;

    for (guint i = 0; i < s->entries->len; i++)
        ((Entry *)g_ptr_array_index(s->entries, i))->wanted = false;
    g_hash_table_iter_init(&iter, routes->services);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const GwService *service = item;
        Entry *entry;

        if (!service->is_kv_store)
            continue;
        entry = find_(s, &service->kv_store);
        if (entry != NULL)
            entry->wanted = true;
        else
            add_(s, service);
    }
    for (guint i = s->entries->len; i > 0; i--) {
        if (!((Entry *)g_ptr_array_index(s->entries, i - 1))->wanted)
            g_ptr_array_remove_index(s->entries, i - 1);
    }
}

GwKvStore *
GwKvStores_Pick(const GwKvStores *s, uint64_t anchor, uint64_t domain)
{
    const Entry *best = NULL;
    uint64_t best_rank = 0;
    bool best_is_near = false;

    for (guint i = 0; i < s->entries->len; i++) {
        const Entry *entry = g_ptr_array_index(s->entries, i);
        uint64_t rank = GwPlacement_Rank(anchor, entry->place);
        bool is_near = GwKvStore_Domain(entry->store) == domain;

        if (GwKvStore_Address(entry->store) == NULL)
            continue;
        if (best != NULL && best_is_near != is_near) {
            if (!is_near)
                continue;
        }
        else if (best != NULL && rank <= best_rank)
            continue;
        best = entry;
        best_rank = rank;
        best_is_near = is_near;
    }
    return best != NULL ? best->store : NULL;
}

void
GwKvStores_SetFollowers(GwKvStores *s, unsigned followers)
{
    for (guint i = 0; i < s->entries->len; i++) {
        Entry *entry = g_ptr_array_index(s->entries, i);

        GwKvStore_SetFollowers(entry->store, followers);
    }
}

unsigned
GwKvStores_Count(const GwKvStores *s)
{
    return s->entries->len;
}

static Entry *
find_(const GwKvStores *s, const GwAddress *address)
{
    for (guint i = 0; i < s->entries->len; i++) {
        Entry *entry = g_ptr_array_index(s->entries, i);

        if (GwAddress_Equal(&entry->address, address))
            return entry;
    }
    return NULL;
}

static void
add_(GwKvStores *s, const GwService *service)
{
    Entry *entry = g_new0(Entry, 1);
    GwKvStoreOptions options = {
        .address = service->kv_store,
        .domain = GwPlacement_Domain(service->failure_domain),
        .link_mbps = service->link_mbps,
        .max_followers = service->max_followers,
        .log = s->log,
        .rand = s->rand,
    };

    entry->address = service->kv_store;
    entry->place = GwPlacement_Place(&service->kv_store);
    entry->store = GwKvStore_New(s->loop, &options);
    entry->wanted = true;
    g_ptr_array_add(s->entries, entry);
}

static void
free_entry_(void *item)
{
    Entry *entry = item;

    GwKvStore_Delete(entry->store);
    g_free(entry);
}
