#include "selection.h"

#include <string.h>

#include "galenagw/routing/overload.h"
#include "cache_nodes.h"
#include "outdated_engine.h"
#include "request_software.h"

/* Answers on older weights cost nothing up to the platform's bound of 1.5 s
 * after a newer version was named. Engines with older weights are ranked lower
 * from this time on, which is 200 ms before that bound. */
#define OUTDATED_WEIGHTS_GRACE (1300 * GW_MILLISECOND)

/* A request that asks for more output tokens is long-running; 24 tokens take
 * about 200 ms. */
#define LONG_OUTPUT_TOKENS 24

/* Maximum number of failure domains among which the preferred one is chosen;
 * endpoints of further ones do not count in this choice. A region has a
 * handful of failure domains. */
#define DOMAINS_MAX 16

/* Stages of the selection. Each one considers more endpoints, and is used only
 * if no endpoint was usable in the stage before. */
typedef enum {
    STAGE_FOLLOWED = 0, /* plain endpoints, and engines that this gateway
                           follows, see GwSubset_Mark */
    STAGE_ALL,          /* also the other engines */
    STAGE_EXCLUDED,     /* also endpoints that failed or declined lately, whose
                           report is overdue, or that prepare a switch: the
                           reason may no longer apply */
    SELECTION_STAGES
} SelectionStage;

/* Facts that are the same for all endpoints of the service. */
typedef struct {
    const GwService *service; /* NULL: not in the routes */
    double error_rate;        /* mean of all its endpoints */
    GwServiceSpeed speed;     /* of its endpoints */
    GwTime now;
    SelectionStage stage;
} ServiceContext;

static void fill_candidate_(const GwRequest *r, const GwInstance *instance,
                            ServiceContext *service_context, GwCandidate *out);
static GwCopyPlan plan_copy_(const GwRequest *r,
                             const GwCacheNodes *cache_nodes, guint index,
                             GwCandidate *out);
static bool may_start_in_time_(const GwRequest *r, const GwInstance *instance,
                               const GwCandidate *c, GwTime now);
static uint64_t choose_preferred_domain_(const GwRequest *r,
                                         const GPtrArray *endpoints);
static double mean_error_rate_(const GPtrArray *endpoints);
static GwServiceSpeed compare_speeds_(const GPtrArray *endpoints, GwTime now);
static GwSpeedEstimate estimate_speed_(const GwInstance *instance, GwTime now);
static void set_speed_(GwCandidate *out, const GwInstance *instance,
                       const GwServiceSpeed *service, GwTime now);
static GwTime next_send_at_(const GwRequest *r, const GwInstance *instance,
                            GwTime now);

GwInstance *
GwSelection_Choose(GwRequest *r, const GwAddress **source)
{
    GwGateway *g = r->gateway;
    const GPtrArray *endpoints =
        GwInstances_Of(GwView_Instances(g->view), r->service);
    g_autoptr(GwCacheNodes) cache_nodes = NULL;
    g_autofree GwCandidate *candidates = NULL;
    g_autofree GwCopyPlan *plans = NULL;
    GwInstance *instance;
    ServiceContext service_context;
    int preferred = -1;
    int chosen = -1;

    if (endpoints == NULL || endpoints->len == 0)
        return NULL;
    candidates = g_new0(GwCandidate, endpoints->len);
    plans = g_new0(GwCopyPlan, endpoints->len);
    service_context = (ServiceContext){
        .service = GwRoutes_Service(r->routes, r->service),
        .error_rate = mean_error_rate_(endpoints),
        .now = GwTime_Now(),
    };
    service_context.speed = compare_speeds_(endpoints, service_context.now);
    r->preferred_domain = choose_preferred_domain_(r, endpoints);
    // A prompt of one part has no shared parts, so nothing can be copied.
    if (r->info.n_parts > 1)
        cache_nodes = GwCacheNodes_New(r, endpoints);
    for (int stage = 0; stage < SELECTION_STAGES && chosen < 0; stage++) {
        service_context.stage = (SelectionStage)stage;
        for (guint i = 0; i < endpoints->len; i++) {
            fill_candidate_(r, g_ptr_array_index(endpoints, i),
                            &service_context, &candidates[i]);
            if (cache_nodes != NULL && candidates[i].usable)
                plans[i] = plan_copy_(r, cache_nodes, i, &candidates[i]);
        }
        if (r->info.n_parts > 0)
            chosen = GwPlacement_ChooseEngine(
                candidates, endpoints->len,
                GwPlacement_Anchor(r->info.parts, r->info.n_parts), &r->info,
                &preferred);
        else
            chosen = GwPlacement_ChoosePlain(candidates, endpoints->len,
                                             g_rand_int(g->rand));
    }
    if (chosen < 0)
        return NULL;
    instance = g_ptr_array_index(endpoints, chosen);
    r->chosen = candidates[chosen];
    if (instance->model != NULL || r->info.n_parts > 0) {
        g_free(r->cache_scope);
        r->cache_scope = GwCacheNodes_CacheScope(r, instance->weights);
    }
    if (r->info.n_parts > 0) {
        if (chosen != preferred)
            GwCounters_Add(&g->counters, GW_COUNTER_SPILLED, 1);
    }
    if (cache_nodes != NULL)
        *source =
            GwCacheNodes_StartCopy(cache_nodes, (guint)chosen, &plans[chosen]);
    return instance;
}

