#include "request_timers.h"

#include "selection.h"
#include "galenagw/routing/outdated.h"

/* A request waits for the answer of an endpoint for this share of its route's
 * target latency. Most answers take a quarter of the target latency, so the
 * remaining time suffices for a second endpoint. */
#define SILENCE_TIMEOUT_SHARE 0.6

static void start_silence_timer_(GwRequest *r);

void
GwRequestTimers_Start(GwRequest *r)
{
    start_silence_timer_(r);
    GwRequestTimers_StartWithdrawal(r);
}

// Only streams are withdrawn: other answers do not show when the request has
// started. When the connection is closed, the engine removes the request
// from its queue.
void
GwRequestTimers_StartWithdrawal(GwRequest *r)
{
    GwTime at = GwRequestTimers_WithdrawAt(r);

    if (at != 0 && !r->has_started && r->route->type == GW_ROUTE_STREAMING)
        GwTimer_Start(&r->withdrawal_timer, MAX(at - GwTime_Now(), 0));
}

GwTime
GwRequestTimers_WithdrawAt(const GwRequest *r)
{
    const GwModelVersions *versions =
        GwView_ModelVersions(r->gateway->view, r->instance->model);

    return GwOutdated_WithdrawAt(
        GwModelVersions_OutdatedSince(versions, r->instance->weights),
        r->gateway->weights_bound);
}

// Only an idempotent request is abandoned at an endpoint that does not answer,
// at a time when another endpoint can still answer within the target latency.
static void
start_silence_timer_(GwRequest *r)
{
    if (r->instance->model != NULL || r->route->type != GW_ROUTE_IDEMPOTENT ||
        r->route->target_latency == 0 || r->sends >= r->route->max_attempts ||
        !GwSelection_HasAlternative(r))
        return;
    GwTimer_Start(
        &r->silence_timer,
        (GwTime)(SILENCE_TIMEOUT_SHARE * (double)r->route->target_latency));
}
