#include "request_timers.h"

#include "selection.h"
#include "outdated_engine.h"

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
// started. The timer starts as for an engine without reports, as the reports
// may stop until then; on_withdrawal_timer_ decides.
void
GwRequestTimers_StartWithdrawal(GwRequest *r)
{
    GwTime now = GwTime_Now();
    GwOutdatedEngine engine =
        GwOutdatedEngine_Of(r->gateway, r->instance, now);
    GwTime at;

    engine.is_reported = false;
    at = GwOutdated_WithdrawAt(&engine);
    if (at != 0 && !r->has_started && r->route->type == GW_ROUTE_STREAMING)
        GwTimer_Start(&r->withdrawal_timer, MAX(at - now, 0));
}

GwTime
GwRequestTimers_WithdrawAt(const GwRequest *r)
{
    GwOutdatedEngine engine =
        GwOutdatedEngine_Of(r->gateway, r->instance, GwTime_Now());

    return GwOutdated_WithdrawAt(&engine);
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
