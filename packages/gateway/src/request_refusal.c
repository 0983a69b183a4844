#include "request_refusal.h"

#include "selection.h"
#include "request_end.h"
#include "request_log.h"
#include "request_units.h"

/* Retry-After of a refusal whose cause is short-lived, and the maximum as a
 * share of the caller's remaining time: a caller that would have to wait
 * longer does not retry. */
#define RETRY_AFTER_S 0.2
#define RETRY_AFTER_TIME_SHARE 0.3
/* Without routes, as after a start during a store outage, the end of the
 * outage is unknown, and an immediate retry would be refused as well. */
#define RETRY_AFTER_NO_ROUTES_S 2.0
/* An endpoint that restarts at its version is back after seconds. */
#define RETRY_AFTER_VERSION_GONE_S 1.0

static double retry_after_(const GwRequest *r, GwRefusal refusal);

void
GwRequestRefusal_Answer(GwRequest *r, GwRefusal refusal)
{
    g_autoptr(GString) out = g_string_new(NULL);
    bool close = GwHttpCall_MustClose(r->call);
    GwFailure failure = {.request_id = r->info.id, .close = close};

    // 503 states that no endpoint has run the request.
    if (r->may_have_run && GwRefusal_Status(refusal) == 503)
        refusal = GW_REFUSAL_OUTCOME_UNKNOWN;
    failure.status = GwRefusal_Status(refusal);
    failure.message = GwRefusal_Message(refusal);
    if (failure.status == 503 || failure.status == 429) {
        failure.retry_after_s = retry_after_(r, refusal);
        GwRequestUnits_GiveBack(r);
    }
    GwMessages_EncodeFailure(&failure, out);
    GwHttpCall_Send(r->call, out->str, out->len);
    GwCounters_AddRefusal(&r->gateway->counters, refusal);
    GwRequestLog_End(r, GwRefusal_Names[refusal], failure.status);
    GwRequestEnd_Done(r);
}

void
GwRequestRefusal_AnswerEarly(GwGateway *g, GwHttpCall *call, GwRefusal refusal)
{
    g_autoptr(GString) out = g_string_new(NULL);
    GwRequestInfo info = {0};
    GwFailure failure = {
        .status = GwRefusal_Status(refusal),
        .close = true,
        .message = GwRefusal_Message(refusal),
    };

    if (GwHttpCall_Head(call) != NULL)
        GwMessages_DecodeRequest(GwHttpCall_Head(call), &info);
    failure.request_id = info.id;
    if (failure.status == 503)
        failure.retry_after_s = RETRY_AFTER_S;
    GwMessages_EncodeFailure(&failure, out);
    GwHttpCall_Send(call, out->str, out->len);
    GwCounters_AddRefusal(&g->counters, refusal);
    GwEvent_Begin(g->log, "refused_early", info.id);
    GwEvent_Text(g->log, "reason", GwRefusal_Names[refusal]);
    GwEvent_Number(g->log, "status", failure.status);
    GwEvent_End(g->log);
}

// Value of Retry-After in seconds. Where the time until a retry can succeed is
// not known exactly, it is bounded by a share of the caller's remaining time.
static double
retry_after_(const GwRequest *r, GwRefusal refusal)
{
    double delay_s = RETRY_AFTER_S;
    GwTime time_to_available =
        r->service != NULL ? GwSelection_TimeToAvailable(r) : 0;
    double share;

    // An earlier retry would be refused again, so this time is not bounded.
    if (refusal == GW_REFUSAL_QUARANTINED ||
        refusal == GW_REFUSAL_ACCOUNT_LIMIT ||
        refusal == GW_REFUSAL_LIMIT_UNKNOWN)
        return (double)r->retry_after / GW_SECOND;
    if (time_to_available > 0)
        return (double)time_to_available / GW_SECOND;
    if (refusal == GW_REFUSAL_DEFERRED)
        delay_s = (double)r->retry_after / GW_SECOND;
    else if (refusal == GW_REFUSAL_NO_CONFIG)
        delay_s = RETRY_AFTER_NO_ROUTES_S;
    else if (refusal == GW_REFUSAL_VERSION_GONE)
        delay_s = RETRY_AFTER_VERSION_GONE_S;
    if (r->info.deadline_ms < 0)
        return delay_s;
    share = (double)(r->arrived_at + r->info.deadline_ms * GW_MILLISECOND -
                     GwTime_Now()) /
            (double)GW_SECOND * RETRY_AFTER_TIME_SHARE;
    return CLAMP(share, 0.01, delay_s);
}
