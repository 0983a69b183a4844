#include "request_origin.h"

#include "request_limit.h"
#include "request_log.h"
#include "request_refusal.h"

/* A session to an agent is ready within this time. */
#define AGENTS_CONNECT_TIME (2 * GW_SECOND)
/* Maximum number of streams whose origins are sent when a version appears. */
#define RECENT_STREAMS_MAX 1024

static unsigned count_additional_versions_(const GwGateway *g);
static void tell_recent_(void *user, uint64_t stream, uint64_t software);
static bool is_taken_up_(const GwRequest *r);
static unsigned count_versions_(const GwRequest *r, uint64_t *only);
static void on_decided_(GwOriginAsk *ask, GwOriginAnswer answer,
                        uint64_t software);
static void decide_without_origin_(GwRequest *r, GwOriginSource source);
static void continue_(GwRequest *r, uint64_t software, GwOriginSource source);
static void pick_service_(GwRequest *r);
static bool lists_software_(const GwRequest *r, const char *service);
static void tell_(const GwRequest *r);

void
GwRequestOrigin_Start(GwRequest *r)
{
    GwGateway *g = r->gateway;
    GwTime now = GwTime_Now();
    uint64_t software;

    if (!is_taken_up_(r)) {
        GwRequestLimit_Start(r);
        return;
    }
    if (r->info.resumes != NULL) {
        r->stream = GwStreamOrigins_Hash(r->info.resumes);
        software = GwStreamOrigins_Find(g->stream_origins, r->stream, now);
        if (software != 0) {
            continue_(r, software, GW_ORIGIN_SOURCE_OWN);
            return;
        }
    }
    if (r->info.resumes == NULL) {
        decide_without_origin_(r, GW_ORIGIN_SOURCE_NOT_NAMED);
        return;
    }
    r->origin_ask.on_decided = on_decided_;
    r->origin_ask.user = r;
    r->origin_ask.service = r->service;
    GwPeers_AskStreamOrigin(g->peers, r->stream, &r->origin_ask);
}

bool
GwRequestOrigin_Allows(const GwRequest *r, const GwInstance *instance)
{
    uint64_t only;

    if (!r->has_begun)
        return true;
    if (r->software != 0)
        return instance->software == r->software;
    // It has begun at an endpoint whose version is unknown.
    return count_versions_(r, &only) <= 1;
}

void
GwRequestOrigin_Begun(GwRequest *r)
{
    uint64_t only;

    if (r->is_origin_stored)
        return;
    r->is_origin_stored = true;
    if (!r->has_begun) {
        r->has_begun = true;
        r->software = r->instance->software;
    }
    if (!r->route->resumable || r->software == 0 || r->info.id == NULL)
        return;
    if (r->stream == 0)
        r->stream = GwStreamOrigins_Hash(r->info.id);
    GwStreamOrigins_Store(r->gateway->stream_origins, r->stream, r->software,
                          GwTime_Now());
    if (count_versions_(r, &only) > 1)
        tell_(r);
}

void
GwRequestOrigin_Interrupted(const GwRequest *r)
{
    uint64_t only;

    if (r->head_sent && r->stream != 0 && count_versions_(r, &only) > 1)
        tell_(r);
}

void
GwRequestOrigin_CheckVersions(GwGateway *g)
{
    unsigned n = count_additional_versions_(g);
    GwTime now = GwTime_Now();
    bool is_due = g->tell_recent_at != 0 && now >= g->tell_recent_at;

    if (n > g->additional_versions) {
        GwPeers_WantOriginOwners(g->peers, true);
        // Again once sessions to the agents are ready.
        g->tell_recent_at = now + AGENTS_CONNECT_TIME;
        is_due = true;
    }
    else if (is_due) {
        g->tell_recent_at = 0;
    }
    if (n == 0 && g->additional_versions > 0)
        GwPeers_WantOriginOwners(g->peers, false);
    g->additional_versions = n;
    if (is_due)
        GwStreamOrigins_EachRecent(g->stream_origins, RECENT_STREAMS_MAX, now,
                                   tell_recent_, g);
}

