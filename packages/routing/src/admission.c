#include "galenagw/routing/admission.h"

#include <glib.h>
#include <string.h>

/* A measured speed may be too low by this factor, for instance while a short
 * slowdown of the engine ends. Speeds within it count as equal in placement,
 * too. */
#define OPTIMISTIC_SPEED_FACTOR 1.25
/* Optimistic speed of an engine whose speed is not measured yet: that of the
 * fastest engines that are specified. */
#define OPTIMISTIC_TOKENS_PER_MS 112.0
/* Agents send the state of an engine every 200 ms. If it is older, it lacks
 * requests that others have sent. The remainder is for transit. */
#define REPORT_INTERVAL (250 * GW_MILLISECOND)
/* Share of the target that an urgent request may spend waiting while the
 * overload is sustained. A longer queue serves no more requests, as the
 * engines are busy all the time. The remainder is for its own prompt, for
 * errors of the estimate, and for clients that return after a refusal. */
#define LIMIT_SHARE 0.5
/* Up to this share of the limit all urgent requests are admitted, and the
 * overload may end. Under overload the queue stays just below the limit. An
 * end at the limit itself would lift it with the first request that is
 * admitted, and the queue would exceed the target again for one target
 * latency. */
#define FREE_SHARE 0.5
/* Overload of requests that can wait: their expected wait exceeds half of
 * their target. Deferral keeps it near this value. */
#define CAN_WAIT_SHARE 0.5
/* Share of short waits that does not interrupt an overload. An engine that
 * returns empty after a restart or new weights gets a few requests at once
 * from all gateways, while all other engines are full. */
#define SHORT_WAITS_SHARE 0.1
/* If no request was seen for this many target latencies, the queue may have
 * been empty in the meantime. */
#define GAP_TARGETS 2
/* Slowest fall of the queue that Retry-After is computed from, in time of the
 * queue for each unit of time. The queue stays at its limit while the load
 * lasts; the time until it falls is then unknown. */
#define SLOWEST_FALL 0.1

const char *const GwAdmissionVerdict_Names[GW_ADMISSION_VERDICTS] = {
    "admit", "deadline", "defer", "overload"};

static bool begins_after_deadline_(const GwAdmissionFacts *f);
static uint64_t estimate_others_(const GwAdmissionFacts *f,
                                 bool overload_is_sustained,
                                 double tokens_per_ms);
static void observe_wait_(GwWaitHistory *h, const GwAdmissionFacts *f,
                          GwTime wait);
static GwTime time_to_fall_(const GwWaitHistory *h, GwTime now, GwTime wait,
                            GwTime excess);
static bool has_place_(const GwAdmissionFacts *f,
                       const GwAdmissionDecision *d);
static GwTime prefill_time_(uint64_t tokens, double tokens_per_ms);

GwAdmissionDecision
GwAdmissionState_Decide(GwAdmissionState *state, const GwAdmissionFacts *f)
{
    GwWaitHistory *history =
        f->load.can_wait ? &state->can_wait : &state->urgent;
    GwOverloadFacts load = f->load;
    GwAdmissionDecision d = {
        .tokens_per_ms = GwOverload_PrefillTokensPerMs(&f->load),
        .limit = (GwTime)((double)f->load.target_latency * LIMIT_SHARE),
    };
    GwTime reported_wait = prefill_time_(load.waiting_tokens, d.tokens_per_ms);
    bool is_share_limited =
        !load.can_wait && f->share_excess > 1 &&
        (double)reported_wait > (double)d.limit * FREE_SHARE;

    if (!load.can_wait)
        d.estimated_tokens = estimate_others_(
            f, is_share_limited || history->is_sustained, d.tokens_per_ms);
    d.wait = prefill_time_(load.waiting_tokens + d.estimated_tokens,
                           d.tokens_per_ms);
    d.prefill = prefill_time_(load.own_tokens, d.tokens_per_ms);
    // The estimate for an account beyond its share must not begin an overload
    // for all others.
    if (!f->is_retry && load.target_latency > 0)
        observe_wait_(history, f,
                      is_share_limited && !history->is_sustained
                          ? reported_wait
                          : d.wait);
    d.is_sustained = history->is_sustained;
    if (d.is_sustained && f->share_excess > 1)
        d.limit = (GwTime)((double)d.limit / f->share_excess);
    if (begins_after_deadline_(f)) {
        d.verdict = GW_ADMISSION_DEADLINE;
        if (d.limit == 0)
            d.limit = load.left;
    }
    // Earlier attempts of a retry have used part of the caller's time.
    else if (f->is_retry)
        return d;
    else if (load.can_wait) {
        load.share_excess = d.is_sustained ? f->share_excess : 0;
        d.retry_after = GwOverload_Defer(&load);
        if (d.retry_after > 0)
            d.verdict = GW_ADMISSION_DEFER;
    }
    // An account beyond its share gives way as soon as others would have to
    // wait, not only once the overload is sustained.
    else if ((d.is_sustained || f->share_excess > 1) &&
             load.target_latency > 0 && !has_place_(f, &d))
        d.verdict = GW_ADMISSION_OVERLOAD;
    if (d.verdict == GW_ADMISSION_ADMIT)
        return d;
    // Neither a shorter limit of one account nor the little time that a retry
    // has left shows that the queue is long.
    if (f->share_excess <= 1 && !f->is_retry)
        history->refused_at = f->now;
    if (d.verdict != GW_ADMISSION_DEFER)
        d.retry_after = GwOverload_BoundRetryAfter((double)time_to_fall_(
            history, f->now, d.wait, MAX(d.wait - d.limit, 0)));
    return d;
}

