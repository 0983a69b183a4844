#include "cache_nodes.h"

/* Bytes of KV cache per prompt token if the configuration has no value; all
 * data sheets of the users' engines have this one. */
#define TOKEN_BYTES_DEFAULT 163840.0
/* Maximum number of weights versions among the engines of a service; engines
 * of further versions are not used as cache nodes. */
#define MAX_WEIGHTS_VERSIONS 4
#define BITS_PER_BYTE 8.0
#define BITS_PER_MBIT 1e6
#define MS_PER_S 1e3

/* Facts that are the same for all engines with the same weights. */
typedef struct {
    int64_t weights;
    char *scope; /* cache scope of the request with these weights */
    /* Most leading shared tokens that any cache node has cached. */
    uint32_t max_cached_tokens;
} WeightsVersion;

struct GwCacheNodes {
    const GwRequest *request;
    const GPtrArray *endpoints; /* of the service, as GwInstance * */
    GwKvStore *kv_store;        /* or NULL */
    GwTime now;
    uint32_t shared_tokens; /* of the prompt */
    double token_bytes;     /* of KV cache per prompt token */
    double engine_rate; /* of the engines' links, in tokens per millisecond */
    WeightsVersion versions[MAX_WEIGHTS_VERSIONS];
    int n_versions;
    /* For each of the endpoints: leading shared tokens that it has cached. */
    uint32_t *held_tokens;
    GwCopySource *sources; /* cache nodes with any shared tokens */
    /* Parallel to sources; NULL: the KV store. */
    GwInstance **source_instances;
    size_t n_sources;
};

static bool is_isolated_(const GwRoutes *routes, const GwAccount *account);
static void add_kv_store_(GwCacheNodes *c);
static void add_engines_(GwCacheNodes *c);
static const WeightsVersion *find_version_(const GwCacheNodes *c,
                                           int64_t weights);
static WeightsVersion *find_or_add_version_(GwCacheNodes *c, int64_t weights);
static double tokens_per_ms_(const GwCacheNodes *c, double mbps);
static bool is_copy_source_(const GwInstance *instance, GwTime now);

GwKvStore *
GwCacheNodes_KvStore(const GwRequest *r)
{
    if (r->info.n_parts < 2)
        return NULL;
    return GwKvStores_Pick(
        r->gateway->kv_stores,
        GwPlacement_HashPrefix(r->info.parts, r->info.n_parts - 1),
        r->preferred_domain);
}

GwCacheNodes *
GwCacheNodes_New(const GwRequest *r, const GPtrArray *endpoints)
{
    GwCacheNodes *c = g_new0(GwCacheNodes, 1);
    const GwService *service = GwRoutes_Service(r->routes, r->service);

    c->request = r;
    c->endpoints = endpoints;
    c->kv_store = GwCacheNodes_KvStore(r);
    c->now = GwTime_Now();
    c->shared_tokens =
        GwPlacement_SumTokens(r->info.parts, r->info.n_parts - 1);
    c->token_bytes = service != NULL && service->token_bytes > 0
                         ? service->token_bytes
                         : TOKEN_BYTES_DEFAULT;
    c->engine_rate =
        tokens_per_ms_(c, service != NULL ? service->link_mbps : 0);
    c->held_tokens = g_new0(uint32_t, endpoints->len);
    c->sources = g_new0(GwCopySource, endpoints->len + MAX_WEIGHTS_VERSIONS);
    c->source_instances =
        g_new0(GwInstance *, endpoints->len + MAX_WEIGHTS_VERSIONS);
    add_engines_(c);
    add_kv_store_(c);
    return c;
}

void
GwCacheNodes_Delete(GwCacheNodes *c)
{
    if (c == NULL)
        return;
    for (int i = 0; i < c->n_versions; i++)
        g_free(c->versions[i].scope);
    g_free(c->held_tokens);
    g_free(c->sources);
    g_free(c->source_instances);
    g_free(c);
}

uint32_t
GwCacheNodes_CachedTokens(const GwCacheNodes *c, guint index)
{
    return c->held_tokens[index];
}

uint32_t
GwCacheNodes_MissingTokens(const GwCacheNodes *c, guint index)
{
    const GwInstance *instance = g_ptr_array_index(c->endpoints, index);
    const WeightsVersion *version = find_version_(c, instance->weights);

    return version != NULL ? c->shared_tokens - version->max_cached_tokens
                           : c->shared_tokens;
}

GwCopyPlan
GwCacheNodes_PlanCopy(const GwCacheNodes *c, guint index, double wait_ms,
                      double prefill_tokens_per_ms)
{
    const GwInstance *instance = g_ptr_array_index(c->endpoints, index);
    GwCopyTarget target = {
        .address_hash = instance->address_hash,
        .domain = instance->domain,
        .weights = instance->weights,
        .held_tokens = c->held_tokens[index],
        .shared_tokens = c->shared_tokens,
        .tokens_per_ms = c->engine_rate,
        .busy_until = instance->copying_until,
        .prefill_tokens_per_ms = prefill_tokens_per_ms,
        .wait_ms = wait_ms,
        .now = c->now,
    };

    return GwCopying_Plan(&target, c->sources, c->n_sources);
}

