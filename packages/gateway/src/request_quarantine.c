#include "request_quarantine.h"

#include "request_content.h"
#include "request_log.h"
#include "terminations.h"

static bool apply_verdict_(GwRequest *r, const GwQuarantineVerdict *verdict);

bool
GwRequestQuarantine_RefusesArrival(GwRequest *r)
{
    GwQuarantine *q = r->gateway->quarantine;
    GwQuarantineVerdict verdict;

    if (GwQuarantine_IsEmpty(q))
        return false;
    verdict =
        GwQuarantine_Check(q, GwRequestContent_Identity(r), GwTime_Now());
    return apply_verdict_(r, &verdict);
}

bool
GwRequestQuarantine_RefusesAttempt(GwRequest *r)
{
    GwQuarantine *q = r->gateway->quarantine;
    GwQuarantineVerdict verdict;

    if (GwQuarantine_IsEmpty(q))
        return false;
    // Only the first attempt may begin a probe: the outcome of that decides
    // whether there is another one.
    verdict =
        r->attempts == 0
            ? GwQuarantine_Admit(q, GwRequestContent_Identity(r), GwTime_Now())
            : GwQuarantine_Check(q, GwRequestContent_Identity(r),
                                 GwTime_Now());
    return apply_verdict_(r, &verdict);
}

void
GwRequestQuarantine_OnBroken(GwRequest *r)
{
    GwTerminations_AddBrokenRequest(r->gateway, r->instance,
                                    GwRequestContent_Identity(r));
}

void
GwRequestQuarantine_OnCompleted(GwRequest *r)
{
    GwTerminations_OnCompletion(r->gateway, GwRequestContent_Identity(r),
                                r->reply.status >= 200 &&
                                    r->reply.status < 300);
}

bool
GwRequestQuarantine_MayRetry(GwRequest *r, GwAttemptOutcome attempt_outcome)
{
    GwQuarantine *q = r->gateway->quarantine;

    return GwQuarantine_IsEmpty(q) ||
           GwQuarantine_MayRetry(q, GwRequestContent_Identity(r),
                                 attempt_outcome == GW_ATTEMPT_MAY_HAVE_RUN,
                                 GwTime_Now());
}

static bool
apply_verdict_(GwRequest *r, const GwQuarantineVerdict *verdict)
{
    if (verdict->time_left == 0)
        return false;
    r->retry_after = verdict->time_left;
    GwRequestLog_Quarantined(r, verdict);
    return true;
}
