#include "choosing.h"

#include <string.h>

#include "galenagw/routing/outdated.h"

/* Older weights cost nothing for 1.5 s after a new version was named. */
#define WEIGHTS_FREE (1300 * GW_MILLISECOND)

/* Output tokens from which on a request runs for long: some 200 ms. */
#define LONG_OUTPUT 24

/* Failure domains told apart; a region has a handful. */
#define MAX_DOMAINS 16

/* What holds for all endpoints of the service. */
typedef struct {
    const GwService *service; /* NULL: the routes name no such one */
    double error_rate;        /* mean of all */
    GwTime now;
    bool desperate;          /* exclusions are set aside */
    int64_t weights;         /* last ones that were asked for; -1: none */
    uint64_t missing_tokens; /* with these */
} Survey;

static void fill_candidate_(const GwRequest *r, const GwInstance *instance,
                            Survey *survey, GwCandidate *out);
static bool may_begin_in_time_(const GwRequest *r, const GwInstance *instance,
                               const GwCandidate *c, GwTime now);
static char *scope_(const GwRequest *r, const GwInstance *instance);
static uint64_t missing_tokens_(const GwRequest *r, const GwInstance *instance,
                                Survey *survey);
static uint64_t count_missing_(const GwRequest *r, const GwInstance *instance,
                               GwTime now);
static uint64_t domain_(const GwRequest *r, const GPtrArray *pool);
static double error_rate_(const GPtrArray *pool);
static const GwAddress *find_source_(const GwRequest *r, const GPtrArray *pool,
                                     const GwInstance *chosen,
                                     const GwInstance *home);
static GwInstance *by_place_(const GPtrArray *pool, uint64_t place);
static uint64_t holder_(const GwRequest *r, const char *scope, unsigned n);
static uint64_t level_key_(const GwRequest *r, const char *scope, unsigned n);

GwInstance *
GwChoosing_Choose(GwRequest *r, const GwAddress **source)
{
    GwGateway *g = r->gateway;
    const GPtrArray *pool =
        GwInstances_Of(GwView_Instances(g->view), r->service);
    g_autofree GwCandidate *list = NULL;
    GwInstance *instance;
    Survey survey;
    int home = -1;
    int chosen = -1;

    if (pool == NULL || pool->len == 0)
        return NULL;
    list = g_new0(GwCandidate, pool->len);
    survey = (Survey){
        .service = GwRoutes_Service(r->routes, r->service),
        .error_rate = error_rate_(pool),
        .now = GwTime_Now(),
        .weights = -1,
    };
    r->domain = domain_(r, pool);
    // Where all are excluded, what is known of them is old: one is tried.
    for (int pass = 0; pass < 2 && chosen < 0; pass++) {
        survey.desperate = pass > 0;
        for (guint i = 0; i < pool->len; i++)
            fill_candidate_(r, g_ptr_array_index(pool, i), &survey, &list[i]);
        if (r->ask.n_parts > 0)
            chosen = GwPlacement_ChooseEngine(
                list, pool->len,
                GwPlacement_Anchor(r->ask.parts, r->ask.n_parts), &r->ask,
                &home);
        else
            chosen =
                GwPlacement_ChoosePlain(list, pool->len, g_rand_int(g->rand));
    }
    if (chosen < 0)
        return NULL;
    instance = g_ptr_array_index(pool, chosen);
    r->chosen = list[chosen];
    if (instance->model != NULL || r->ask.n_parts > 0) {
        g_free(r->scope);
        r->scope = scope_(r, instance);
    }
    if (r->ask.n_parts > 0) {
        if (chosen != home)
            GwCounters_Add(&g->counters, GW_COUNTER_SPILLED, 1);
        *source =
            find_source_(r, pool, instance,
                         home >= 0 ? g_ptr_array_index(pool, home) : NULL);
    }
    return instance;
}

bool
GwChoosing_HasAlternative(const GwRequest *r)
{
    const GPtrArray *pool =
        GwInstances_Of(GwView_Instances(r->gateway->view), r->service);

    for (guint i = 0; pool != NULL && i < pool->len; i++) {
        const GwInstance *instance = g_ptr_array_index(pool, i);
        bool tried = instance->draining;

        for (unsigned k = 0; k < r->n_tried; k++)
            tried = tried || r->tried[k] == instance->serial;
        if (!tried)
            return true;
    }
    return false;
}

void
GwChoosing_NoteHolder(GwRequest *r)
{
    GwTime now = GwTime_Now();

    if (r->scope == NULL || r->instance == NULL || r->instance->superseded)
        return;
    for (unsigned n = 1; n <= r->ask.n_parts; n++)
        GwAffinity_Remember(r->gateway->holders, level_key_(r, r->scope, n),
                            r->instance->place, 0, now);
}

