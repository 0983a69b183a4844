#define GW_LOG_PART "agent"
#include "galenagw/agent/agent.h"

#include <inttypes.h>
#include <unistd.h>
#include <string.h>

#include "admin.h"
#include "agent_private.h"
#include "claims.h"
#include "drain.h"
#include "agent_quarantine.h"
#include "galenagw/base/log.h"
#include "limit_owner.h"
#include "job.h"
#include "keyed.h"
#include "offers.h"
#include "orders.h"
#include "sessions.h"

/* Interval of checks for expired reservations, requests and records. */
#define TICK_PERIOD (10 * GW_MILLISECOND)
/* How long a reservation made for an offer is valid (see offers.h). */
#define RESERVATION_LIFETIME (20 * GW_MILLISECOND)
/* Interval of an engine's load reports. */
#define REPORT_PERIOD (200 * GW_MILLISECOND)
#define DEFAULT_PROGRESS_TIMEOUT (10 * GW_SECOND)
#define DEFAULT_DETACH_TIME (10 * GW_SECOND)
#define DEFAULT_SILENT_AFTER (1500 * GW_MILLISECOND)
/* Assumed number of slots until the endpoint has reported it. */
#define INITIAL_SLOTS 1
#define HEAT_MAX_PREFIXES 4096
#define DOWN_AFTER_MISSED_REPORTS 2

static void set_defaults_(GwAgentOptions *options);
static void create_log_modules_(GwAgent *agent);
static void create_endpoint_(GwAgent *agent);
static void on_tick_(void *user);
static void on_config_(void *user);
static void apply_limits_(GwAgent *agent);
static void on_report_(void *user, const GwEndpointReport *report);
static void on_cache_event_(void *user, uint64_t seq, GwCacheEventKind kind,
                            const uint64_t *hashes, size_t count);
static void on_down_(void *user);
static void update_orders_(GwAgent *agent);
static bool pause_work_(void *user);
static void resume_work_(void *user);
static void send_load_order_(void *user, const char *weights, uint64_t fence);
static void on_load_order_answered_(void *user, GwOrderOutcome outcome);
static GwTime key_lifetime_(const GwConfig *config, const char *pool);
static const GwModel *own_model_(const GwAgent *agent);

static const GwEndpointWatchOps watch_ops = {on_report_, on_cache_event_,
                                             on_down_};
static const OrdersOps orders_ops = {pause_work_, resume_work_,
                                     send_load_order_};

GwAgent *
GwAgent_New(GwLoop *loop, const GwAgentOptions *options, GwError *err)
{
    GwAgent *agent = g_new0(GwAgent, 1);
    GwAdmissionOptions admission = {INITIAL_SLOTS, 0.25, 256,
                                    RESERVATION_LIFETIME};

    agent->loop = loop;
    agent->options = *options;
    set_defaults_(&agent->options);
    agent->rand = options->seed != 0 ? g_rand_new_with_seed(options->seed)
                                     : g_rand_new();
    // Two incarnations of one instance must differ even with a fixed seed, so
    // this does not use `rand`.
    agent->incarnation = (uint64_t)g_get_real_time() << 8 | (getpid() & 0xff);
    agent->slots = INITIAL_SLOTS;
    agent->admission = GwAdmission_New(&admission);
    agent->cache_view = GwCacheView_New(0);
    agent->heat = GwHeat_New(GW_HEAT_HALF_LIFE, HEAT_MAX_PREFIXES);
    GwPrefillCost_Init(&agent->prefill_cost);
    agent->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
    agent->fences =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    agent->key_states = g_hash_table_new_full(Claims_HashKey, Claims_EqualKey,
                                              NULL, Keyed_DeleteState);
    agent->reservations =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&agent->replay_cache);
    AgentQuarantine_Init(agent);
    create_log_modules_(agent);
    create_endpoint_(agent);
    agent->limit_owner = LimitOwner_New(agent);
    GwTimer_Init(&agent->tick_timer, loop, on_tick_, agent);
    GwTimer_Start(&agent->tick_timer, TICK_PERIOD);
    AgentDrain_Init(agent);
    if (Sessions_Start(agent, err) && Admin_Start(agent, err))
        return agent;
    GwAgent_Delete(agent);
    return NULL;
}

