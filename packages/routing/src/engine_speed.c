#include "galenagw/routing/engine_speed.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* Time of a request at an idle engine that does not depend on its prompt:
 * connection, the engine's step in progress and its first step. Short requests
 * at idle engines that are specified with 66 tokens per millisecond took 52 ms
 * for 2,368 tokens. */
#define FIXED_TIME_MS 16.0
/* Shorter prompts show the fixed time and little else. */
#define SAMPLE_TOKENS_MIN 512
/* First bytes that follow within less than a step of the engine are of prompts
 * that it prefilled in the same step. */
#define SAMPLE_TIME_MIN (4 * GW_MILLISECOND)
/* Limits of one sample's speed, relative to the constants. Engines that are in
 * use differ by less; beyond the limits, the time had other reasons. */
#define SPEED_MIN 0.05
#define SPEED_MAX 20.0
/* A sample moves the mean as if it were at most this factor away from it, so
 * that a single request that was held up changes little, and the first samples
 * after a change of the speed do not hide the change. */
#define OUTLIER_FACTOR 1.5
/* The same for the measured noise. */
#define NOISE_FACTOR 4.0
/* Number of samples in the mean since the last change, and in the long-term
 * mean. With the noise of single samples (a factor of 1.4), the error of the
 * mean is 4 %. */
#define MEAN_SAMPLES_MAX 32
#define USUAL_SAMPLES_MAX 64
/* Factor between the median of the latest samples and the mean from which on
 * the speed has changed. An engine that is 2.5 times slower exceeds it with
 * three of five samples. Single samples are off by a factor of about 1.35, the
 * median of five by 1.17. */
#define CHANGE_FACTOR 1.5
/* The same soon after a change, when the mean still depends on few samples. */
#define RECENT_CHANGE_FACTOR 1.3
/* Minimum number of latest samples for a change. */
#define CHANGE_SAMPLES_MIN 3
/* Number of samples as which the median counts after a change. With fewer, the
 * mean would follow the first samples after the next change and so hide it. */
#define CHANGE_WEIGHT 8
/* Noise that is assumed before it is measured, as the variance of the
 * logarithm; and the weight of one sample in the measured one. */
#define INITIAL_VARIANCE 0.12
#define VARIANCE_WEIGHT 0.05
/* Number of samples from which on an estimate counts as known. */
#define KNOWN_SAMPLES_MIN 8
/* Weight, as a number of samples, of the median of the service in an engine's
 * estimate: the speeds of engines differ about as much as single samples. */
#define MEDIAN_SAMPLES 1.5
/* An engine that was found slower than usual gets few requests, or none. After
 * this time without a sample, it is tried again as with its usual speed.
 * Temporary slowness mostly ends within a second. */
#define RETRY_AFTER (2 * GW_SECOND)
/* An estimate without a sample for this long is unknown. */
#define EXPIRES_AFTER (60 * GW_SECOND)
/* Standard error of a reported speed. Agents report it from eight samples on,
 * and mostly have many more. */
#define REPORTED_ERROR 0.09
/* Factor within which engines count as alike, and as in agreement with the
 * constants. An engine's own steps vary by nearly as much with its load. */
#define ALIKE_FACTOR 1.25
/* An engine differs only if the difference exceeds this many standard errors,
 * as in a large fleet some of the estimates are always off by three. */
#define SIGNIFICANT_ERRORS 5.0
/* A service also counts as unequal if its endpoints are typically off by this
 * factor from their median; engines of one kind are within 1.05. Estimates
 * with a larger error do not count. */
#define SPREAD_FACTOR 1.12
#define PRECISE_ERROR 0.095
#define SPREAD_ENDPOINTS_MIN 3
/* Standard errors by which the variance of the speeds must exceed that of the
 * estimates. */
#define SIGNIFICANT_SPREAD_ERRORS 4.0
/* Number of endpoints with known speeds from which on a service has a median
 * to compare them with. */
#define COMPARED_MIN 2
/* A change by this factor is logged, at most once in the interval. */
#define LOG_FACTOR 1.25
#define LOG_INTERVAL (5 * GW_SECOND)
/* Service time that counts as the speed 1 of a plain endpoint; any value would
 * do, as only ratios are used. */
#define PLAIN_SERVICE_MS 50.0
/* Added to each service time of a plain endpoint. Endpoints in other failure
 * domains take some milliseconds longer for the network. With short service
 * times they would count as slow, although callers notice no difference. */
#define PLAIN_NETWORK_MS 10.0

static void add_log_speed_(GwEngineSpeed *s, double x, GwTime now);
static bool has_changed_(const GwEngineSpeed *s, double *median);
static void retry_usual_(GwEngineSpeed *s, GwTime now);
static bool is_expired_(const GwEngineSpeed *s, GwTime now);
static bool is_far_(const GwSpeedEstimate *list, size_t n, double median);
static bool has_slow_or_fast_(const GwSpeedEstimate *list, size_t n,
                              double median);
static bool is_spread_(const GwSpeedEstimate *list, size_t n, double median);
static int compare_doubles_(const void *a, const void *b);
static int compare_estimates_(const void *a, const void *b);

