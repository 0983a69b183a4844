#include "galenagw/policy/recovery.h"

const char *const GwFailure_Names[GW_FAILURES] = {
    "refused", "unknown_id", "restarted", "lost", "broken",
};
const char *const GwAction_Names[GW_ACTIONS] = {
    "refuse", "retry", "continue", "ask_holder", "break_off",
};

static bool may_retry_(const GwFailureFacts *f);
static bool is_proven_not_run_(const GwFailureFacts *f);
static bool is_retryable_(const GwFailureFacts *f);
static GwRefusal final_refusal_(const GwFailureFacts *f);
static GwRetry retry_reason_(const GwFailureFacts *f);

GwRecovery
GwRecovery_Decide(const GwFailureFacts *f)
{
    GwRecovery r = {GW_ACTION_REFUSE, final_refusal_(f), GW_RAN_NO,
                    retry_reason_(f)};

    if (f->may_have_run || !is_proven_not_run_(f))
        r.ran = GW_RAN_UNKNOWN;
    if (f->delivered) {
        bool can_go_on =
            f->idempotent && f->can_continue && f->attempts < GW_ATTEMPTS_MAX;

        r.action = can_go_on ? GW_ACTION_CONTINUE : GW_ACTION_ABORT_STREAM;
        r.reason = GW_RETRY_CONTINUE;
        return r;
    }
    if (f->failure == GW_FAILURE_REFUSED &&
        f->refusal == GW_REFUSAL_CLAIMED_ELSEWHERE) {
        if (f->holder_known)
            r.action = GW_ACTION_ASK_HOLDER;
        return r;
    }
    if (f->attempts < GW_ATTEMPTS_MAX && may_retry_(f) && is_retryable_(f))
        r.action = GW_ACTION_RETRY;
    return r;
}

// Whether a new attempt does no harm: either the request may run twice, or its
// claim prevents a second run, or it is proven that it has not run.
static bool
may_retry_(const GwFailureFacts *f)
{
    return f->idempotent || f->keyed || is_proven_not_run_(f);
}

// Whether it is proven that this attempt did not run: the agent refused it and
// reports so, or never received it and has fenced its id.
static bool
is_proven_not_run_(const GwFailureFacts *f)
{
    if (f->failure == GW_FAILURE_REFUSED)
        return f->ran == GW_RAN_NO;
    return f->failure == GW_FAILURE_UNKNOWN_ID;
}

// Whether a new attempt may succeed where this one failed.
static bool
is_retryable_(const GwFailureFacts *f)
{
    if (f->failure != GW_FAILURE_REFUSED)
        return true;
    switch (f->refusal) {
    case GW_REFUSAL_QUEUE_FULL:
    case GW_REFUSAL_DEADLINE:
    case GW_REFUSAL_TRIAL_ROOM:
        // Trials do not search for another endpoint with capacity.
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

// The refusal to report if no further attempt follows.
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
retry_reason_(const GwFailureFacts *f)
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
