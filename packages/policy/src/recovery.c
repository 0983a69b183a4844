#include "galenagw/policy/recovery.h"

const char *const GwFailure_Names[GW_FAILURES] = {
    "refused", "unknown_id", "restarted", "lost", "broken",
};
const char *const GwAction_Names[GW_ACTIONS] = {
    "refuse", "retry", "continue", "ask_holder", "break_off",
};

static bool may_repeat_(const GwFailureFacts *f);
static bool ran_is_excluded_(const GwFailureFacts *f);
static bool retryable_(const GwFailureFacts *f);
static GwRefusal final_refusal_(const GwFailureFacts *f);
static GwRetry reason_(const GwFailureFacts *f);

GwRecovery
GwRecovery_Decide(const GwFailureFacts *f)
{
    GwRecovery r = {GW_ACTION_REFUSE, final_refusal_(f), GW_RAN_NO,
                    reason_(f)};

    if (f->may_have_run || !ran_is_excluded_(f))
        r.ran = GW_RAN_UNKNOWN;
    if (f->delivered) {
        bool go_on =
            f->idempotent && f->can_continue && f->attempts < GW_ATTEMPTS_MAX;

        r.action = go_on ? GW_ACTION_CONTINUE : GW_ACTION_BREAK_OFF;
        r.reason = GW_RETRY_CONTINUE;
        return r;
    }
    if (f->failure == GW_FAILURE_REFUSED &&
        f->refusal == GW_REFUSAL_CLAIMED_ELSEWHERE) {
        if (f->holder_known)
            r.action = GW_ACTION_ASK_HOLDER;
        return r;
    }
    if (f->attempts < GW_ATTEMPTS_MAX && may_repeat_(f) && retryable_(f))
        r.action = GW_ACTION_RETRY;
    return r;
}

// Whether a new attempt can at worst do work twice that may be done twice.
static bool
may_repeat_(const GwFailureFacts *f)
{
    return f->idempotent || f->keyed || ran_is_excluded_(f);
}

static bool
ran_is_excluded_(const GwFailureFacts *f)
{
    if (f->failure == GW_FAILURE_REFUSED)
        return f->ran == GW_RAN_NO;
    return f->failure == GW_FAILURE_UNKNOWN_ID;
}

static bool
retryable_(const GwFailureFacts *f)
{
    if (f->failure != GW_FAILURE_REFUSED)
        return true;
    switch (f->refusal) {
    case GW_REFUSAL_QUEUE_FULL:
    case GW_REFUSAL_DEADLINE:
    case GW_REFUSAL_TRIAL_ROOM:
        // Trials do not go round looking for room.
        return !f->trial;
    case GW_REFUSAL_NO_ENDPOINT:
    case GW_REFUSAL_LEAVING:
    case GW_REFUSAL_FENCED:
    case GW_REFUSAL_WRONG_VERSION:
    case GW_REFUSAL_ENDPOINT_FAILED:
        return true;
    default:
        return false;
    }
}

static GwRefusal
final_refusal_(const GwFailureFacts *f)
{
    switch (f->failure) {
    case GW_FAILURE_REFUSED:
        return f->refusal;
    case GW_FAILURE_UNKNOWN_ID:
        return GW_REFUSAL_NO_ENDPOINT;
    default:
        return f->idempotent ? GW_REFUSAL_ENDPOINT_FAILED
                             : GW_REFUSAL_OUTCOME_UNKNOWN;
    }
}

static GwRetry
reason_(const GwFailureFacts *f)
{
    switch (f->failure) {
    case GW_FAILURE_REFUSED:
        return GW_RETRY_REFUSED;
    case GW_FAILURE_UNKNOWN_ID:
        return GW_RETRY_UNKNOWN_ID;
    case GW_FAILURE_BROKEN:
        return GW_RETRY_CONTINUE;
    default:
        return GW_RETRY_CONNECT;
    }
}
