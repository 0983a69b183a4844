#include "request_software.h"

/* A session to an agent is ready within this time. */
#define AGENTS_CONNECT_TIME (2 * GW_SECOND)
/* Maximum number of streams whose origins are sent when a version appears. */
#define RECENT_STREAMS_MAX 1024

static unsigned count_additional_versions_(const GwGateway *g);
static void tell_recent_(void *user, uint64_t stream, uint64_t software);
static void tell_(const GwRequest *r);

bool
GwRequestSoftware_Allows(const GwRequest *r, const GwInstance *instance)
{
    uint64_t only;

    if (!r->has_begun)
        return true;
    if (r->software != 0)
        return instance->software == r->software;
    // It has begun at an endpoint whose version is unknown.
    return GwRequestSoftware_CountVersions(r, &only) <= 1;
}

const GwInstance *
GwRequestSoftware_Endpoint(const GwRequest *r, const char *service)
{
    const GPtrArray *endpoints =
        GwInstances_Of(GwView_Instances(r->gateway->view), service);
    const GwInstance *found = NULL;

    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        const GwInstance *instance = g_ptr_array_index(endpoints, i);

        if (instance->software != r->software)
            continue;
        found = instance;
        if (!instance->draining)
            break;
    }
    return found;
}

unsigned
GwRequestSoftware_CountVersions(const GwRequest *r, uint64_t *only)
{
    return GwInstances_SoftwareVersions(GwView_Instances(r->gateway->view),
                                        r->service, GwTime_Now(), only);
}

void
GwRequestSoftware_Begun(GwRequest *r)
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
    if (GwRequestSoftware_CountVersions(r, &only) > 1)
        tell_(r);
}

void
GwRequestSoftware_Interrupted(const GwRequest *r)
{
    uint64_t only;

    if (r->head_sent && r->stream != 0 &&
        GwRequestSoftware_CountVersions(r, &only) > 1)
        tell_(r);
}

void
GwRequestSoftware_CheckVersions(GwGateway *g)
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

static void
tell_(const GwRequest *r)
{
    GwPeers_TellStreamOrigin(r->gateway->peers, r->stream, r->software);
}
