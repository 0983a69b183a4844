#include "galenagw/entry/entry.h"

#include <string.h>
#include <unistd.h>

#include "api.h"
#include "credits.h"
#include "delivery.h"
#include "drain.h"
#include "entry_private.h"
#include "entry_quarantine.h"
#include "exchange.h"
#include "peers.h"
#include "placement.h"

#define TICK_PERIOD (50 * GW_MILLISECOND)
/* Defaults of options, see options.h. */
#define INSTANCE_LIST_PERIOD_DEFAULT (500 * GW_MILLISECOND)
#define SESSION_SILENT_AFTER_DEFAULT (1500 * GW_MILLISECOND)
#define BALANCER_LAG_DEFAULT (2 * GW_SECOND)
#define MAX_BODY_DEFAULT_BYTES (4 * 1024 * 1024)
/* Retries per client request, until a configuration is read. */
#define RETRY_SHARE_DEFAULT 0.1
/* Unused retries that can accumulate. */
#define RETRY_BURST_REQUESTS 20
/* Prefixes in each of the tables `widths` and `affinity`. */
#define PREFIX_TABLE_MAX_KEYS 16384
/* How long a prefix is sent to the member that last served it without a probe
   round. Short, because the load of that member changes. */
#define AFFINITY_TTL (500 * GW_MILLISECOND)
/* With more members (agents in the instance list) sessions are opened only
   when a request needs them. */
#define CONNECT_AHEAD_MAX_MEMBERS 128

static void set_defaults_(GwEntryOptions *options);
static void on_config_(void *user);
static void on_list_begin_(void *user);
static void on_instance_(void *user, const GwInstance *instance);
static void on_list_end_(void *user);
static void connect_to_members_(GwEntry *entry);
static void on_tick_(void *user);
static void on_ready_(Peer *peer);
static void on_frame_(Peer *peer, const GwFrame *frame);

static const GwInstanceListOps list_ops = {on_list_begin_, on_instance_,
                                           on_list_end_};
static const PeerOps peer_ops = {on_ready_, Exchange_OnPeerLost, on_frame_};

GwEntry *
GwEntry_New(GwLoop *loop, const GwEntryOptions *options, GwError *err)
{
    GwEntry *entry = g_new0(GwEntry, 1);
    GwConfigFeedOptions feed_options = {.on_change = on_config_,
                                        .user = entry};

    entry->loop = loop;
    entry->options = *options;
    set_defaults_(&entry->options);
    entry->rand = options->seed != 0 ? g_rand_new_with_seed(options->seed)
                                     : g_rand_new();
    // Must differ from that of an earlier run of this instance; the process id
    // is included for processes that start in the same microsecond.
    entry->incarnation = (uint64_t)g_get_real_time() << 8 | (getpid() & 0xff);
    // An agent reserves capacity for each probe that it answers with an offer
    // and identifies the reservation by the probe's id, so the ids of all
    // entries must differ. Each entry counts up from a random start: 32 random
    // bits, 24 bits of the incarnation, and 8 bits that are 0.
    entry->next_probe = (uint64_t)g_rand_int(entry->rand) << 32 |
                        (entry->incarnation & 0xffffff) << 8;
    entry->n_entries = 1;
    entry->members = GwMembership_New(entry->rand);
    entry->peer_ops = &peer_ops;
    entry->on_credits_changed = Exchange_OnCreditsChanged;
    entry->credits =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, Credits_Delete);
    entry->exchanges = g_hash_table_new(g_int64_hash, g_int64_equal);
    entry->probes = g_hash_table_new(g_int64_hash, g_int64_equal);
    entry->widths =
        GwHeat_New(GW_PREFIX_WIDTH_HALF_LIFE, PREFIX_TABLE_MAX_KEYS);
    entry->affinity = GwAffinity_New(AFFINITY_TTL, PREFIX_TABLE_MAX_KEYS);
    EntryQuarantine_Init(entry);
    GwRetryBudget_Init(&entry->budget, RETRY_SHARE_DEFAULT,
                       RETRY_BURST_REQUESTS);
    entry->http_log = GwHttpLog_New(loop, &options->log, &entry->counters);
    feed_options.site = options->site;
    feed_options.rand = entry->rand;
    feed_options.counters = &entry->counters;
    feed_options.snapshot_every = options->snapshot_every;
    entry->feed = GwConfigFeed_New(loop, GwHttpLog_Interface(entry->http_log),
                                   &feed_options);
    entry->list = GwInstanceList_New(loop, &options->instances,
                                     entry->options.list_period, entry->rand,
                                     &list_ops, entry);
    GwTimer_Init(&entry->tick, loop, on_tick_, entry);
    GwTimer_Start(&entry->tick, TICK_PERIOD);
    EntryDrain_Init(entry);
    if (Api_Start(entry, err))
        return entry;
    GwEntry_Delete(entry);
    return NULL;
}

