#include "galenagw/routing/attempt.h"

const char *const GwAttemptOutcome_Names[GW_ATTEMPT_OUTCOMES] = {
    [GW_ATTEMPT_NOT_SENT] = "not_sent",
    [GW_ATTEMPT_NOT_RUN] = "not_run",
    [GW_ATTEMPT_MAY_HAVE_RUN] = "may_have_run",
    [GW_ATTEMPT_HAS_RUN] = "has_run",
};

const char *const GwNextStep_Names[GW_NEXT_STEPS] = {
    [GW_NEXT_RETRY] = "retry",   [GW_NEXT_RESUME] = "resume",
    [GW_NEXT_REFUSE] = "refuse", [GW_NEXT_FAIL] = "fail",
    [GW_NEXT_PASS] = "pass",     [GW_NEXT_BREAK] = "break",
    [GW_NEXT_DROP] = "drop",
};

static bool is_proven_not_run_(const GwAttemptFacts *f);
static bool may_retry_(const GwAttemptFacts *f);

GwNextStep
GwAttempt_Next(const GwAttemptFacts *f)
{
    if (f->client_disconnected)
        return GW_NEXT_DROP;
    if (may_retry_(f) && f->has_budget_left)
        return f->head_sent ? GW_NEXT_RESUME : GW_NEXT_RETRY;
    // A partial answer cannot be withdrawn. The connection is closed so that
    // the client does not take the answer for a complete one.
    if (f->head_sent)
        return GW_NEXT_BREAK;
    if (f->attempt_outcome == GW_ATTEMPT_HAS_RUN)
        return GW_NEXT_PASS;
    if (is_proven_not_run_(f))
        return GW_NEXT_REFUSE;
    return GW_NEXT_FAIL;
}

bool
GwAttempt_AllowsRetry(const GwAttemptFacts *f)
{
    return !f->client_disconnected && may_retry_(f);
}

static bool
is_proven_not_run_(const GwAttemptFacts *f)
{
    return f->attempt_outcome == GW_ATTEMPT_NOT_SENT ||
           f->attempt_outcome == GW_ATTEMPT_NOT_RUN;
}

// A request that must not run twice is sent again only if it is proven not to
// have run: an endpoint whose answer was lost may have processed it.
static bool
may_retry_(const GwAttemptFacts *f)
{
    if (!f->has_time_left || !f->has_alternative)
        return false;
    // An attempt that did not reach the endpoint does not count against the
    // maximum number of attempts.
    if (!f->has_attempts_left && f->attempt_outcome != GW_ATTEMPT_NOT_SENT)
        return false;
    if (f->head_sent && !f->is_events)
        return false;
    return f->may_repeat || (is_proven_not_run_(f) && !f->head_sent);
}
