/**
 * @defgroup counters Counters
 * @brief The process's own counters and histograms, printed for /metrics.
 *
 * One counter stands for each refusal reason and each retry reason, so that
 * nothing is refused or repeated silently. Histograms have fixed log-scaled
 * buckets (eight to a power of two, error below 10 %), because the package
 * registry has no C histogram library.
 * @{
 */
#ifndef GALENAGW_BASE_COUNTERS_H
#define GALENAGW_BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

#include "galenagw/base/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Plain counters. */
typedef enum {
    GW_COUNTER_REQUESTS = 0,
    GW_COUNTER_ANSWERS,
    GW_COUNTER_ATTEMPTS,
    GW_COUNTER_CALLERS_GONE,
    GW_COUNTER_PROBES,
    GW_COUNTER_OFFERS_EXPIRED,
    GW_COUNTER_TRIALS_PREEMPTED,
    GW_COUNTER_PROMPT_TOKENS,
    GW_COUNTER_CACHED_TOKENS,
    GW_COUNTER_CHUNKS,
    GW_COUNTER_CACHE_EVENTS,
    GW_COUNTER_CACHE_GAPS,
    GW_COUNTER_CACHE_RESETS,
    GW_COUNTER_CONFIG_CHANGES,
    GW_COUNTER_CONFIG_REJECTED,
    GW_COUNTER_CONFIG_FROM_PEER,
    GW_COUNTER_LOG_APPENDS,
    GW_COUNTER_LOG_RECORDS,
    GW_COUNTER_LOG_ERRORS,
    GW_COUNTER_SESSIONS_OPENED,
    GW_COUNTER_SESSIONS_LOST,
    GW_COUNTER_SESSIONS_SILENT,
    GW_COUNTER_FRAMES_SENT,
    GW_COUNTER_FRAMES_RECEIVED,
    GW_COUNTER_BYTES_SENT,
    GW_COUNTER_EJECTIONS,
    GW_COUNTER_REPLAYED_ANSWERS,
    GW_COUNTER_ORDERS,
    GW_COUNTER_ORDERS_FENCED,
    GW_COUNTER_STORE_CALLS,
    GW_COUNTER_STORE_ERRORS,
    GW_COUNTER_RECORDS_FROM_PEERS,
    GW_COUNTER_UPSTREAM_OPENED,
    GW_COUNTER_UPSTREAM_REUSED,
    GW_COUNTER_RESUMED,
    GW_COUNTER_SPILLED,
    GW_COUNTER_RECORDS_ASKED,
    GW_COUNTER_RECORDS_TOLD_BYTES,
    GW_COUNTER_BYTES_FROM_PEERS,
    GW_COUNTER_RECORDS_UNREADABLE,
    GW_COUNTER_RESTARTS_SEEN,
    GW_COUNTER_ENDS_SEEN,
    GW_COUNTER_LIMIT_ASKS,
    GW_COUNTER_LISTS_UNCONFIRMED,
    GW_COUNTERS
} GwCounter;

extern const char *const GwCounter_Names[GW_COUNTERS];

/** Histograms of durations, in microseconds. */
typedef enum {
    GW_HISTOGRAM_TTFT_PAYING = 0,
    GW_HISTOGRAM_TTFT_TRIAL,
    GW_HISTOGRAM_QUEUE_WAIT,
    GW_HISTOGRAM_CLAIM,
    GW_HISTOGRAM_FORWARD_FIRST_BYTE,
    GW_HISTOGRAM_FORWARD_WHOLE,
    GW_HISTOGRAMS
} GwHistogramId;

extern const char *const GwHistogram_Names[GW_HISTOGRAMS];

/** One log-scaled histogram; 8 buckets to a power of two. */
typedef struct {
    uint64_t buckets[256];
    uint64_t count;
    uint64_t sum;
} GwHistogram;

void GwHistogram_Record(GwHistogram *histogram, uint64_t value);
/** Upper bound of the bucket of @p quantile (0 to 1); 0 when empty. */
uint64_t GwHistogram_Quantile(const GwHistogram *histogram, double quantile);

/** All counters of one process; plain data, zero-initialised. */
typedef struct {
    uint64_t plain[GW_COUNTERS];
    uint64_t refusals[GW_REFUSALS];
    uint64_t retries[GW_RETRIES];
    GwHistogram histograms[GW_HISTOGRAMS];
} GwCounters;

static inline void
GwCounters_Add(GwCounters *counters, GwCounter counter, uint64_t n)
{
    counters->plain[counter] += n;
}

static inline void
GwCounters_Refuse(GwCounters *counters, GwRefusal refusal)
{
    counters->refusals[refusal]++;
}

static inline void
GwCounters_Retry(GwCounters *counters, GwRetry retry)
{
    counters->retries[retry]++;
}

/** Append the text exposition format to @p out. */
void GwCounters_Print(const GwCounters *counters, GString *out);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
