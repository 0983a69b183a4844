#include "request_abandon.h"

#include "request_attempt.h"
#include "request_end.h"
#include "request_log.h"
#include "request_timers.h"
#include "retries.h"

/* A stream without bytes for longer than this is not active any more. The
 * longest pauses of an active stream, while the engine prefills another
 * prompt, take a few hundred milliseconds. */
#define STREAM_PAUSE_MAX (500 * GW_MILLISECOND)

static void abandon_attempt_(GwRequest *r, const char *why);
static bool may_still_finish_(const GwRequest *r);
static void on_silence_timer_(void *user);
static void on_unusable_timer_(void *user);
static void on_withdrawal_timer_(void *user);

void
GwRequestAbandon_Init(GwRequest *r)
{
    GwTimer_Init(&r->silence_timer, r->gateway->loop, on_silence_timer_, r);
    GwTimer_Init(&r->unusable_timer, r->gateway->loop, on_unusable_timer_, r);
    GwTimer_Init(&r->withdrawal_timer, r->gateway->loop, on_withdrawal_timer_,
                 r);
}

void
GwRequestAbandon_EndpointLost(GwGateway *g, const GwInstance *instance,
                              bool is_reported_down)
{
    GwRequest *r;
    GwRequest *next;

    for (r = TAILQ_FIRST(&g->requests); r != NULL; r = next) {
        next = TAILQ_NEXT(r, link);
        if (r->instance != instance ||
            (!is_reported_down && !GwRoute_MayRetry(r->route)) ||
            (is_reported_down && may_still_finish_(r)))
            continue;
        abandon_attempt_(r, is_reported_down ? "endpoint_down"
                                             : "endpoint_silent");
    }
}

void
GwRequestAbandon_EarlierIncarnations(GwGateway *g)
{
    GwRequest *r;
    GwRequest *next;

    for (r = TAILQ_FIRST(&g->requests); r != NULL; r = next) {
        next = TAILQ_NEXT(r, link);
        if (r->instance == NULL || !r->instance->superseded ||
            may_still_finish_(r))
            continue;
        abandon_attempt_(r, "endpoint_restarted");
    }
}

void
GwRequestAbandon_WeightsNamed(GwGateway *g)
{
    GwRequest *r;

    TAILQ_FOREACH(r, &g->requests, link)
    {
        if (r->instance != NULL)
            GwRequestTimers_StartWithdrawal(r);
    }
}

// Cancels the current attempt. The endpoint may still be running the request.
static void
abandon_attempt_(GwRequest *r, const char *why)
{
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    GwRequestAttempt_Failed(r, GW_ATTEMPT_MAY_HAVE_RUN, why);
}

// Whether the endpoint may still complete the current attempt, although it
// accepts no new connections. A leaving endpoint closes its port first and
// then finishes its requests. Any other endpoint is treated as running as long
// as the stream is active; if it terminates, the connection is reset.
static bool
may_still_finish_(const GwRequest *r)
{
    return r->instance->draining || r->instance->removed_at != 0 ||
           (r->last_received_at != 0 &&
            GwTime_Now() - r->last_received_at < STREAM_PAUSE_MAX);
}

static void
on_silence_timer_(void *user)
{
    GwRequest *r = user;

    // Without retry budget, the request continues to wait for this endpoint.
    if (r->has_started ||
        GwRetries_Use(r->gateway, r->service) == GW_RETRY_SOURCE_NONE)
        return;
    GwCounters_AddRetry(&r->gateway->counters, GW_RETRY_SILENT);
    GwHealth_Note(&r->instance->health, GW_HEALTH_TIMEOUT, GwTime_Now());
    GwRequestLog_Abandoned(r);
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    GwRequestEnd_ReleaseInstance(r);
    r->may_have_run = true;
    GwRequestAttempt_Make(r);
}

static void
on_unusable_timer_(void *user)
{
    GwRequestAttempt_EndUnusable(user);
}

static void
on_withdrawal_timer_(void *user)
{
    GwRequest *r = user;
    GwTime at = GwRequestTimers_WithdrawAt(r);

    if (at == 0 || r->has_started)
        return;
    // The engine's agent reports, or the engine has loaded a newer version
    // since, which was outdated by an even newer one.
    if (at > GwTime_Now()) {
        GwTimer_Start(&r->withdrawal_timer, at - GwTime_Now());
        return;
    }
    abandon_attempt_(r, "outdated_weights");
}
