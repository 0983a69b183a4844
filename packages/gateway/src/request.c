#include "request.h"

#include "request_attempt.h"
#include "request_end.h"
#include "request_abandon.h"
#include "request_origin.h"
#include "request_log.h"
#include "request_quarantine.h"
#include "request_refusal.h"
#include "request_software.h"
#include "request_units.h"
#include "retries.h"

static GwRequest *new_request_(GwGateway *g, GwHttpCall *call);
static GwRefusal admit_(GwRequest *r);
static void on_deadline_(void *user);
static GwRefusal deadline_refusal_(const GwRequest *r);
static bool is_ended_by_drain_(const GwRequest *r);

void
GwRequest_Start(GwGateway *g, GwHttpCall *call)
{
    GwRequest *r = new_request_(g, call);
    GwRefusal refusal = admit_(r);
    GwTime time_limit;

    if (refusal != GW_REFUSAL_NONE) {
        GwRequestRefusal_Answer(r, refusal);
        return;
    }
    time_limit = r->route->timeout > 0
                     ? r->route->timeout
                     : GW_LIBRARY_TIMEOUT_SECONDS * GW_SECOND;
    if (r->info.deadline_ms >= 0)
        time_limit = MIN(time_limit, r->info.deadline_ms * GW_MILLISECOND);
    r->deadline = MIN(r->arrived_at + time_limit, GwGateway_DrainDeadline(g));
    time_limit = r->deadline - GwTime_Now();
    // No endpoint can answer in so little time. A refusal before the first
    // attempt can state that the request has not run.
    if (time_limit < GW_ATTEMPT_TIME_MIN) {
        GwRequestRefusal_Answer(r, deadline_refusal_(r));
        return;
    }
    if (GwRequestQuarantine_RefusesArrival(r)) {
        GwRequestRefusal_Answer(r, GW_REFUSAL_QUARANTINED);
        return;
    }
    GwTimer_Start(&r->deadline_timer, r->deadline - GwTime_Now());
    GwRetries_AddRequest(r->gateway, r->service);
    GwRequestOrigin_Start(r);
}

void
GwRequest_CallerGone(GwRequest *r)
{
    GwCounters_Add(&r->gateway->counters, GW_COUNTER_CALLERS_GONE, 1);
    GwRequestLog_End(r, "caller_gone", 0);
    GwRequestSoftware_Interrupted(r);
    if (r->attempts == 0)
        GwRequestUnits_GiveBack(r);
    GwRequestEnd_Free(r);
}

void
GwRequest_EndpointLost(GwGateway *g, const GwInstance *instance,
                       bool is_reported_down)
{
    GwRequestAbandon_EndpointLost(g, instance, is_reported_down);
}

void
GwRequest_WeightsNamed(GwGateway *g)
{
    GwRequestAbandon_WeightsNamed(g);
}

void
GwRequest_AbandonEarlierIncarnations(GwGateway *g)
{
    GwRequestAbandon_EarlierIncarnations(g);
}

void
GwRequest_ApplyDrainDeadline(GwGateway *g)
{
    GwTime deadline = GwGateway_DrainDeadline(g);
    GwRequest *r;

    TAILQ_FOREACH(r, &g->requests, link)
    {
        if (r->deadline <= deadline)
            continue;
        r->deadline = deadline;
        GwTimer_Start(&r->deadline_timer, deadline - GwTime_Now());
    }
}

void
GwRequest_CallerDrained(GwRequest *r)
{
    if (r->upstream != NULL)
        GwUpstream_Pause(r->upstream, false);
}

void
GwRequest_RefuseEarly(GwGateway *g, GwHttpCall *call, GwRefusal refusal)
{
    GwRequestRefusal_AnswerEarly(g, call, refusal);
}

void
GwRequest_EndAll(GwGateway *g)
{
    while (!TAILQ_EMPTY(&g->requests))
        GwRequestEnd_Free(TAILQ_FIRST(&g->requests));
}

static GwRequest *
new_request_(GwGateway *g, GwHttpCall *call)
{
    GwRequest *r = g_new0(GwRequest, 1);

    r->gateway = g;
    r->call = call;
    r->head = GwHttpCall_Head(call);
    r->body = GwHttpCall_Body(call, &r->body_len);
    r->arrived_at = GwTime_Now();
    r->routes = GwRoutes_Ref(GwView_Routes(g->view));
    GwMessages_DecodeRequest(r->head, &r->info);
    GwEventSplitter_Init(&r->event_splitter);
    GwTimer_Init(&r->deadline_timer, g->loop, on_deadline_, r);
    GwRequestAbandon_Init(r);
    GwHttpCall_SetUser(call, r);
    g->requests_in_progress++;
    TAILQ_INSERT_TAIL(&g->requests, r, link);
    GwCounters_Add(&g->counters, GW_COUNTER_REQUESTS, 1);
    return r;
}

// Sets route, account and service of the request, or returns why it is
// refused.
static GwRefusal
admit_(GwRequest *r)
{
    GwGateway *g = r->gateway;

    // Without a configuration, a route must not be reported as unknown.
    if (r->routes == NULL)
        return GW_REFUSAL_NO_CONFIG;
    if (GwGateway_IsClosing(g))
        return GW_REFUSAL_LEAVING;
    if (r->info.host == NULL)
        return GW_REFUSAL_BAD_REQUEST;
    r->route = GwRoutes_Match(r->routes, r->info.host, r->head->target);
    if (r->route == NULL)
        return GW_REFUSAL_UNKNOWN_ROUTE;
    r->account = GwRoutes_Account(r->routes, r->info.key);
    if (r->account == NULL && r->routes->has_accounts && !r->route->is_public)
        return GW_REFUSAL_UNAUTHORIZED;
    r->service = GwRoute_PickService(r->route, g_rand_double(g->rand));
    return r->service != NULL ? GW_REFUSAL_NONE : GW_REFUSAL_NO_ENDPOINT;
}

static void
on_deadline_(void *user)
{
    GwRequest *r = user;
    bool is_drained = is_ended_by_drain_(r);

    if (r->instance != NULL && !r->head_sent && !is_drained)
        GwHealth_Note(&r->instance->health, GW_HEALTH_TIMEOUT, GwTime_Now());
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    if (r->head_sent) {
        GwRequestLog_End(
            r, is_drained ? "broken_at_drain_end" : "broken_at_deadline", 0);
        GwRequestEnd_ReleaseInstance(r);
        GwRequestEnd_Abort(r);
        return;
    }
    GwRequestEnd_ReleaseInstance(r);
    GwRequestRefusal_Answer(r, deadline_refusal_(r));
}

// Without an attempt, as while waiting for units of the account's limit, the
// request has not run.
static GwRefusal
deadline_refusal_(const GwRequest *r)
{
    if (is_ended_by_drain_(r))
        return r->attempts == 0 ? GW_REFUSAL_LEAVING
                                : GW_REFUSAL_OUTCOME_UNKNOWN;
    return r->attempts == 0 ? GW_REFUSAL_DEADLINE : GW_REFUSAL_TIMEOUT;
}

static bool
is_ended_by_drain_(const GwRequest *r)
{
    return r->deadline == GwGateway_DrainDeadline(r->gateway);
}