// Number of software versions beyond the first one of each service.
static unsigned
count_additional_versions_(const GwGateway *g)
{
    const GwRoutes *routes = GwView_Routes(g->view);
    GHashTableIter iter;
    gpointer name;
    uint64_t only;
    unsigned n = 0;

    if (routes == NULL)
        return 0;
    g_hash_table_iter_init(&iter, routes->services);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        unsigned versions = GwInstances_SoftwareVersions(
            GwView_Instances(g->view), name, GwTime_Now(), &only);

        n += versions > 1 ? versions - 1 : 0;
    }
    return n;
}

static void
tell_recent_(void *user, uint64_t stream, uint64_t software)
{
    GwGateway *g = user;

    GwPeers_TellStreamOrigin(g->peers, stream, software);
}

// Whether the caller already has events of the stream.
static bool
is_taken_up_(const GwRequest *r)
{
    return r->route->resumable &&
           (r->info.resumes != NULL || r->info.last_event_id != NULL);
}

// The number of software versions by which the stream may have begun.
static unsigned
count_versions_(const GwRequest *r, uint64_t *only)
{
    return GwInstances_SoftwareVersions(GwView_Instances(r->gateway->view),
                                        r->service, GwTime_Now(), only);
}

static void
on_decided_(GwOriginAsk *ask, GwOriginAnswer answer, uint64_t software)
{
    GwRequest *r = ask->user;

    if (answer == GW_ORIGIN_KNOWN)
        continue_(r, software, GW_ORIGIN_SOURCE_AGENT);
    else
        decide_without_origin_(r, answer == GW_ORIGIN_UNKNOWN
                                      ? GW_ORIGIN_SOURCE_UNKNOWN
                                      : GW_ORIGIN_SOURCE_NO_ANSWER);
}

// Nobody knows the version. If the service has several, a guess could join
// events of two of them. A gateway that started after the stream began may not
// have seen a version that departed since, but an agent may.
static void
decide_without_origin_(GwRequest *r, GwOriginSource source)
{
    uint64_t only;

    if (count_versions_(r, &only) <= 1 && r->origin_ask.versions <= 1) {
        continue_(r, only, GW_ORIGIN_SOURCE_ONLY_VERSION);
        return;
    }
    GwRequestLog_StreamOrigin(r, source);
    GwRequestRefusal_Answer(r, GW_REFUSAL_ORIGIN_UNKNOWN);
}

static void
continue_(GwRequest *r, uint64_t software, GwOriginSource source)
{
    r->software = software;
    r->has_begun = true;
    pick_service_(r);
    GwRequestLog_StreamOrigin(r, source);
    if (software != 0 && !lists_software_(r, r->service)) {
        GwRequestRefusal_Answer(r, GW_REFUSAL_VERSION_GONE);
        return;
    }
    GwRequestLimit_Start(r);
}

// A route may send requests to several services: the stream goes on at the one
// that began it.
static void
pick_service_(GwRequest *r)
{
    if (r->software == 0 || lists_software_(r, r->service))
        return;
    for (guint i = 0; i < r->route->splits->len; i++) {
        const GwSplit *split = &g_array_index(r->route->splits, GwSplit, i);

        if (split->weight > 0 && lists_software_(r, split->service)) {
            r->service = split->service;
            return;
        }
    }
}

static bool
lists_software_(const GwRequest *r, const char *service)
{
    const GPtrArray *endpoints =
        GwInstances_Of(GwView_Instances(r->gateway->view), service);

    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        const GwInstance *instance = g_ptr_array_index(endpoints, i);

        if (instance->software == r->software && !instance->draining)
            return true;
    }
    return false;
}

static void
tell_(const GwRequest *r)
{
    GwPeers_TellStreamOrigin(r->gateway->peers, r->stream, r->software);
}
