#include "galenagw/base/reason.h"

#include <assert.h>

const char *const GwRan_Names[GW_RANS] = {"no", "unknown"};

const char *const GwRefusal_Names[GW_REFUSALS] = {
    "none",
    "bad_request",
    "too_large",
    "length_required",
    "unauthorized",
    "unknown_model",
    "unknown_route",
    "account_limit",
    "no_endpoint",
    "queue_full",
    "deadline",
    "trial_room",
    "leaving",
    "fenced",
    "retry_budget",
    "log_unavailable",
    "claimed_elsewhere",
    "outcome_unknown",
    "endpoint_failed",
    "key_mismatch",
    "no_config",
    "wrong_version",
    "head_too_large",
    "timeout",
    "slow_request",
    "buffers_full",
    "deferred",
    "quarantined",
    "limit_unknown",
    "origin_unknown",
    "version_gone",
    "overload",
};

typedef struct {
    int status;          /* HTTP status */
    const char *message; /* for the client */
} RefusalText;

static const RefusalText refusal_texts[GW_REFUSALS] = {
    [GW_REFUSAL_NONE] = {500, "internal error; report it"},
    [GW_REFUSAL_BAD_REQUEST] = {400, "the request is malformed; correct it"},
    [GW_REFUSAL_TOO_LARGE] = {413, "the body is too large; shorten it"},
    [GW_REFUSAL_LENGTH_REQUIRED] = {411, "send a Content-Length header"},
    [GW_REFUSAL_UNAUTHORIZED] = {401, "the key is missing or wrong; send "
                                      "'Authorization: Bearer KEY'"},
    [GW_REFUSAL_UNKNOWN_MODEL] = {404, "no such model; see /v1/models"},
    [GW_REFUSAL_UNKNOWN_ROUTE] = {404, "no such path or service"},
    [GW_REFUSAL_ACCOUNT_LIMIT] = {429, "the account's limit is used up; "
                                       "come back after Retry-After"},
    [GW_REFUSAL_NO_ENDPOINT] = {503, "no endpoint can take the request; "
                                     "come back after Retry-After"},
    [GW_REFUSAL_QUEUE_FULL] = {503, "the queues are full; come back after "
                                    "Retry-After"},
    [GW_REFUSAL_DEADLINE] = {503, "the deadline cannot be met; come back "
                                  "after Retry-After"},
    [GW_REFUSAL_TRIAL_ROOM] = {429, "no room for trials now; come back "
                                    "after Retry-After"},
    [GW_REFUSAL_LEAVING] = {503, "the endpoint is leaving; send it again"},
    [GW_REFUSAL_FENCED] = {503, "the request was withdrawn; send it again"},
    [GW_REFUSAL_RETRY_BUDGET] = {503, "too many retries are in flight; "
                                      "come back after Retry-After"},
    [GW_REFUSAL_LOG_UNAVAILABLE] = {503, "the call cannot be recorded now; "
                                         "repeat it with the same key"},
    [GW_REFUSAL_CLAIMED_ELSEWHERE] = {409, "a call with this key was made "
                                           "elsewhere; its outcome is not "
                                           "known here: check before "
                                           "repeating"},
    [GW_REFUSAL_OUTCOME_UNKNOWN] = {502, "the call may have run; check "
                                         "before repeating it"},
    [GW_REFUSAL_ENDPOINT_FAILED] = {502, "the endpoint broke off; see 'ran' "
                                         "before repeating"},
    [GW_REFUSAL_KEY_MISMATCH] = {422, "the Idempotency-Key was used for "
                                      "another request; take a new one"},
    [GW_REFUSAL_NO_CONFIG] = {503, "no configuration is known yet; come "
                                   "back after Retry-After"},
    [GW_REFUSAL_WRONG_VERSION] = {503, "the endpoint is loading weights; "
                                       "send it again"},
    [GW_REFUSAL_HEAD_TOO_LARGE] = {431, "the head is too large; shorten it"},
    [GW_REFUSAL_TIMEOUT] = {504, "no answer in time; it may have run"},
    [GW_REFUSAL_SLOW_REQUEST] = {408, "the request did not arrive in time; "
                                      "send it again"},
    [GW_REFUSAL_DEFERRED] = {503, "the engines have more to read than can "
                                  "start in time; come back after "
                                  "Retry-After"},
    [GW_REFUSAL_QUARANTINED] = {503, "one endpoint after the other ended "
                                     "under this request; it is not sent "
                                     "before Retry-After: change it, or "
                                     "report it to the operator"},
    [GW_REFUSAL_LIMIT_UNKNOWN] = {503, "whether the account's limit has room "
                                       "cannot be told now; come back after "
                                       "Retry-After"},
    [GW_REFUSAL_ORIGIN_UNKNOWN] = {503, "which software version began the "
                                        "stream cannot be told now; come back "
                                        "after Retry-After"},
    [GW_REFUSAL_VERSION_GONE] = {503, "no endpoint of the software version "
                                      "that began the stream is left; come "
                                      "back after Retry-After, or start over"},
    [GW_REFUSAL_OVERLOAD] = {503, "the engines have more urgent requests than "
                                  "can start in time; come back after "
                                  "Retry-After"},
    [GW_REFUSAL_BUFFERS_FULL] = {503, "too many large bodies are in flight; "
                                      "come back after Retry-After"},
};

const char *const GwRetry_Names[GW_RETRIES] = {
    "none",     "declined",    "refused", "connect", "resume", "unknown_id",
    "continue", "append_lost", "stale",   "broken",  "error",  "silent",
};

int
GwRefusal_Status(GwRefusal refusal)
{
    assert(refusal < GW_REFUSALS);
    return refusal_texts[refusal].status;
}

const char *
GwRefusal_Message(GwRefusal refusal)
{
    assert(refusal < GW_REFUSALS);
    return refusal_texts[refusal].message;
}