void
GwEngineSpeed_AddFirstByte(GwEngineSpeed *s, const GwSpeedSample *sample,
                           GwTime now)
{
    double expected =
        (double)sample->tokens / GW_NOMINAL_PREFILL_TOKENS_PER_MS +
        sample->running * GW_RUNNING_REQUEST_MS;
    GwTime time = sample->elapsed;

    // The engine was busy with earlier requests up to the last first byte.
    if (s->first_byte_at != 0 && now - s->first_byte_at < time)
        time = now - s->first_byte_at;
    else
        expected += FIXED_TIME_MS;
    GwEngineSpeed_NoteFirstByte(s, now);
    if (sample->tokens < SAMPLE_TOKENS_MIN || time < SAMPLE_TIME_MIN)
        return;
    add_log_speed_(s,
                   log(CLAMP(expected * GW_MILLISECOND / (double)time,
                             SPEED_MIN, SPEED_MAX)),
                   now);
}

void
GwEngineSpeed_NoteFirstByte(GwEngineSpeed *s, GwTime now)
{
    s->first_byte_at = now;
}

void
GwEngineSpeed_AddServiceTime(GwEngineSpeed *s, GwTime elapsed, GwTime now)
{
    double ms = (double)MAX(elapsed, 0) / GW_MILLISECOND + PLAIN_NETWORK_MS;

    // Not clamped to the limits of engines: any service time is possible.
    add_log_speed_(s, log(PLAIN_SERVICE_MS / ms), now);
}

double
GwEngineSpeed_TokensPerMs(const GwEngineSpeed *s, GwTime now)
{
    GwSpeedEstimate estimate = GwSpeedEstimate_Own(s, now);

    return estimate.is_known
               ? exp(estimate.log_speed) * GW_NOMINAL_PREFILL_TOKENS_PER_MS
               : 0;
}

bool
GwEngineSpeed_ShouldLog(GwEngineSpeed *s, double tokens_per_ms, GwTime now)
{
    double x;

    if (tokens_per_ms <= 0 ||
        (s->logged_at != 0 && now - s->logged_at < LOG_INTERVAL))
        return false;
    x = log(tokens_per_ms / GW_NOMINAL_PREFILL_TOKENS_PER_MS);
    if (fabs(x - (double)s->logged) < log(LOG_FACTOR))
        return false;
    s->logged = (float)x;
    s->logged_at = now;
    return true;
}

GwSpeedEstimate
GwSpeedEstimate_Own(const GwEngineSpeed *speed, GwTime now)
{
    GwEngineSpeed s = *speed;

    if (is_expired_(&s, now))
        return (GwSpeedEstimate){0};
    retry_usual_(&s, now);
    if (s.n < KNOWN_SAMPLES_MIN)
        return (GwSpeedEstimate){0};
    return (GwSpeedEstimate){
        .is_known = true,
        .log_speed = (double)s.mean,
        .error = sqrt((double)s.variance / s.n),
    };
}

GwSpeedEstimate
GwSpeedEstimate_Reported(double tokens_per_ms)
{
    if (tokens_per_ms <= 0)
        return (GwSpeedEstimate){0};
    return (GwSpeedEstimate){
        .is_known = true,
        .log_speed =
            log(CLAMP(tokens_per_ms / GW_NOMINAL_PREFILL_TOKENS_PER_MS,
                      SPEED_MIN, SPEED_MAX)),
        .error = REPORTED_ERROR,
    };
}

GwServiceSpeed
GwServiceSpeed_Compare(GwSpeedEstimate *list, size_t n, bool is_plain)
{
    GwServiceSpeed service = {0};
    size_t n_known = 0;

    for (size_t i = 0; i < n; i++) {
        if (list[i].is_known)
            list[n_known++] = list[i];
    }
    if (n_known < COMPARED_MIN)
        return service;
    qsort(list, n_known, sizeof(list[0]), compare_estimates_);
    service.median =
        (list[(n_known - 1) / 2].log_speed + list[n_known / 2].log_speed) / 2;
    service.applies = (!is_plain && is_far_(list, n_known, service.median)) ||
                      has_slow_or_fast_(list, n_known, service.median) ||
                      is_spread_(list, n_known, service.median);
    return service;
}

double
GwServiceSpeed_Relative(const GwServiceSpeed *service,
                        const GwSpeedEstimate *estimate, bool is_plain)
{
    double difference = 0;

    if (!service->applies)
        return 0;
    if (estimate->is_known) {
        double n =
            INITIAL_VARIANCE / MAX(estimate->error * estimate->error, 1e-6);

        difference =
            (estimate->log_speed - service->median) * n / (n + MEDIAN_SAMPLES);
    }
    return exp(is_plain ? difference : service->median + difference);
}

