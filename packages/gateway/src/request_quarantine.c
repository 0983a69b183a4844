#include "request_quarantine.h"

#include "request_content.h"
#include "request_log.h"
#include "terminations.h"

/* GwQuarantine_Check or GwQuarantine_Admit. */
typedef GwQuarantineVerdict (*QuarantineCheck)(
    GwQuarantine *quarantine, const GwRequestIdentity *request, GwTime now);

static bool is_refused_(GwRequest *r, QuarantineCheck check, GwTime now);

bool
GwRequestQuarantine_RefusesArrival(GwRequest *r)
{
    return is_refused_(r, GwQuarantine_Check, GwTime_Now());
}

// Only the first attempt that reaches an endpoint may be a probe: its outcome
// decides whether there is another one.
bool
GwRequestQuarantine_RefusesAttempt(GwRequest *r)
{
    GwTime now = GwTime_Now();

    if (r->sends > 0)
        return is_refused_(r, GwQuarantine_Check, now);
    r->admitted_at = now;
    return is_refused_(r, GwQuarantine_Admit, now);
}

void
GwRequestQuarantine_OnNotSent(GwRequest *r)
{
    GwQuarantine *q = r->gateway->quarantine;

    if (!GwQuarantine_IsEmpty(q))
        GwQuarantine_Withdraw(q, GwRequestContent_Identity(r), r->admitted_at);
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
                                r->reply.status);
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
is_refused_(GwRequest *r, QuarantineCheck check, GwTime now)
{
    GwQuarantine *q = r->gateway->quarantine;
    GwQuarantineVerdict verdict;

    if (GwQuarantine_IsEmpty(q))
        return false;
    verdict = check(q, GwRequestContent_Identity(r), now);
    if (verdict.time_left == 0)
        return false;
    r->retry_after = verdict.time_left;
    GwRequestLog_Quarantined(r, &verdict);
    return true;
}
