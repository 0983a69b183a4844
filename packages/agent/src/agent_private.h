/* The state that the agent's modules share; private to this package. */
#ifndef GALENAGW_AGENT_PRIVATE_H
#define GALENAGW_AGENT_PRIVATE_H

#include "galenagw/agent/options.h"
#include "galenagw/endpoint/endpoint.h"
#include "galenagw/http/server.h"
#include "galenagw/platform/config_feed.h"
#include "galenagw/policy/admission.h"
#include "galenagw/policy/cache_view.h"
#include "galenagw/policy/choice.h"
#include "galenagw/policy/heat.h"
#include "galenagw/quarantine/broken_requests.h"
#include "galenagw/quarantine/quarantine_sync.h"
#include "galenagw/wire/session.h"

/* Half-life of the load that probes add to a prefix. */
#define GW_HEAT_HALF_LIFE GW_SECOND

typedef struct GwAgent GwAgent;
typedef struct Claims Claims;
typedef struct Orders Orders;
typedef struct LimitOwner LimitOwner;

struct GwAgent {
    GwLoop *loop;
    GwAgentOptions options;
    GRand *rand;
    GwCounters counters;
    uint64_t incarnation; /* of this agent process */

    GwHttpLog *http_log;
    GwLog log;
    GwConfigFeed *config_feed;
    GwSessionServer *server;
    GHashTable *sessions; /* set of GwSession: all open sessions with entries;
                             an entry that reconnects may have two until the
                             old one is closed */
    GwHttpServer *admin;

    GwEndpoint endpoint;
    bool endpoint_up;
    bool endpoint_loading;
    bool is_work_paused; /* no job is started, because a load order is to be
                            sent once the engine is idle */
    int missed_reports;  /* consecutive */
    uint64_t endpoint_incarnation; /* as last reported; 0: no report yet */
    GwQuarantine *quarantine;
    GwBrokenRequests *broken_requests;
    uint64_t termination_count; /* of the endpoint, as sent to entries */
    GwTcp *listen_check; /* connection that tests whether a plain service
                            listens; NULL: no test in progress */
    int slots;
    char *loaded_weights; /* as the engine last reported */

    GwAdmission *admission;
    GwCacheView *cache_view;
    GwPrefillCost prefill_cost;
    GwHeat *heat;
    GwTime last_prefill_end;

    GHashTable *jobs;       /* &job->id to Job */
    GHashTable *fences;     /* request id to Fence */
    GHashTable *key_states; /* ClaimKey to KeyState */
    GQueue replay_cache;    /* KeyState with a stored answer, oldest first */
    size_t replay_cache_bytes;
    GHashTable *reservations; /* probe id to Reservation */

    Claims *claims; /* NULL beside an engine */
    Orders *orders; /* NULL beside a plain service */
    LimitOwner *limit_owner;

    GwTimer tick_timer;
    GwTimer linger_timer; /* between the last job and on_drained */
    GwTime next_sweep_at;
    GwTime next_key_sweep_at;
    bool draining;
    bool drained;
};

#endif
