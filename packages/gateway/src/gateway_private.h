/* The state of the gateway that its modules share. */
#ifndef GALENAGW_GATEWAY_PRIVATE_H
#define GALENAGW_GATEWAY_PRIVATE_H

#include <sys/queue.h>

#include "galenagw/base/counters.h"
#include "galenagw/cluster/peers.h"
#include "galenagw/cluster/store_reader.h"
#include "galenagw/cluster/view.h"
#include "galenagw/gateway/options.h"
#include "galenagw/http/server.h"
#include "galenagw/policy/account_share.h"
#include "galenagw/quarantine/broken_requests.h"
#include "galenagw/routing/admission.h"
#include "galenagw/routing/placement.h"
#include "galenagw/routing/retry_leases.h"
#include "galenagw/routing/stream_origins.h"

#include "kv_stores.h"
#include "quarantine_store.h"
#include "galenagw/cluster/naming_store.h"

typedef struct GwGateway GwGateway;
typedef struct GwRequest GwRequest;

struct GwGateway {
    GwLoop *loop;
    GwEventLog *log;
    void (*on_stopped)(void *user); /* the drain is complete */
    void *user;

    char *name;
    char *failure_domain;
    GwBudgetBound budget_bound; /* of the retry budget */
    GwTime grace; /* from SIGTERM until the platform kills the process */
    GwTime weights_bound; /* from the naming of a version until no request may
                             start on older weights */
    GwTime leaving_bound; /* within which a leaving endpoint must get no new
                             requests */
    int64_t store_era;    /* last known era of the store */
    GwAddress seeds[GW_MAX_SEEDS];

    GwView *view;
    GwStoreReader *store_reader;
    GwPeers *peers;
    GwHttpServer *callers_server;
    GwHttpServer *readiness_server;
    GwHttpServer *metrics_server;

    GHashTable *retries;         /* service name to ServiceRetries */
    GwRetryLeases *retry_leases; /* on the slack of the retry budget */
    GHashTable *admissions;      /* service name to GwAdmissionState */
    GwLimitShare *limit_share;   /* leases of account limits */
    GwAccountShare *account_share;
    GwLimitTolerance limit_tolerance;
    GwTimer limit_timer; /* calls GwLimitShare_Tick */
    bool limit_timer_is_running;
    GwQuarantine *quarantine;
    GwBrokenRequests *recent_broken_requests;
    GwQuarantineStore *quarantine_store;
    GwNamingStore *naming_store;
    GwKvStores *kv_stores;
    GwStreamOrigins *stream_origins; /* of streams that began here */
    GwTime started_at;
    unsigned additional_versions; /* of software, beyond one of each service */
    GwTime tell_recent_at; /* when the origins of recent streams are sent
                              again; 0: not */
    GRand *rand;
    GwCounters counters;
    TAILQ_HEAD(, GwRequest) requests; /* in progress */
    unsigned requests_in_progress;
    GwTime draining_since; /* 0: not draining */
    GwTimer drain_timer;
    GwTimer periodic_timer;
    GwTime periodic_due_at; /* 0: not started yet */
    GwTime timer_lateness;  /* by how much timers were lately late, as on a
                               machine with a small share of a processor */
};

/* When requests in progress must be answered, whatever their deadline, because
 * this process stops soon after; G_MAXINT64: it is not draining. */
GwTime GwGateway_DrainDeadline(const GwGateway *g);
/* Whether new requests are refused, because the drain may end soon. */
bool GwGateway_IsClosing(const GwGateway *gateway);
/* Record that a request in progress has ended. */
void GwGateway_RequestEnded(GwGateway *gateway);
/* Expected waits at @p service; created on first use. */
GwAdmissionState *GwGateway_Admission(GwGateway *gateway, const char *service);

#endif
