#include "galenagw/routing/health.h"

/* Factor by which the weight of all earlier outcomes decreases with each new
 * outcome. The error rate therefore depends on about the last 20 outcomes. */
#define HISTORY_DECAY 0.95
/* An error rate is significant only if the decayed number of outcomes that it
 * was computed from (GwHealth.samples, at most 20) is at least this. */
#define MIN_SAMPLES 6.0
/* An error rate that exceeds the rate of the service's endpoints by this much
 * is a fault of the endpoint. The rate of the service may be above 0, because
 * all its endpoints may answer some requests with errors. */
#define ERROR_RATE_MARGIN 0.25
/* Duration of an exclusion after one failure, doubled for each further
 * consecutive failure up to the maximum. Failures that did not exclude the
 * endpoint count, too: an exclusion after three timeouts lasts 1 s. A restart
 * takes about a second; exclusions longer than the maximum would leave a
 * restarted endpoint idle. */
#define EXCLUSION_MIN (250 * GW_MILLISECOND)
#define EXCLUSION_MAX (2 * GW_SECOND)
/* Number of consecutive failures of any kind from which on a timeout
 * (GW_HEALTH_TIMEOUT) excludes an endpoint: a single timeout may be due to a
 * slow request. */
#define TIMEOUTS_TO_EXCLUDE 3

const char *const GwHealthOutcome_Names[GW_HEALTH_OUTCOMES] = {
    [GW_HEALTH_GOOD] = "good",      [GW_HEALTH_ERROR] = "error",
    [GW_HEALTH_BROKEN] = "broken",  [GW_HEALTH_UNREACHABLE] = "unreachable",
    [GW_HEALTH_TIMEOUT] = "silent",
};

static void exclude_endpoint_(GwHealth *health, GwTime now);

bool
GwHealth_Note(GwHealth *health, GwHealthOutcome outcome, GwTime now)
{
    double bad = outcome == GW_HEALTH_GOOD ? 0.0 : 1.0;

    health->samples = health->samples * HISTORY_DECAY + 1.0;
    health->error_rate += (bad - health->error_rate) / health->samples;
    // An answer with an error also proves that the endpoint can be reached.
    if (outcome == GW_HEALTH_GOOD || outcome == GW_HEALTH_ERROR) {
        health->consecutive_failures = 0;
        health->excluded_until = 0;
        return false;
    }
    health->consecutive_failures++;
    // A broken answer (see GwHealthOutcome) does not exclude the endpoint,
    // which can be reached. If it breaks many answers, it is avoided because
    // of its error rate; see GwHealth_IsWorse.
    if (outcome == GW_HEALTH_BROKEN ||
        (outcome == GW_HEALTH_TIMEOUT &&
         health->consecutive_failures < TIMEOUTS_TO_EXCLUDE))
        return false;
    exclude_endpoint_(health, now);
    return true;
}

bool
GwHealth_IsUsable(const GwHealth *health, unsigned in_flight, GwTime now)
{
    if (health->excluded_until == 0)
        return true;
    // Half-open state of a circuit breaker: after the exclusion, the endpoint
    // gets one request at a time until it answers, so that only one request at
    // a time fails if it is still unreachable.
    return now >= health->excluded_until && in_flight == 0;
}

bool
GwHealth_IsWorse(const GwHealth *health, double peer_rate)
{
    return health->samples >= MIN_SAMPLES &&
           health->error_rate > peer_rate + ERROR_RATE_MARGIN;
}

static void
exclude_endpoint_(GwHealth *health, GwTime now)
{
    GwTime duration = EXCLUSION_MIN;

    for (unsigned i = 1;
         i < health->consecutive_failures && duration < EXCLUSION_MAX; i++)
        duration *= 2;
    health->excluded_until = now + MIN(duration, EXCLUSION_MAX);
}
