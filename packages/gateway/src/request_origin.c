#include "request_origin.h"

#include "request_limit.h"
#include "request_log.h"
#include "request_refusal.h"
#include "request_software.h"

/* A process has read all endpoints, or is connected to agents, within this
 * time after its start. */
#define START_TIME (5 * GW_SECOND)

static bool is_taken_up_(const GwRequest *r);
static void on_decided_(GwOriginAsk *ask, GwOriginAnswer answer,
                        uint64_t software);
static void decide_without_origin_(GwRequest *r, GwOriginSource source);
static void continue_(GwRequest *r, uint64_t software, GwOriginSource source);
static bool pick_service_(GwRequest *r);
static bool may_go_on_at_(const GwRequest *r, const char *service);

void
GwRequestOrigin_Start(GwRequest *r)
{
    GwGateway *g = r->gateway;
    uint64_t software;

    if (!is_taken_up_(r)) {
        GwRequestLimit_Start(r);
        return;
    }
    // The agents are also asked about a stream that is not named (0), for the
    // versions that they know.
    r->stream =
        r->info.resumes != NULL ? GwStreamOrigins_Hash(r->info.resumes) : 0;
    software =
        GwStreamOrigins_Find(g->stream_origins, r->stream, GwTime_Now());
    if (software != 0) {
        continue_(r, software, GW_ORIGIN_SOURCE_OWN);
        return;
    }
    r->origin_ask.on_decided = on_decided_;
    r->origin_ask.user = r;
    r->origin_ask.service = r->service;
    GwPeers_AskStreamOrigin(g->peers, r->stream, &r->origin_ask);
}

// Whether the caller already has events of the stream.
static bool
is_taken_up_(const GwRequest *r)
{
    return r->route->resumable &&
           (r->info.resumes != NULL || r->info.last_event_id != NULL);
}

static void
on_decided_(GwOriginAsk *ask, GwOriginAnswer answer, uint64_t software)
{
    GwRequest *r = ask->user;

    if (answer == GW_ORIGIN_KNOWN)
        continue_(r, software, GW_ORIGIN_SOURCE_AGENT);
    else
        decide_without_origin_(
            r, r->info.resumes == NULL       ? GW_ORIGIN_SOURCE_NOT_NAMED
               : answer == GW_ORIGIN_UNKNOWN ? GW_ORIGIN_SOURCE_UNKNOWN
                                             : GW_ORIGIN_SOURCE_NO_ANSWER);
}

// Nobody knows the version. If the service has several, a guess could join
// events of two of them. A gateway that started after the stream began may not
// have seen a version that departed since, but an agent may. Right after its
// start, it may not have read all endpoints.
static void
decide_without_origin_(GwRequest *r, GwOriginSource source)
{
    bool is_informed = r->origin_ask.n_answers > 0 ||
                       GwTime_Now() - r->gateway->started_at >= START_TIME;
    uint64_t only;

    if (GwRequestSoftware_CountVersions(r, &only) <= 1 &&
        r->origin_ask.versions <= 1 && is_informed) {
        continue_(r, only, GW_ORIGIN_SOURCE_ONLY_VERSION);
        return;
    }
    GwRequestLog_StreamOrigin(r, source);
    GwRequestRefusal_Answer(r, GW_REFUSAL_ORIGIN_UNKNOWN);
}

static void
continue_(GwRequest *r, uint64_t software, GwOriginSource source)
{
    bool has_endpoint;

    r->software = software;
    r->has_begun = true;
    has_endpoint = software == 0 || pick_service_(r);
    GwRequestLog_StreamOrigin(r, source);
    if (!has_endpoint) {
        GwRequestRefusal_Answer(r, GW_REFUSAL_VERSION_GONE);
        return;
    }
    GwRequestLimit_Start(r);
}

// A route may send requests to several services: the stream goes on at the one
// that began it. Returns whether one has an endpoint of its version.
static bool
pick_service_(GwRequest *r)
{
    if (may_go_on_at_(r, r->service))
        return true;
    for (guint i = 0; i < r->route->splits->len; i++) {
        const GwSplit *split = &g_array_index(r->route->splits, GwSplit, i);

        if (split->weight > 0 && may_go_on_at_(r, split->service)) {
            r->service = split->service;
            return true;
        }
    }
    return false;
}

static bool
may_go_on_at_(const GwRequest *r, const char *service)
{
    const GwInstance *instance = GwRequestSoftware_Endpoint(r, service);

    return instance != NULL && !instance->draining;
}