void
GwAgent_Delete(GwAgent *agent)
{
    if (agent == NULL)
        return;
    GwTimer_Stop(&agent->tick_timer);
    AgentDrain_Stop(agent);
    Jobs_DeleteAll(agent);
    Sessions_Stop(agent);
    LimitOwner_Delete(agent->limit_owner);
    Orders_Delete(agent->orders);
    Claims_Delete(agent->claims);
    agent->endpoint.ops->delete_(agent->endpoint.impl);
    GwConfigFeed_Delete(agent->config_feed);
    GwHttpLog_Delete(agent->http_log);
    GwHttpServer_Delete(agent->admin);
    AgentQuarantine_Stop(agent);
    g_hash_table_unref(agent->reservations);
    g_hash_table_unref(agent->key_states);
    g_hash_table_unref(agent->fences);
    g_hash_table_unref(agent->jobs);
    g_queue_clear(&agent->replay_cache);
    GwHeat_Delete(agent->heat);
    GwCacheView_Delete(agent->cache_view);
    GwAdmission_Delete(agent->admission);
    g_rand_free(agent->rand);
    g_free(agent->loaded_weights);
    g_free(agent);
}

void
GwAgent_Drain(GwAgent *agent)
{
    AgentDrain_Start(agent);
}

int
GwAgent_Port(const GwAgent *agent)
{
    return GwSessionServer_Port(agent->server);
}

int
GwAgent_AdminPort(const GwAgent *agent)
{
    return GwHttpServer_Port(agent->admin);
}

const GwCounters *
GwAgent_Counters(const GwAgent *agent)
{
    return &agent->counters;
}

static void
set_defaults_(GwAgentOptions *o)
{
    if (o->progress_timeout == 0)
        o->progress_timeout = DEFAULT_PROGRESS_TIMEOUT;
    if (o->detach_time == 0)
        o->detach_time = DEFAULT_DETACH_TIME;
    if (o->silence_timeout == 0)
        o->silence_timeout = DEFAULT_SILENT_AFTER;
}

static void
create_log_modules_(GwAgent *agent)
{
    const GwAgentOptions *o = &agent->options;
    g_autofree char *claims_stream = g_strdup_printf("claims.%s", o->pool);
    g_autofree char *orders_stream = g_strdup_printf("orders.%s", o->site);
    GwConfigFeedOptions feed = {
        .site = o->site,
        .rand = agent->rand,
        .counters = &agent->counters,
        .snapshot_every = o->snapshot_every,
        .on_change = on_config_,
        .user = agent,
    };
    ClaimsOptions claims = {
        .stream = claims_stream,
        .holder = o->name,
        .incarnation = agent->incarnation,
        .rand = agent->rand,
        .counters = &agent->counters,
    };
    OrdersOptions orders = {
        .stream = orders_stream,
        .holder = o->name,
        .engine = o->name,
        .incarnation = agent->incarnation,
        .rand = agent->rand,
    };

    agent->http_log = GwHttpLog_New(agent->loop, &o->log, &agent->counters);
    agent->log = GwHttpLog_Interface(agent->http_log);
    agent->config_feed = GwConfigFeed_New(agent->loop, agent->log, &feed);
    // Only plain services take requests that may not run twice, and only
    // engines take load orders. An agent reads only the stream that it needs.
    if (o->plain_service)
        agent->claims = Claims_New(agent->loop, agent->log, &claims);
    else
        agent->orders =
            Orders_New(agent->loop, agent->log, &orders, &orders_ops, agent);
}

static void
create_endpoint_(GwAgent *agent)
{
    GwEndpointOptions options = {
        .address = agent->options.endpoint,
        .report_period = REPORT_PERIOD,
        .progress_timeout = agent->options.progress_timeout,
    };

    agent->endpoint = agent->options.plain_service
                          ? GwPlainService_New(agent->loop, &options)
                          : GwEngine_New(agent->loop, &options);
    agent->endpoint.ops->watch(agent->endpoint.impl, &watch_ops, agent);
}

static void
on_tick_(void *user)
{
    GwAgent *agent = user;
    GwTime now = GwTime_Now();

    Offers_ExpireReservations(agent, now);
    GwTimer_Start(&agent->tick_timer, TICK_PERIOD);
    Jobs_Tick(agent, now);
    AgentQuarantine_Sweep(agent, now);
}

static void
on_config_(void *user)
{
    GwAgent *agent = user;

    apply_limits_(agent);
    update_orders_(agent);
}

