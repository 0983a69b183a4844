#include "gateway_private.h"

/* New requests are accepted for this long after the start of a drain. Later
 * ones are refused as not run, and idle connections are closed: the platform
 * could kill the process during a long stream that started later. By then the
 * load balancer sends no new connections; only persistent ones bring requests.
 */
#define DRAIN_ACCEPT_TIME (2700 * GW_MILLISECOND)
/* Requests in progress are answered this long before the grace time ends: the
 * answers must reach their callers before the process stops. */
#define DRAIN_ANSWER_MARGIN (600 * GW_MILLISECOND)

bool
GwGateway_IsClosing(const GwGateway *g)
{
    return g->draining_since != 0 &&
           GwTime_Now() - g->draining_since > DRAIN_ACCEPT_TIME;
}

GwTime
GwGateway_DrainDeadline(const GwGateway *g)
{
    return g->draining_since != 0
               ? g->draining_since + g->grace - DRAIN_ANSWER_MARGIN
               : G_MAXINT64;
}

void
GwGateway_RequestEnded(GwGateway *g)
{
    g->requests_in_progress--;
}

GwAdmissionState *
GwGateway_Admission(GwGateway *g, const char *service)
{
    GwAdmissionState *state = g_hash_table_lookup(g->admissions, service);

    if (state == NULL) {
        state = g_new0(GwAdmissionState, 1);
        g_hash_table_insert(g->admissions, g_strdup(service), state);
    }
    return state;
}