void
GwUnreportedTokens_Add(GwUnreportedTokens *u, GwTime report_at,
                       uint64_t tokens)
{
    u->tokens = GwUnreportedTokens_Get(u, report_at) + tokens;
    u->report_at = report_at;
}

uint64_t
GwUnreportedTokens_Get(const GwUnreportedTokens *u, GwTime report_at)
{
    return u->report_at == report_at ? u->tokens : 0;
}

// Whether even an optimistic estimate misses the deadline: the engine is
// faster than expected, has prefilled since its last report, and has got no
// requests that are not known here.
static bool
begins_after_deadline_(const GwAdmissionFacts *f)
{
    double speed =
        f->load.prefill_tokens_per_ms > 0
            ? f->load.prefill_tokens_per_ms * OPTIMISTIC_SPEED_FACTOR
            : OPTIMISTIC_TOKENS_PER_MS;
    GwTime wait =
        prefill_time_(f->load.waiting_tokens, speed) - MAX(f->report_age, 0);

    return MAX(wait, 0) + prefill_time_(f->load.own_tokens, speed) >
           f->load.left;
}

// Estimate of what other gateways have sent to the engine since its last
// report: each one as much as this one. Gateways see the same free engine at
// the same time, and the share of each is too small to fill it. The estimate
// is at most the queue that all together may cause, so that a wrong number of
// gateways has bounded effect. It is 0 if this gateway has sent nothing, so
// that a free engine gets at least one request after each report.
static uint64_t
estimate_others_(const GwAdmissionFacts *f, bool overload_is_sustained,
                 double tokens_per_ms)
{
    double tokens;

    if (f->senders < 2 || (!overload_is_sustained && f->report_age >= 0 &&
                           f->report_age <= REPORT_INTERVAL))
        return 0;
    tokens = (double)f->unreported_tokens * (f->senders - 1);
    return (uint64_t)MIN(tokens, (double)f->load.target_latency /
                                     GW_MILLISECOND * tokens_per_ms);
}

// The overload is sustained once nearly all waits within one target latency
// exceed the target. It ends with a wait below half of the limit, if no
// request was refused for one target latency: a single engine that returns
// empty after a restart or new weights must not end it, as all gateways would
// then fill that engine without limit. Meanwhile requests for engines with
// short queues are admitted as without overload.
static void
observe_wait_(GwWaitHistory *h, const GwAdmissionFacts *f, GwTime wait)
{
    GwTime target = f->load.target_latency;
    GwTime bound = target;

    if (h->observed_at != 0 && f->now - h->observed_at > GAP_TARGETS * target)
        memset(h, 0, sizeof(*h));
    if (f->load.can_wait)
        bound = (GwTime)((double)target * CAN_WAIT_SHARE);
    else if (h->is_sustained)
        bound = (GwTime)((double)target * LIMIT_SHARE);
    if (h->is_sustained) {
        if ((double)wait < (double)bound * FREE_SHARE &&
            f->now - h->refused_at >= target)
            memset(h, 0, sizeof(*h));
    }
    else if (wait <= bound) {
        h->n_short++;
        if (h->n_short > h->n_long * SHORT_WAITS_SHARE)
            h->above_since = 0;
    }
    else if (h->above_since == 0) {
        h->above_since = f->now;
        h->n_long = 1;
        h->n_short = 0;
    }
    else if (++h->n_long, f->now - h->above_since >= target) {
        h->is_sustained = true;
        h->refused_at = f->now;
        h->began_wait = wait;
        h->began_at = f->now;
    }
    h->observed_at = f->now;
}

// Time in which the wait falls by @p excess, at the speed at which it has
// fallen since the limit applies. Before that, one unit of time is assumed for
// each unit of the queue, as if all further requests were refused.
static GwTime
time_to_fall_(const GwWaitHistory *h, GwTime now, GwTime wait, GwTime excess)
{
    double fall = 1;

    if (h->is_sustained && now > h->began_at)
        fall = (double)(h->began_wait - wait) / (double)(now - h->began_at);
    return (GwTime)((double)excess / CLAMP(fall, SLOWEST_FALL, 1));
}

static GwTime
prefill_time_(uint64_t tokens, double tokens_per_ms)
{
    return (GwTime)((double)tokens / tokens_per_ms * GW_MILLISECOND);
}

// Whether the queue has a place for the request. Gateways that see the same
// last place must not all use it, so each one admits the request with a
// probability that falls with the number of places for each gateway.
static bool
has_place_(const GwAdmissionFacts *f, const GwAdmissionDecision *d)
{
    double others =
        f->senders > 1 ? (double)f->senders * (double)d->prefill : 0;
    double left = (double)(d->limit - d->wait);

    return left >=
           f->random * MIN(others, (double)d->limit * (1 - FREE_SHARE));
}