// The store of KV cache that the request's parts belong to, or NULL.
GwKvStore *
GwChoosing_KvStore(const GwRequest *r)
{
    if (r->ask.n_parts < 2)
        return NULL;
    return GwKvStores_Pick(r->gateway->kv_stores,
                           GwPlacement_Level(r->ask.parts, r->ask.n_parts - 1),
                           r->domain);
}

// Tokens that the engine will read: its own part, and shared ones that it
// neither keeps nor can copy.
uint64_t
GwChoosing_Prefill(const GwRequest *r, const GwInstance *instance,
                   const GwAddress *source)
{
    unsigned n = r->ask.n_parts;

    if (instance->model == NULL)
        return 0;
    if (n < 2 || r->scope == NULL)
        return r->ask.prompt_tokens;
    if (source != NULL || holder_(r, r->scope, n - 1) == instance->place)
        return r->ask.parts[n - 1].tokens;
    return r->ask.prompt_tokens;
}

bool
GwChoosing_IsLong(const GwRequest *r)
{
    return r->ask.output_tokens > LONG_OUTPUT;
}

static void
fill_candidate_(const GwRequest *r, const GwInstance *instance, Survey *survey,
                GwCandidate *out)
{
    const GwGateway *g = r->gateway;
    const GwService *service = survey->service;
    const GwAdvice *advice = &instance->advice;
    GwTarget target = GwView_Target(g->view, instance->model);
    GwTime now = survey->now;
    GwTime outdated = GwTarget_OutdatedSince(&target, instance->weights);
    GwHeard heard = GwInstance_Heard(instance, now);
    bool fresh = heard == GW_HEARD_FRESH;
    uint64_t yielding = instance->yielding_tokens;
    uint64_t yielding_memory = instance->yielding_memory;

    *out = (GwCandidate){
        .place = instance->place,
        .near = g_strcmp0(instance->failure_domain, g->failure_domain) == 0,
        .by_store = r->domain == 0 || instance->domain == r->domain,
        .worse = GwHealth_IsWorse(&instance->health, survey->error_rate),
        .slots = instance->slots,
        .in_flight = instance->in_flight,
        .prefill_tokens = instance->prefill_tokens,
    };
    out->outdated = outdated != 0 && now - outdated > WEIGHTS_FREE;
    if (instance->model != NULL && r->ask.n_parts > 1)
        out->missing_tokens = missing_tokens_(r, instance, survey);
    if (fresh) {
        out->in_flight = MAX(out->in_flight, advice->running + advice->queued);
        out->prefill_tokens += advice->others_tokens;
        yielding += advice->others_yielding;
        yielding_memory += advice->others_yielding_memory;
        out->kv_used = advice->kv_used;
        out->kv_total = advice->kv_total;
    }
    // Trials that wait are read after a paying request, and those that run are
    // preempted for it: they must neither keep it from its home nor have it
    // told to come back.
    if (!GwAccount_Yields(r->account)) {
        out->prefill_tokens -= MIN(yielding, out->prefill_tokens);
        out->kv_used -= (uint32_t)MIN(yielding_memory, out->kv_used);
    }
    out->usable =
        !instance->draining &&
        !(fresh && (advice->switching || advice->down)) &&
        !(fresh && advice->preparing && GwChoosing_IsLong(r) &&
          !survey->desperate) &&
        (survey->desperate ||
         (heard != GW_HEARD_OVERDUE && instance->avoid_until <= now &&
          GwHealth_IsUsable(&instance->health, instance->in_flight, now)));
    // Not even where all others are excluded.
    out->usable = out->usable && may_begin_in_time_(r, instance, out, now);
    for (unsigned i = 0; i < r->n_tried; i++)
        out->usable = out->usable && r->tried[i] != instance->serial;
    if (service != NULL && service->max_connections > 0 &&
        GwUpstreamPool_Open(instance->user) >= service->max_connections &&
        instance->in_flight >= service->max_connections)
        out->usable = false;
}

// Whether it would begin while the engine may still have its weights.
static bool
may_begin_in_time_(const GwRequest *r, const GwInstance *instance,
                   const GwCandidate *c, GwTime now)
{
    GwTarget target = GwView_Target(r->gateway->view, instance->model);
    GwOutdatedFacts facts = {
        .since = GwTarget_OutdatedSince(&target, instance->weights),
        .now = now,
        .bound = r->gateway->weights_bound,
        .tokens = c->prefill_tokens + r->ask.prompt_tokens,
        .is_full =
            c->in_flight >= c->slots ||
            (c->kv_total > 0 && (uint64_t)c->kv_used + r->ask.prompt_tokens +
                                        r->ask.output_tokens >
                                    c->kv_total),
    };

    return GwOutdated_MaySend(&facts);
}

