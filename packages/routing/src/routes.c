#include "galenagw/routing/routes.h"

#include <string.h>
#include <xxhash.h>

/* Used until a configuration sets other values. */
#define DEFAULT_MAX_HEAD (16 * 1024)
#define DEFAULT_MAX_BODY (4 * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT (3 * GW_SECOND)
#define DEFAULT_IDLE_TIMEOUT (15 * GW_SECOND)

/* Priorities of routes that are distinguished within each priority of an
 * account. Without them, a check of 1,800 tokens waits behind reports of
 * 12,000 tokens under overload and misses its target latency. */
#define ROUTE_PRIORITIES_PER_ACCOUNT 3

const char *const GwRouteType_Names[GW_ROUTE_TYPES] = {
    [GW_ROUTE_IDEMPOTENT] = "idempotent",
    [GW_ROUTE_NON_IDEMPOTENT] = "non_idempotent",
    [GW_ROUTE_STREAMING] = "streaming",
};

static void free_route_(void *item);
static void free_account_(void *item);
static void free_service_(void *item);
static void clear_split_(void *item);
static int compare_prefix_length_(gconstpointer a, gconstpointer b);
static uint64_t hash_isolation_(const GwRoutes *r);

GwRoutes *
GwRoutes_New(uint64_t version)
{
    GwRoutes *r = g_new0(GwRoutes, 1);

    r->refs = 1;
    r->version = version;
    r->routes = g_ptr_array_new_with_free_func(free_route_);
    r->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)g_ptr_array_unref);
    r->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->account_list = g_ptr_array_new_with_free_func(free_account_);
    r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    r->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service_);
    r->limits = (GwLimits){DEFAULT_MAX_HEAD, DEFAULT_MAX_BODY,
                           DEFAULT_HEAD_TIMEOUT, DEFAULT_IDLE_TIMEOUT};
    return r;
}

GwRoutes *
GwRoutes_Ref(GwRoutes *r)
{
    if (r != NULL)
        r->refs++;
    return r;
}

void
GwRoutes_Unref(GwRoutes *r)
{
    if (r == NULL || --r->refs > 0)
        return;
    g_hash_table_unref(r->by_host);
    g_hash_table_unref(r->accounts);
    g_hash_table_unref(r->by_name);
    g_hash_table_unref(r->services);
    g_ptr_array_unref(r->account_list);
    g_ptr_array_unref(r->routes);
    g_free(r);
}

GwRoute *
GwRoutes_AddRoute(GwRoutes *r)
{
    GwRoute *route = g_new0(GwRoute, 1);

    route->splits = g_array_new(FALSE, FALSE, sizeof(GwSplit));
    g_array_set_clear_func(route->splits, clear_split_);
    g_ptr_array_add(r->routes, route);
    return route;
}

void
GwRoute_AddSplit(GwRoute *route, const char *service, unsigned weight)
{
    GwSplit split = {g_strdup(service), weight};

    g_array_append_val(route->splits, split);
}

GwAccount *
GwRoutes_AddAccount(GwRoutes *r, const char *name)
{
    GwAccount *account = g_new0(GwAccount, 1);

    account->name = g_strdup(name);
    account->priority = -1;
    g_ptr_array_add(r->account_list, account);
    g_hash_table_replace(r->by_name, account->name, account);
    r->has_accounts = true;
    return account;
}

void
GwRoutes_AddKey(GwRoutes *r, const char *key, GwAccount *account)
{
    g_hash_table_replace(r->accounts, g_strdup(key), account);
}

GwService *
GwRoutes_AddService(GwRoutes *r, const char *name)
{
    GwService *service = g_new0(GwService, 1);

    service->name = g_strdup(name);
    g_hash_table_replace(r->services, service->name, service);
    return service;
}

void
GwRoutes_Finish(GwRoutes *r)
{
    GHashTableIter iter;
    gpointer list;

    r->most_urgent_priority = GW_ENGINE_PRIORITIES - 1;
    for (guint i = 0; i < r->routes->len; i++) {
        GwRoute *route = g_ptr_array_index(r->routes, i);
        GPtrArray *routes = g_hash_table_lookup(r->by_host, route->host);

        if (routes == NULL) {
            routes = g_ptr_array_new();
            g_hash_table_insert(r->by_host, route->host, routes);
        }
        g_ptr_array_add(routes, route);
        if (route->has_prompts)
            r->most_urgent_priority = MIN(r->most_urgent_priority,
                                          GwRoute_EnginePriority(route, NULL));
    }
    for (guint i = 0; i < r->account_list->len; i++) {
        const GwAccount *account = g_ptr_array_index(r->account_list, i);

        r->has_limits = r->has_limits || account->limit_rate > 0;
    }
    r->isolation_hash = hash_isolation_(r);
    g_hash_table_iter_init(&iter, r->by_host);
    while (g_hash_table_iter_next(&iter, NULL, &list))
        g_ptr_array_sort(list, compare_prefix_length_);
}

