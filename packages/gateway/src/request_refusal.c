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
/* Jitter of a Retry-After that is computed from a queue, as a factor: clients
 * that were refused together would otherwise return together. */
#define JITTER_MIN 0.75
#define JITTER_MAX 1.25
/* Without routes, as after a start during a store outage, the end of the
 * outage is unknown, and an immediate retry would be refused as well. */
#define RETRY_AFTER_NO_ROUTES_S 2.0
/* An endpoint that restarts at its version is back after seconds. */
#define RETRY_AFTER_VERSION_GONE_S 1.0

#define RETRY_AFTER_MIN_S ((double)GW_RETRY_AFTER_MIN / GW_SECOND)
#define RETRY_AFTER_MAX_S ((double)GW_RETRY_AFTER_MAX / GW_SECOND)

static double retry_after_(const GwRequest *r, GwRefusal refusal);
static bool is_by_wait_(const GwRequest *r, GwRefusal refusal);
static double jitter_(const GwRequest *r, double delay_s);

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
    if (is_by_wait_(r, refusal))
        delay_s = (double)r->retry_after / GW_SECOND;
    else if (refusal == GW_REFUSAL_NO_CONFIG)
        delay_s = RETRY_AFTER_NO_ROUTES_S;
    else if (refusal == GW_REFUSAL_VERSION_GONE)
        delay_s = RETRY_AFTER_VERSION_GONE_S;
    if (r->info.deadline_ms < 0)
        return is_by_wait_(r, refusal) ? jitter_(r, delay_s) : delay_s;
    share = (double)(r->arrived_at + r->info.deadline_ms * GW_MILLISECOND -
                     GwTime_Now()) /
            (double)GW_SECOND * RETRY_AFTER_TIME_SHARE;
    delay_s = CLAMP(share, 0.01, delay_s);
    return is_by_wait_(r, refusal) ? jitter_(r, delay_s) : delay_s;
}

// Whether the refusal is due to the expected wait at the best engine, not to a
// deadline that was too short on arrival.
static bool
is_by_wait_(const GwRequest *r, GwRefusal refusal)
{
    return r->retry_after > 0 &&
           (refusal == GW_REFUSAL_DEFERRED || refusal == GW_REFUSAL_OVERLOAD ||
            refusal == GW_REFUSAL_DEADLINE);
}

// @p delay_s, longer or shorter by up to a quarter, within the bounds of
// Retry-After.
static double
jitter_(const GwRequest *r, double delay_s)
{
    double shortest =
        MAX(JITTER_MIN * delay_s, MIN(RETRY_AFTER_MIN_S, delay_s));
    double longest =
        MIN(JITTER_MAX * delay_s, MAX(RETRY_AFTER_MAX_S, delay_s));

    return shortest + g_rand_double(r->gateway->rand) * (longest - shortest);
}
