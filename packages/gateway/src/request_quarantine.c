#include "request_quarantine.h"

#include "terminations.h"

/* After this many terminations of endpoints where the same content was in
 * flight, a request is not retried when its connection is closed before the
 * answer is complete: the next termination quarantines it, and an immediate
 * retry could terminate one more endpoint before that. */
#define TERMINATIONS_WITHOUT_RETRY (GW_QUARANTINE_TERMINATIONS - 1)

GwDigest
GwRequestQuarantine_Digest(const GwRequest *r)
{
    GwDigestSource source = {
        .account = r->account != NULL ? r->account->name : NULL,
        .method = r->head->method,
        .target = r->head->target,
        .body = r->body,
        .body_len = r->body_len,
    };

    return GwDigest_Of(&source);
}

GwTime
GwRequestQuarantine_Admit(const GwRequest *r)
{
    GwQuarantine *q = r->gateway->quarantine;
    GwDigest digest;

    if (GwQuarantine_IsEmpty(q))
        return 0;
    digest = GwRequestQuarantine_Digest(r);
    return GwQuarantine_Admit(q, &digest, GwTime_Now());
}

void
GwRequestQuarantine_OnBroken(GwRequest *r)
{
    GwDigest digest = GwRequestQuarantine_Digest(r);

    GwTerminations_AddBrokenRequest(r->gateway, r->instance, &digest);
}

void
GwRequestQuarantine_OnCompleted(GwRequest *r)
{
    GwDigest digest = GwRequestQuarantine_Digest(r);

    GwTerminations_OnCompletion(r->gateway, &digest);
}

bool
GwRequestQuarantine_MayRetry(const GwRequest *r,
                             GwAttemptOutcome attempt_outcome)
{
    const GwQuarantine *q = r->gateway->quarantine;
    GwDigest digest;

    if (GwQuarantine_IsEmpty(q))
        return true;
    digest = GwRequestQuarantine_Digest(r);
    if (GwQuarantine_TimeLeft(q, &digest, GwTime_Now()) > 0)
        return false;
    return attempt_outcome != GW_ATTEMPT_MAY_HAVE_RUN ||
           GwQuarantine_Terminations(q, &digest) < TERMINATIONS_WITHOUT_RETRY;
}