const GwRoute *
GwRoutes_Match(const GwRoutes *r, const char *host, const char *target)
{
    const GPtrArray *routes = g_hash_table_lookup(r->by_host, host);

    for (guint i = 0; routes != NULL && i < routes->len; i++) {
        const GwRoute *route = g_ptr_array_index(routes, i);

        if (g_str_has_prefix(target, route->path_prefix))
            return route;
    }
    return NULL;
}

const GwAccount *
GwRoutes_Account(const GwRoutes *r, const char *key)
{
    return key != NULL ? g_hash_table_lookup(r->accounts, key) : NULL;
}

const GwAccount *
GwRoutes_AccountNamed(const GwRoutes *r, const char *name)
{
    return g_hash_table_lookup(r->by_name, name);
}

const GwService *
GwRoutes_Service(const GwRoutes *r, const char *name)
{
    return g_hash_table_lookup(r->services, name);
}

const char *
GwRoute_PickService(const GwRoute *route, double random_value)
{
    unsigned total = 0;
    double at;

    for (guint i = 0; i < route->splits->len; i++)
        total += g_array_index(route->splits, GwSplit, i).weight;
    at = random_value * total;
    for (guint i = 0; i < route->splits->len; i++) {
        const GwSplit *split = &g_array_index(route->splits, GwSplit, i);

        if (at < split->weight)
            return split->service;
        at -= split->weight;
    }
    return route->splits->len > 0
               ? g_array_index(route->splits, GwSplit, 0).service
               : NULL;
}

int
GwRoute_EnginePriority(const GwRoute *route, const GwAccount *account)
{
    int own = CLAMP(route->priority, 0, ROUTE_PRIORITIES_PER_ACCOUNT - 1);
    int first = account != NULL ? MAX(account->priority, 0) : 0;

    return MIN(first * ROUTE_PRIORITIES_PER_ACCOUNT + own,
               GW_ENGINE_PRIORITIES - 1);
}

bool
GwAccount_IsLowPriority(const GwAccount *account)
{
    return account != NULL && account->priority > 0;
}

double
GwAccount_Units(const GwAccount *account, uint64_t tokens)
{
    if (!account->counts_tokens)
        return 1;
    return tokens > 0 ? (double)tokens : account->default_tokens;
}

GwTime
GwRoutes_ShortestTarget(const GwRoutes *r, const char *service)
{
    GwTime shortest = 0;

    for (guint i = 0; i < r->routes->len; i++) {
        const GwRoute *route = g_ptr_array_index(r->routes, i);

        for (guint k = 0; k < route->splits->len; k++) {
            const GwSplit *split = &g_array_index(route->splits, GwSplit, k);

            if (route->target_latency > 0 &&
                strcmp(split->service, service) == 0 &&
                (shortest == 0 || route->target_latency < shortest))
                shortest = route->target_latency;
        }
    }
    return shortest;
}

bool
GwRoute_MayRetry(const GwRoute *route)
{
    return route->type == GW_ROUTE_IDEMPOTENT ||
           (route->type == GW_ROUTE_STREAMING && route->resumable);
}

static void
free_route_(void *item)
{
    GwRoute *route = item;

    g_free(route->name);
    g_free(route->host);
    g_free(route->path_prefix);
    g_array_unref(route->splits);
    g_free(route);
}

static void
free_account_(void *item)
{
    GwAccount *account = item;

    g_free(account->name);
    g_free(account);
}

static void
free_service_(void *item)
{
    GwService *service = item;

    g_free(service->name);
    g_free(service->failure_domain);
    g_free(service);
}

static void
clear_split_(void *item)
{
    g_free(((GwSplit *)item)->service);
}

static int
compare_prefix_length_(gconstpointer a, gconstpointer b)
{
    const GwRoute *x = *(GwRoute *const *)a;
    const GwRoute *y = *(GwRoute *const *)b;

    return (int)strlen(y->path_prefix) - (int)strlen(x->path_prefix);
}

static uint64_t
hash_isolation_(const GwRoutes *r)
{
    GHashTableIter iter;
    gpointer account;
    uint64_t hash = 0;
    bool is_any = false;

    g_hash_table_iter_init(&iter, r->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &account)) {
        const char *name = ((const GwAccount *)account)->name;

        if (!((const GwAccount *)account)->isolated)
            continue;
        // A sum, because the order of accounts in a configuration may change.
        hash += XXH64(name, strlen(name), 0);
        is_any = true;
    }
    return is_any && hash == 0 ? 1 : hash;
}