static void
add_log_speed_(GwEngineSpeed *s, double x, GwTime now)
{
    double limit = log(OUTLIER_FACTOR);
    double median;
    double deviation;
    double noise;

    if (is_expired_(s, now))
        *s = (GwEngineSpeed){.first_byte_at = s->first_byte_at,
                             .logged = s->logged,
                             .logged_at = s->logged_at};
    retry_usual_(s, now);
    s->sampled_at = now;
    s->recent[s->next_recent] = (float)x;
    s->next_recent = (uint8_t)((s->next_recent + 1) % GW_SPEED_RECENT);
    s->n_recent = (uint8_t)MIN(s->n_recent + 1, GW_SPEED_RECENT);
    if (s->n == 0) {
        s->mean = s->usual = (float)x;
        s->variance = (float)INITIAL_VARIANCE;
        s->n = s->n_usual = 1;
        return;
    }
    deviation = x - (double)s->mean;
    noise = CLAMP(deviation, -log(NOISE_FACTOR), log(NOISE_FACTOR));
    s->n = (uint16_t)MIN(s->n + 1, MEAN_SAMPLES_MAX);
    s->mean += (float)(CLAMP(deviation, -limit, limit) / s->n);
    s->n_usual = (uint16_t)MIN(s->n_usual + 1, USUAL_SAMPLES_MAX);
    s->usual +=
        (float)(CLAMP(x - (double)s->usual, -limit, limit) / s->n_usual);
    if (has_changed_(s, &median)) {
        s->mean = (float)median;
        s->n = MIN(s->n, CHANGE_WEIGHT);
        return;
    }
    s->variance +=
        (float)((noise * noise - (double)s->variance) * VARIANCE_WEIGHT);
}

// Whether the median of the latest samples differs so much from the mean that
// the speed has changed.
static bool
has_changed_(const GwEngineSpeed *s, double *median)
{
    double sorted[GW_SPEED_RECENT];

    if (s->n_recent < CHANGE_SAMPLES_MIN)
        return false;
    for (unsigned i = 0; i < s->n_recent; i++)
        sorted[i] = (double)s->recent[i];
    qsort(sorted, s->n_recent, sizeof(sorted[0]), compare_doubles_);
    *median = sorted[s->n_recent / 2];
    return fabs(*median - (double)s->mean) > log(s->n < 2 * CHANGE_WEIGHT
                                                     ? RECENT_CHANGE_FACTOR
                                                     : CHANGE_FACTOR);
}

// Restores the long-term mean if the endpoint was found slower than that, and
// has got no request for some time: its samples would never show that it has
// recovered.
static void
retry_usual_(GwEngineSpeed *s, GwTime now)
{
    if (s->n == 0 || now - s->sampled_at < RETRY_AFTER || s->usual <= s->mean)
        return;
    s->mean = s->usual;
    s->n = MIN(s->n_usual, MEAN_SAMPLES_MAX);
    s->n_recent = 0;
    s->next_recent = 0;
}

static bool
is_expired_(const GwEngineSpeed *s, GwTime now)
{
    return s->n > 0 && now - s->sampled_at > EXPIRES_AFTER;
}

// Whether the median differs from the constants. Its error decreases with the
// number of endpoints.
static bool
is_far_(const GwSpeedEstimate *list, size_t n, double median)
{
    double error = 0;

    for (size_t i = 0; i < n; i++)
        error += list[i].error / (double)n;
    return fabs(median) >
           log(ALIKE_FACTOR) + SIGNIFICANT_ERRORS * error / sqrt((double)n);
}

// Whether a single endpoint differs from the median.
static bool
has_slow_or_fast_(const GwSpeedEstimate *list, size_t n, double median)
{
    for (size_t i = 0; i < n; i++) {
        if (fabs(list[i].log_speed - median) >
            log(ALIKE_FACTOR) + SIGNIFICANT_ERRORS * list[i].error)
            return true;
    }
    return false;
}

// Whether the endpoints as a whole differ from the median, although no single
// one may do so measurably: the variance of their speeds, without the variance
// of the estimates, is too large. The extreme ones do not count: their last
// samples may all be off, and has_slow_or_fast_ compares them.
static bool
is_spread_(const GwSpeedEstimate *list, size_t n, double median)
{
    // In the sorted list, the extreme values are at both ends.
    size_t n_extreme = n / 16 + 1;
    double spread = 0;
    double noise = 0;
    unsigned n_precise = 0;

    for (size_t i = n_extreme; i + n_extreme < n; i++) {
        double difference = list[i].log_speed - median;

        if (list[i].error > PRECISE_ERROR)
            continue;
        spread += difference * difference;
        noise += list[i].error * list[i].error;
        n_precise++;
    }
    if (n_precise < SPREAD_ENDPOINTS_MIN)
        return false;
    // The variance of few values is itself uncertain.
    noise *= 1 + SIGNIFICANT_SPREAD_ERRORS * sqrt(2.0 / n_precise);
    return (spread - noise) / n_precise >
           log(SPREAD_FACTOR) * log(SPREAD_FACTOR);
}

static int
compare_doubles_(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static int
compare_estimates_(const void *a, const void *b)
{
    const GwSpeedEstimate *x = a;
    const GwSpeedEstimate *y = b;

    return compare_doubles_(&x->log_speed, &y->log_speed);
}