bool
GwSelection_HasAlternative(const GwRequest *r)
{
    const GPtrArray *endpoints =
        GwInstances_Of(GwView_Instances(r->gateway->view), r->service);
    GwTime now = GwTime_Now();

    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        const GwInstance *instance = g_ptr_array_index(endpoints, i);
        bool is_excluded = instance->draining ||
                           !GwRequestSoftware_Allows(r, instance) ||
                           next_send_at_(r, instance, now) > now;

        for (unsigned k = 0; k < r->n_tried; k++)
            is_excluded =
                is_excluded || r->tried_serials[k] == instance->serial;
        if (!is_excluded)
            return true;
    }
    return false;
}

GwTime
GwSelection_TimeToAvailable(const GwRequest *r)
{
    const GPtrArray *endpoints =
        GwInstances_Of(GwView_Instances(r->gateway->view), r->service);
    GwTime now = GwTime_Now();
    GwTime earliest = GW_NEVER;

    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        const GwInstance *instance = g_ptr_array_index(endpoints, i);

        if (!instance->draining && GwRequestSoftware_Allows(r, instance))
            earliest = MIN(earliest, next_send_at_(r, instance, now));
    }
    return earliest != GW_NEVER ? MAX(earliest - now, 0) : 0;
}

uint64_t
GwSelection_PrefillTokens(const GwRequest *r, const GwInstance *instance)
{
    unsigned n = r->info.n_parts;

    if (instance->model == NULL)
        return 0;
    return n < 2 ? r->info.prompt_tokens
                 : r->info.parts[n - 1].tokens + r->chosen.read_tokens;
}

bool
GwSelection_IsDeferrable(const GwRequest *r)
{
    return GwRoute_EnginePriority(r->route, r->account) >
           r->routes->most_urgent_priority;
}

bool
GwSelection_IsLongRunning(const GwRequest *r)
{
    return r->info.output_tokens > LONG_OUTPUT_TOKENS;
}