const GwAddress *
GwCacheNodes_StartCopy(GwCacheNodes *c, guint index, const GwCopyPlan *plan)
{
    GwInstance *instance = g_ptr_array_index(c->endpoints, index);
    GwTime copy_done_at = c->now + (GwTime)(plan->copy_ms * GW_MILLISECOND);
    uint32_t copied =
        c->shared_tokens - c->held_tokens[index] - plan->read_tokens;

    if (c->kv_store != NULL &&
        GwCopying_ShouldTryStore(plan->read_tokens, copied))
        return GwKvStore_Address(c->kv_store);
    if (plan->source_index < 0)
        return NULL;
    instance->copying_until = copy_done_at;
    if (c->source_instances[plan->source_index] != NULL) {
        c->source_instances[plan->source_index]->copying_until = copy_done_at;
        return &c->source_instances[plan->source_index]->address;
    }
    GwKvStore_SetBusyUntil(c->kv_store, copy_done_at);
    return GwKvStore_Address(c->kv_store);
}

char *
GwCacheNodes_CacheScope(const GwRequest *r, int64_t weights)
{
    // Of the configuration in force, not of the one with which the request
    // began: it may have waited since.
    const GwRoutes *routes = GwView_Routes(r->gateway->view);

    // Engines compare only the scope before they reuse cached parts, neither
    // weights nor account. So the scope contains everything that must not be
    // mixed: the weights version and, for an isolated account, the account.
    if (is_isolated_(routes, r->account))
        return g_strdup_printf("w%" G_GINT64_FORMAT ".%s", weights,
                               r->account->name);
    if (routes->isolation_hash == 0)
        return g_strdup_printf("w%" G_GINT64_FORMAT, weights);
    // An account that becomes isolated leaves parts in the common scope, also
    // in KV stores. The other accounts therefore get a scope that only they
    // have ever used: one for each set of isolated accounts.
    return g_strdup_printf("w%" G_GINT64_FORMAT "+%" G_GINT64_MODIFIER "x",
                           weights, routes->isolation_hash);
}

// An account that is no longer configured may have been isolated.
static bool
is_isolated_(const GwRoutes *routes, const GwAccount *account)
{
    const GwAccount *current;

    if (account == NULL)
        return false;
    current = GwRoutes_AccountNamed(routes, account->name);
    return current == NULL || current->isolated;
}

static void
add_engines_(GwCacheNodes *c)
{
    const GwRequestInfo *info = &c->request->info;

    for (guint i = 0; i < c->endpoints->len; i++) {
        GwInstance *instance = g_ptr_array_index(c->endpoints, i);
        WeightsVersion *version = find_or_add_version_(c, instance->weights);
        unsigned parts;

        // Cached parts of an engine that is no longer followed are stale.
        if (version == NULL || !instance->followed)
            continue;
        parts = GwCachedParts_Leading(instance->cached_parts, info,
                                      version->scope);
        c->held_tokens[i] =
            GwPlacement_SumTokens(info->parts, MIN(parts, info->n_parts - 1));
        if (c->held_tokens[i] == 0 || !is_copy_source_(instance, c->now))
            continue;
        version->max_cached_tokens =
            MAX(version->max_cached_tokens, c->held_tokens[i]);
        c->source_instances[c->n_sources] = instance;
        c->sources[c->n_sources++] = (GwCopySource){
            .address_hash = instance->address_hash,
            .domain = instance->domain,
            .weights = instance->weights,
            .tokens = c->held_tokens[i],
            .tokens_per_ms = c->engine_rate,
            .busy_until = instance->copying_until,
        };
    }
}

// Adds the KV store as one source per weights version: each version has its
// own cache scope.
static void
add_kv_store_(GwCacheNodes *c)
{
    const GwRequestInfo *info = &c->request->info;

    if (c->kv_store == NULL)
        return;
    for (int i = 0; i < c->n_versions; i++) {
        WeightsVersion *version = &c->versions[i];
        unsigned parts = GwKvStore_CountCachedParts(c->kv_store, info,
                                                    version->scope, c->now);
        uint32_t tokens =
            GwPlacement_SumTokens(info->parts, MIN(parts, info->n_parts - 1));

        if (tokens == 0)
            continue;
        version->max_cached_tokens = MAX(version->max_cached_tokens, tokens);
        c->sources[c->n_sources++] = (GwCopySource){
            .domain = GwKvStore_Domain(c->kv_store),
            .weights = version->weights,
            .tokens = tokens,
            .tokens_per_ms =
                tokens_per_ms_(c, GwKvStore_LinkMbps(c->kv_store)),
            .busy_until = GwKvStore_BusyUntil(c->kv_store),
        };
    }
}

static const WeightsVersion *
find_version_(const GwCacheNodes *c, int64_t weights)
{
    for (int i = 0; i < c->n_versions; i++) {
        if (c->versions[i].weights == weights)
            return &c->versions[i];
    }
    return NULL;
}

// Returns NULL if there are MAX_WEIGHTS_VERSIONS other versions.
static WeightsVersion *
find_or_add_version_(GwCacheNodes *c, int64_t weights)
{
    const WeightsVersion *known = find_version_(c, weights);

    if (known != NULL)
        return &c->versions[known - c->versions];
    if (c->n_versions == MAX_WEIGHTS_VERSIONS)
        return NULL;
    c->versions[c->n_versions] = (WeightsVersion){
        .weights = weights,
        .scope = GwCacheNodes_CacheScope(c->request, weights),
    };
    return &c->versions[c->n_versions++];
}

// Converts a bandwidth in megabits per second; 0 stays 0.
static double
tokens_per_ms_(const GwCacheNodes *c, double mbps)
{
    return mbps * BITS_PER_MBIT / BITS_PER_BYTE / MS_PER_S / c->token_bytes;
}

// Whether engines may copy from @p instance. An unreachable source would cost
// the copying engine some hundred milliseconds.
static bool
is_copy_source_(const GwInstance *instance, GwTime now)
{
    return !instance->agent_report.down && instance->removed_at == 0 &&
           GwInstance_ReportState(instance, now) != GW_REPORT_OVERDUE;
}
