#include "retries.h"

#include <xxhash.h>

#include "suspects.h"

/* A retry without an outcome after this time, because its caller disconnected,
 * no longer blocks the next one. */
#define RETRY_TIMEOUT (10 * GW_SECOND)
/* Time without probes after the first round of terminations. It is longer
 * after each further round, by the factor of the plan. */
#define PROBE_DELAY_MIN (500 * GW_MILLISECOND)
#define PROBE_DELAY_MAX (64 * GW_SECOND)

/* How a suspect is probed. */
typedef struct {
    unsigned delay_factor; /* of the delay, for each round of terminations */
    unsigned n_processes;  /* of the fleet that are selected in each interval,
                              on average */
} ProbePlan;

/* Without a probe, a tied part that is harmless is not served again. One that
 * completed before is released by the requests in flight if it is harmless, so
 * its probes are for the rare case that it is not in flight anywhere. */
static const ProbePlan tied_plan = {2, 2};
static const ProbePlan harmless_plan = {4, 1};

static GwTime probe_delay_(const Suspect *s, const ProbePlan *plan);
static bool is_selected_(const GwQuarantine *q, const uint64_t *subject,
                         size_t n, unsigned n_processes);

GwTime
Retries_Term(unsigned n_failures)
{
    GwTime term = GW_QUARANTINE_TERM_MIN;

    for (unsigned n = GW_QUARANTINE_TERMINATIONS;
         n < n_failures && term < GW_QUARANTINE_TERM_MAX; n++)
        term *= 2;
    return term;
}

GwTime
Retries_TimeLeft(const GwQuarantine *q, const Suspect *s, GwTime now)
{
    uint64_t subject[] = {s->digest.account, s->digest.content, 0};
    GwTime interval;

    if (now < s->quarantined_until)
        return s->quarantined_until - now;
    if (q->options.name == NULL)
        return 0;
    interval = (now - s->quarantined_until) / s->term;
    subject[2] = (uint64_t)interval;
    if (is_selected_(q, subject, G_N_ELEMENTS(subject), 1) &&
        now - s->retried_at > RETRY_TIMEOUT)
        return 0;
    return s->quarantined_until + (interval + 1) * s->term - now;
}

// Tied parts have the same last termination, so that the same processes are
// selected for all of them. Intervals begin after the delay and are as long as
// it: in each it may happen that no process is selected, and a probe that
// terminates an endpoint makes the next ones longer.
GwTime
Retries_ProbeTimeLeft(const GwQuarantine *q, const Suspect *s, GwTime now)
{
    const ProbePlan *plan =
        Suspect_IsHarmlessPart(s) ? &harmless_plan : &tied_plan;
    GwTime length = probe_delay_(s, plan);
    GwTime start =
        (s->last_failed_at != 0 ? s->last_failed_at : s->quarantined_at) +
        length;
    uint64_t subject[] = {s->last_endpoint, 0};

    if (q->options.name == NULL)
        return 0;
    if (now < start)
        return start - now;
    subject[1] = (uint64_t)((now - start) / length);
    start += (GwTime)subject[1] * length;
    if (s->retried_at < start &&
        is_selected_(q, subject, G_N_ELEMENTS(subject), plan->n_processes))
        return 0;
    return start + length - now;
}

static GwTime
probe_delay_(const Suspect *s, const ProbePlan *plan)
{
    GwTime delay = PROBE_DELAY_MIN;

    for (unsigned n = 1; n < s->n_rounds && delay < PROBE_DELAY_MAX; n++)
        delay *= plan->delay_factor;
    return MIN(delay, PROBE_DELAY_MAX);
}

// Each process decides pseudo-randomly on its own, so that on average
// @p n_processes of the fleet are selected for @p subject. If all of them
// sent the request, each could terminate an endpoint before receiving the
// update on the first termination.
static bool
is_selected_(const GwQuarantine *q, const uint64_t *subject, size_t n,
             unsigned n_processes)
{
    XXH64_hash_t hash =
        XXH3_64bits_withSeed(subject, n * sizeof(*subject), q->name_hash);
    double fraction = (double)hash / (double)UINT64_MAX;

    return fraction * q->processes < n_processes;
}