// Fills the candidate of @p instance from its state, and decides whether it is
// usable in the current stage.
static void
fill_candidate_(const GwRequest *r, const GwInstance *instance,
                ServiceContext *service_context, GwCandidate *out)
{
    const GwGateway *g = r->gateway;
    const GwService *service = service_context->service;
    const GwAgentReport *agent_report = &instance->agent_report;
    const GwModelVersions *versions =
        GwView_ModelVersions(g->view, instance->model);
    GwTime now = service_context->now;
    GwTime outdated_since =
        GwModelVersions_OutdatedSince(versions, instance->weights);
    GwReportState report_state = GwInstance_ReportState(instance, now);
    bool fresh = report_state == GW_REPORT_FRESH;
    uint64_t low_priority = instance->low_priority_tokens;
    uint64_t low_priority_memory = instance->yielding_memory;

    *out = (GwCandidate){
        .address_hash = instance->address_hash,
        .near = g_strcmp0(instance->failure_domain, g->failure_domain) == 0,
        .in_preferred_domain = r->preferred_domain == 0 ||
                               instance->domain == r->preferred_domain,
        .fails_more =
            GwHealth_IsWorse(&instance->health, service_context->error_rate),
        .slots = instance->slots,
        .in_flight = instance->in_flight,
        .prefill_tokens = instance->prefill_tokens,
        .urgent_tokens = instance->urgent_tokens,
    };
    out->outdated =
        outdated_since != 0 && now - outdated_since > OUTDATED_WEIGHTS_GRACE;
    if (fresh) {
        out->in_flight =
            MAX(out->in_flight, agent_report->running + agent_report->queued);
        out->prefill_tokens += agent_report->others_tokens;
        out->urgent_tokens += agent_report->others_urgent;
        low_priority += agent_report->others_yielding;
        low_priority_memory += agent_report->others_yielding_memory;
        out->kv_used = agent_report->kv_used;
        out->kv_total = agent_report->kv_total;
    }
    set_speed_(out, instance, &service_context->speed, now);
    // Engines prefill waiting low-priority requests after this one, and
    // preempt running ones for it. They must neither divert this request from
    // its preferred engine nor cause its deferral.
    if (!GwAccount_IsLowPriority(r->account)) {
        out->prefill_tokens -= MIN(low_priority, out->prefill_tokens);
        out->kv_used -= (uint32_t)MIN(low_priority_memory, out->kv_used);
    }
    if (GwSelection_IsDeferrable(r))
        out->memory_ms =
            (double)GwOverload_MemoryWait(
                out->kv_used, out->prefill_tokens,
                (uint64_t)r->info.prompt_tokens + r->info.output_tokens,
                out->kv_total, GW_MEMORY_SHARE_PREFERRED) /
            GW_MILLISECOND;
    // Backoff and rate limit of the endpoint apply in all stages. Requests
    // that were sent nevertheless would keep the endpoint from recovering.
    out->usable =
        !instance->draining && next_send_at_(r, instance, now) <= now &&
        !(fresh && (agent_report->switching || agent_report->down)) &&
        !(fresh && agent_report->preparing && GwSelection_IsLongRunning(r) &&
          service_context->stage != STAGE_EXCLUDED) &&
        (service_context->stage > STAGE_FOLLOWED || instance->followed ||
         instance->model == NULL) &&
        (service_context->stage == STAGE_EXCLUDED ||
         (report_state != GW_REPORT_OVERDUE && instance->avoid_until <= now &&
          GwHealth_IsUsable(&instance->health, instance->in_flight, now)));
    // A stream that begins at an endpoint of unknown version, as right after
    // its restart, can't be taken up by its caller.
    out->usable = out->usable && GwRequestSoftware_Allows(r, instance) &&
                  (service_context->stage == STAGE_EXCLUDED ||
                   instance->software != 0 || !r->route->resumable);
    // Outdated weights exclude an endpoint in all stages as well.
    out->usable = out->usable && may_start_in_time_(r, instance, out, now);
    for (unsigned i = 0; i < r->n_tried; i++)
        out->usable = out->usable && r->tried_serials[i] != instance->serial;
    if (service != NULL && service->max_connections > 0 &&
        GwUpstreamPool_CountConnections(instance->user) >=
            service->max_connections &&
        instance->in_flight >= service->max_connections)
        out->usable = false;
}

// Earliest time, not before @p now, at which the backoff and the rate limit of
// @p instance allow this gateway to send it a request; GW_NEVER: never.
static GwTime
next_send_at_(const GwRequest *r, const GwInstance *instance, GwTime now)
{
    const GwGateway *g = r->gateway;
    GwEndpointLimits *limits = GwView_EndpointLimits(g->view);
    GwTime limit_next_send_at;

    if (GwEndpointLimits_Rate(limits, instance, now) < 0)
        return MAX(instance->backoff_until, now);
    // Only entries that follow an engine have a share of its limit.
    if (instance->model != NULL && !instance->followed)
        return GW_NEVER;
    limit_next_send_at = GwEndpointLimits_NextSendAt(
        limits, instance, GwPeers_EntriesSendingTo(g->peers, instance), now);
    return MAX(instance->backoff_until, limit_next_send_at);
}

// Plans what the engine at @p index of the endpoints copies, and stores the
// cost in its candidate.
static GwCopyPlan
plan_copy_(const GwRequest *r, const GwCacheNodes *cache_nodes, guint index,
           GwCandidate *out)
{
    uint32_t shared =
        GwPlacement_SumTokens(r->info.parts, r->info.n_parts - 1);
    double speed = GwCopying_PrefillSpeed(out->prefill_tokens_per_ms);
    GwCopyPlan plan = GwCacheNodes_PlanCopy(
        cache_nodes, index, (double)out->prefill_tokens / speed,
        out->prefill_tokens_per_ms);

    out->missing_tokens = GwCacheNodes_MissingTokens(cache_nodes, index);
    out->holds_shared =
        GwCacheNodes_CachedTokens(cache_nodes, index) >= shared;
    out->copy_ms = plan.copy_ms;
    out->read_tokens = plan.read_tokens;
    return plan;
}