// Cache scope of the request at @p instance, newly allocated.
static char *
scope_(const GwRequest *r, const GwInstance *instance)
{
    // Older weights' cache, and an isolated account's, can match nothing:
    // engines compare the scope alone.
    if (r->account != NULL && r->account->isolated)
        return g_strdup_printf("w%" G_GINT64_FORMAT ".%s", instance->weights,
                               r->account->name);
    return g_strdup_printf("w%" G_GINT64_FORMAT, instance->weights);
}

// Most engines have the same weights, and what is kept of a prompt depends
// on nothing else of them.
static uint64_t
missing_tokens_(const GwRequest *r, const GwInstance *instance, Survey *survey)
{
    if (survey->weights < 0 || survey->weights != instance->weights) {
        survey->weights = instance->weights;
        survey->missing_tokens = count_missing_(r, instance, survey->now);
    }
    return survey->missing_tokens;
}

static uint64_t
count_missing_(const GwRequest *r, const GwInstance *instance, GwTime now)
{
    unsigned shared = r->ask.n_parts - 1;
    g_autofree char *scope = scope_(r, instance);
    const GwKvStore *store = GwChoosing_KvStore(r);
    unsigned kept =
        store != NULL ? GwKvStore_Kept(store, &r->ask, scope, now) : 0;

    if (kept >= shared || holder_(r, scope, shared) != 0)
        return 0;
    return GwPlacement_Tokens(&r->ask.parts[kept], shared - kept);
}

// Failure domain that the request's prompt belongs to; 0: there is but one
// store, or none, and so no nearest one.
static uint64_t
domain_(const GwRequest *r, const GPtrArray *pool)
{
    GwDomainShare shares[MAX_DOMAINS] = {{0}};
    size_t n = 0;

    if (r->ask.n_parts < 2 || GwKvStores_Count(r->gateway->kv_stores) < 2)
        return 0;
    for (guint i = 0; i < pool->len; i++) {
        const GwInstance *instance = g_ptr_array_index(pool, i);
        size_t k = 0;

        while (k < n && shares[k].domain != instance->domain)
            k++;
        if (instance->draining || k == MAX_DOMAINS)
            continue;
        n = MAX(n, k + 1);
        shares[k].domain = instance->domain;
        shares[k].engines++;
    }
    // By the deepest shared part, not by the one that decides the home: a hot
    // one of few upper parts would fill the link of its store.
    return GwPlacement_ChooseDomain(
        shares, n, GwPlacement_Level(r->ask.parts, r->ask.n_parts - 1));
}

static double
error_rate_(const GPtrArray *pool)
{
    double sum = 0;

    for (guint i = 0; i < pool->len; i++)
        sum += ((const GwInstance *)g_ptr_array_index(pool, i))
                   ->health.error_rate;
    return sum / pool->len;
}

// Who is likely to hold the deepest shared part: the engine itself, the
// store, whoever was last seen to, the home; else nobody. A source without it
// costs a millisecond.
static const GwAddress *
find_source_(const GwRequest *r, const GPtrArray *pool,
             const GwInstance *chosen, const GwInstance *home)
{
    const GwKvStore *store = GwChoosing_KvStore(r);
    GwTime now = GwTime_Now();
    unsigned shared = MAX(r->ask.n_parts, 1) - 1;
    unsigned kept = 0;

    if (store != NULL)
        kept = GwKvStore_Kept(store, &r->ask, r->scope, now);
    if (kept > 0 && kept >= shared)
        return GwKvStore_Address(store);
    for (unsigned n = r->ask.n_parts; n > kept; n--) {
        uint64_t place = holder_(r, r->scope, n);
        GwInstance *holder = by_place_(pool, place);

        if (holder == NULL)
            continue;
        if (holder == chosen || holder->weights != chosen->weights)
            break;
        return &holder->address;
    }
    if (kept > 0 || (store != NULL && GwKvStore_IsBlind(store)))
        return GwKvStore_Address(store);
    return home != NULL && home != chosen ? &home->address : NULL;
}

static GwInstance *
by_place_(const GPtrArray *pool, uint64_t place)
{
    for (guint i = 0; place != 0 && i < pool->len; i++) {
        GwInstance *instance = g_ptr_array_index(pool, i);

        if (instance->place == place)
            return instance;
    }
    return NULL;
}

// Place of the engine last seen to hold the leading @p n parts; 0: none.
static uint64_t
holder_(const GwRequest *r, const char *scope, unsigned n)
{
    GwTime unused;

    return GwAffinity_Find(r->gateway->holders, level_key_(r, scope, n),
                           GwTime_Now(), &unused);
}

static uint64_t
level_key_(const GwRequest *r, const char *scope, unsigned n)
{
    return GwPlacement_Level(r->ask.parts, n) ^ g_str_hash(scope);
}
