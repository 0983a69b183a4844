#include "request_quarantine.h"

#include "request_log.h"
#include "terminations.h"

static bool apply_verdict_(GwRequest *r, const GwQuarantineVerdict *verdict);
static const GwRequestIdentity *identity_(GwRequest *r);

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

bool
GwRequestQuarantine_RefusesArrival(GwRequest *r)
{
    GwQuarantine *q = r->gateway->quarantine;
    GwQuarantineVerdict verdict;

    if (GwQuarantine_IsEmpty(q))
        return false;
    verdict = GwQuarantine_Judge(q, identity_(r), GwTime_Now());
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
    verdict = r->attempts == 0
                  ? GwQuarantine_Admit(q, identity_(r), GwTime_Now())
                  : GwQuarantine_Judge(q, identity_(r), GwTime_Now());
    return apply_verdict_(r, &verdict);
}

void
GwRequestQuarantine_OnBroken(GwRequest *r)
{
    GwTerminations_AddBrokenRequest(r->gateway, r->instance, identity_(r));
}

void
GwRequestQuarantine_OnCompleted(GwRequest *r)
{
    GwTerminations_OnCompletion(r->gateway, identity_(r),
                                r->reply.status >= 200 &&
                                    r->reply.status < 300);
}

bool
GwRequestQuarantine_MayRetry(GwRequest *r, GwAttemptOutcome attempt_outcome)
{
    GwQuarantine *q = r->gateway->quarantine;

    return GwQuarantine_IsEmpty(q) ||
           GwQuarantine_MayRetry(q, identity_(r),
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

// Computed on first use. Parts have the scope of KV cache: their ids are
// trusted among the accounts that share it.
static const GwRequestIdentity *
identity_(GwRequest *r)
{
    const char *isolated_account =
        r->account != NULL && r->account->isolated ? r->account->name : NULL;
    GwRequestIdentity *identity = r->identity;

    if (identity != NULL)
        return identity;
    identity = r->identity = g_new0(GwRequestIdentity, 1);
    identity->request = GwRequestQuarantine_Digest(r);
    for (unsigned i = 0; i + 1 < r->info.n_parts && i < GW_IDENTITY_PARTS_MAX;
         i++)
        identity->parts[identity->n_parts++] = GwDigest_OfPart(
            r->info.model, isolated_account, r->info.parts[i].id);
    return identity;
}