void
GwEntry_Delete(GwEntry *entry)
{
    if (entry == NULL)
        return;
    // Exchange_DeleteAll leaves no open request. During a drain this would
    // start the linger timer again, after EntryDrain_Stop.
    entry->draining = false;
    GwTimer_Stop(&entry->tick);
    EntryDrain_Stop(entry);
    Exchange_DeleteAll(entry);
    Peers_DeleteAll(entry);
    EntryQuarantine_Stop(entry);
    GwInstanceList_Delete(entry->list);
    GwConfigFeed_Delete(entry->feed);
    GwHttpLog_Delete(entry->http_log);
    GwHttpServer_Delete(entry->server);
    GwHttpServer_Delete(entry->admin);
    GwHeat_Delete(entry->widths);
    GwAffinity_Delete(entry->affinity);
    g_hash_table_unref(entry->probes);
    g_hash_table_unref(entry->exchanges);
    g_hash_table_unref(entry->credits);
    GwMembership_Delete(entry->members);
    g_rand_free(entry->rand);
    g_free(entry);
}

void
GwEntry_Drain(GwEntry *entry)
{
    EntryDrain_Start(entry);
}

int
GwEntry_Port(const GwEntry *entry)
{
    return GwHttpServer_Port(entry->server);
}

int
GwEntry_AdminPort(const GwEntry *entry)
{
    return GwHttpServer_Port(entry->admin);
}

const GwCounters *
GwEntry_Counters(const GwEntry *entry)
{
    return &entry->counters;
}

int
GwEntry_OpenRequests(const GwEntry *entry)
{
    return (int)g_hash_table_size(entry->exchanges);
}

static void
set_defaults_(GwEntryOptions *o)
{
    if (o->list_period == 0)
        o->list_period = INSTANCE_LIST_PERIOD_DEFAULT;
    if (o->silence_timeout == 0)
        o->silence_timeout = SESSION_SILENT_AFTER_DEFAULT;
    if (o->balancer_lag == 0)
        o->balancer_lag = BALANCER_LAG_DEFAULT;
    if (o->max_body == 0)
        o->max_body = MAX_BODY_DEFAULT_BYTES;
}

static void
on_config_(void *user)
{
    GwEntry *entry = user;
    const GwConfig *config = GwConfigFeed_Config(entry->feed);

    if (config != NULL)
        entry->budget.share = config->tuning.retry_share;
}

static void
on_list_begin_(void *user)
{
    GwEntry *entry = user;

    entry->n_entries_counted = 0;
    GwMembership_BeginList(entry->members);
}

static void
on_instance_(void *user, const GwInstance *instance)
{
    GwEntry *entry = user;

    if (strcmp(instance->role, "entry") == 0)
        entry->n_entries_counted++;
    else
        GwMembership_Listed(entry->members, instance->name, instance->pool,
                            instance->failure_domain, &instance->address,
                            instance->leaving);
}

static void
on_list_end_(void *user)
{
    GwEntry *entry = user;

    GwMembership_EndList(entry->members);
    // At least this entry, also if the list does not contain it yet.
    entry->n_entries = MAX(entry->n_entries_counted, 1);
    entry->list_loaded = true;
    connect_to_members_(entry);
}

// Open sessions to all members of a small fleet, so that a first request does
// not wait for a connection.
static void
connect_to_members_(GwEntry *entry)
{
    const GPtrArray *all = GwMembership_All(entry->members);
    GwTime now = GwTime_Now();

    for (guint i = 0; i < all->len && all->len <= CONNECT_AHEAD_MAX_MEMBERS;
         i++) {
        GwMember *member = all->pdata[i];

        if (GwMembership_IsUsable(member, now))
            Peers_Connect(Peers_Get(entry, member));
    }
}

static void
on_tick_(void *user)
{
    GwEntry *entry = user;

    GwTimer_Start(&entry->tick, TICK_PERIOD);
    Peers_Tick(entry, GwTime_Now());
    EntryQuarantine_Sweep(entry, GwTime_Now());
}

static void
on_ready_(Peer *peer)
{
    EntryQuarantine_SendAll(peer);
    Exchange_OnPeerReady(peer);
}

static void
on_frame_(Peer *peer, const GwFrame *frame)
{
    if (EntryQuarantine_OnFrame(peer, frame))
        return;
    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_OFFER:
        Placement_OnOffer(peer, frame->offer);
        break;
    case GW__WIRE__FRAME__BODY_CHUNK:
        Delivery_OnChunk(peer, frame->chunk);
        break;
    case GW__WIRE__FRAME__BODY_FINAL:
        Delivery_OnFinal(peer, frame->final);
        break;
    case GW__WIRE__FRAME__BODY_REFUSED:
        Delivery_OnRefused(peer, frame->refused);
        break;
    case GW__WIRE__FRAME__BODY_RESUME_RESULT:
        Delivery_OnResumeResult(peer, frame->resume_result);
        break;
    case GW__WIRE__FRAME__BODY_CREDIT_GRANT:
        Credits_OnGrant(peer->entry, frame->credit_grant);
        break;
    default:
        break;
    }
}