static void
apply_limits_(GwAgent *agent)
{
    const GwConfig *config = GwConfigFeed_Config(agent->config_feed);
    GwAdmissionOptions options;

    if (config == NULL)
        return;
    options.slots = agent->slots;
    options.paying_reserve = config->tuning.paying_reserve;
    options.queue_max = config->tuning.queue_max;
    options.reserve_time = RESERVATION_LIFETIME;
    GwAdmission_SetOptions(agent->admission, &options);
    if (agent->claims != NULL)
        Claims_SetLifetime(agent->claims,
                           key_lifetime_(config, agent->options.pool));
    if (agent->orders != NULL)
        Orders_SetLimits(agent->orders, config->tuning.weight_loads,
                         config->tuning.order_lease_ms * GW_MILLISECOND);
}

static void
on_report_(void *user, const GwEndpointReport *report)
{
    GwAgent *agent = user;

    if (!agent->endpoint_up)
        GW_INFO("the endpoint answers and has %d slots", report->slots);
    if (agent->endpoint_incarnation != 0 &&
        agent->endpoint_incarnation != report->incarnation)
        AgentQuarantine_OnEndpointTerminated(agent);
    agent->endpoint_incarnation = report->incarnation;
    agent->endpoint_up = true;
    agent->missed_reports = 0;
    agent->endpoint_loading = report->loading;
    if (GwCacheView_Bind(agent->cache_view, report->incarnation))
        GwCounters_Add(&agent->counters, GW_COUNTER_CACHE_RESETS, 1);
    if (report->cache_chunks != GwCacheView_Capacity(agent->cache_view))
        GwCacheView_SetCapacity(agent->cache_view, report->cache_chunks);
    if (g_strcmp0(agent->loaded_weights, report->weights) != 0) {
        g_free(agent->loaded_weights);
        agent->loaded_weights = g_strdup(report->weights);
    }
    if (report->slots != agent->slots) {
        agent->slots = report->slots;
        apply_limits_(agent);
    }
    update_orders_(agent);
    Jobs_StartQueued(agent);
}

static void
on_cache_event_(void *user, uint64_t seq, GwCacheEventKind kind,
                const uint64_t *hashes, size_t count)
{
    GwAgent *agent = user;

    GwCounters_Add(&agent->counters, GW_COUNTER_CACHE_EVENTS, 1);
    if (!GwCacheView_Event(agent->cache_view, seq, kind, hashes, count))
        GwCounters_Add(&agent->counters, GW_COUNTER_CACHE_GAPS, 1);
}

static void
on_down_(void *user)
{
    GwAgent *agent = user;

    // A single missed report does not show a crash: it may only be late.
    if (++agent->missed_reports < DOWN_AFTER_MISSED_REPORTS ||
        !agent->endpoint_up)
        return;
    GW_WARN(
        "the endpoint does not answer: consecutive load reports were missed; "
        "refusing new requests until it answers");
    agent->endpoint_up = false;
    AgentQuarantine_OnEndpointTerminated(agent);
}

static void
update_orders_(GwAgent *agent)
{
    const GwModel *m = own_model_(agent);

    if (agent->orders != NULL && m != NULL)
        Orders_Update(agent->orders, m->weights, agent->loaded_weights,
                      agent->endpoint_loading);
}

static bool
pause_work_(void *user)
{
    GwAgent *agent = user;

    // Loading weights clears the engine, so its running jobs finish first.
    agent->is_work_paused = true;
    return GwAdmission_Present(agent->admission) == 0;
}

static void
resume_work_(void *user)
{
    GwAgent *agent = user;

    agent->is_work_paused = false;
    Jobs_StartQueued(agent);
}

static void
send_load_order_(void *user, const char *weights, uint64_t fence)
{
    GwAgent *agent = user;

    GwCounters_Add(&agent->counters, GW_COUNTER_ORDERS, 1);
    agent->endpoint.ops->load_weights(agent->endpoint.impl, weights, fence,
                                      on_load_order_answered_, agent);
}

static void
on_load_order_answered_(void *user, GwOrderOutcome outcome)
{
    GwAgent *agent = user;

    if (outcome == GW_ORDER_FENCED)
        GwCounters_Add(&agent->counters, GW_COUNTER_ORDERS_FENCED, 1);
    Orders_OnAnswer(agent->orders, outcome == GW_ORDER_FENCED);
}

static GwTime
key_lifetime_(const GwConfig *config, const char *pool)
{
    const GwService *s = g_hash_table_lookup(config->services, pool);

    return s != NULL ? s->key_life_s * GW_SECOND : 0;
}

static const GwModel *
own_model_(const GwAgent *agent)
{
    const GwConfig *config = GwConfigFeed_Config(agent->config_feed);

    return config != NULL
               ? g_hash_table_lookup(config->models, agent->options.pool)
               : NULL;
}