// Whether the request is expected to start at the engine before the engine's
// weights have been outdated for longer than the bound.
static bool
may_start_in_time_(const GwRequest *r, const GwInstance *instance,
                   const GwCandidate *c, GwTime now)
{
    GwOutdatedFacts facts = {
        .engine = GwOutdatedEngine_Of(r->gateway, instance, now),
        .now = now,
        .tokens = c->prefill_tokens + r->info.prompt_tokens,
        .is_full =
            c->in_flight >= c->slots ||
            (c->kv_total > 0 && (uint64_t)c->kv_used + r->info.prompt_tokens +
                                        r->info.output_tokens >
                                    c->kv_total),
        .prefill_tokens_per_ms = c->prefill_tokens_per_ms,
        .observed_wait =
            GwFirstTokenWait_Longest(&instance->first_token_wait, now),
    };

    return GwOutdated_MaySend(&facts);
}

// Failure domain that rendezvous hashing gives the prompt: its KV store and
// its engines should be there. 0: there are fewer than two KV stores, so all
// domains are equal.
static uint64_t
choose_preferred_domain_(const GwRequest *r, const GPtrArray *endpoints)
{
    GwDomainShare shares[DOMAINS_MAX] = {{0}};
    size_t n = 0;

    if (r->info.n_parts < 2 || GwKvStores_Count(r->gateway->kv_stores) < 2)
        return 0;
    for (guint i = 0; i < endpoints->len; i++) {
        const GwInstance *instance = g_ptr_array_index(endpoints, i);
        size_t k = 0;

        while (k < n && shares[k].domain != instance->domain)
            k++;
        if (instance->draining || k == DOMAINS_MAX)
            continue;
        n = MAX(n, k + 1);
        shares[k].domain = instance->domain;
        shares[k].engines++;
    }
    // Hashes the deepest shared part, not the anchor that decides the
    // preferred engine: an anchor may be an upper part that many prompts
    // share, and a hot one would saturate the link of its KV store.
    return GwPlacement_ChooseDomain(
        shares, n, GwPlacement_HashPrefix(r->info.parts, r->info.n_parts - 1));
}

// Mean of the error rates of all endpoints of the service.
static double
mean_error_rate_(const GPtrArray *endpoints)
{
    double sum = 0;

    for (guint i = 0; i < endpoints->len; i++)
        sum += ((const GwInstance *)g_ptr_array_index(endpoints, i))
                   ->health.error_rate;
    return sum / endpoints->len;
}

// Compares the endpoints of a service that get requests.
static GwServiceSpeed
compare_speeds_(const GPtrArray *endpoints, GwTime now)
{
    g_autofree GwSpeedEstimate *list = g_new(GwSpeedEstimate, endpoints->len);
    const GwInstance *first = g_ptr_array_index(endpoints, 0);
    size_t n = 0;

    for (guint i = 0; i < endpoints->len; i++) {
        const GwInstance *instance = g_ptr_array_index(endpoints, i);

        if (!instance->draining)
            list[n++] = estimate_speed_(instance, now);
    }
    return GwServiceSpeed_Compare(list, n, first->model == NULL);
}

// The estimate of the agent, which includes the answers to all gateways; else
// the one of this process.
static GwSpeedEstimate
estimate_speed_(const GwInstance *instance, GwTime now)
{
    if (instance->agent_report.prefill_tokens_per_ms > 0 &&
        GwInstance_ReportState(instance, now) == GW_REPORT_FRESH)
        return GwSpeedEstimate_Reported(
            instance->agent_report.prefill_tokens_per_ms);
    return GwSpeedEstimate_Own(&instance->speed, now);
}

static void
set_speed_(GwCandidate *out, const GwInstance *instance,
           const GwServiceSpeed *service, GwTime now)
{
    GwSpeedEstimate estimate = estimate_speed_(instance, now);
    bool is_plain = instance->model == NULL;

    out->relative_speed =
        GwServiceSpeed_Relative(service, &estimate, is_plain);
    if (!is_plain)
        out->prefill_tokens_per_ms =
            out->relative_speed * GW_NOMINAL_PREFILL_TOKENS_PER_MS;
}
