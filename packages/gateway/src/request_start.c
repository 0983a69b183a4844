#include "request_start.h"

#include "outdated_engine.h"
#include "request_load.h"
#include "request_log.h"
#include "request_speed.h"

static void check_weights_(GwRequest *r);

void
GwRequestStart_Note(GwRequest *r)
{
    if (r->has_started)
        return;
    r->has_started = true;
    GwTimer_Stop(&r->withdrawal_timer);
    if (r->prefill_tokens > 0) {
        GwRequestSpeed_FirstByte(r);
        GwRequestLoad_Add(r, -(int64_t)r->prefill_tokens, 0);
        r->prefill_tokens = 0;
    }
    GwFirstTokenWait_Received(&r->instance->first_token_wait,
                              GwTime_Now() - r->sent_at, GwTime_Now());
    check_weights_(r);
}

// Logs a start on weights that are close to the bound, and counts those after
// it, which must not happen.
static void
check_weights_(GwRequest *r)
{
    GwTime now = GwTime_Now();
    GwOutdatedEngine engine =
        GwOutdatedEngine_Of(r->gateway, r->instance, now);
    GwTime outdated_for = now - engine.since;

    if (engine.since == 0 || outdated_for < engine.bound / 2)
        return;
    if (outdated_for > engine.bound)
        GwCounters_Add(&r->gateway->counters, GW_COUNTER_STARTS_LATE, 1);
    GwRequestLog_StartOutdated(r, outdated_for);
}
