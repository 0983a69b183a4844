/**
 * @defgroup counters Counters
 * @brief The process's own counters and histograms, printed for /metrics.
 *
 * Each refusal reason and each retry reason has its own counter, so that every
 * refusal and every retry shows up in the metrics. Histograms have fixed
 * log-scaled buckets (eight per power of two, error below 10 %) and are
 * implemented here because the package registry has no C histogram library.
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

/** Counters without labels; each one only increases. */
typedef enum {
    GW_COUNTER_REQUESTS = 0, /**< Requests received. */
    GW_COUNTER_ANSWERS,  /**< Answers completed; in an agent also those that
                            were not completed after their first chunk. */
    GW_COUNTER_ATTEMPTS, /**< Requests sent to endpoints, retries included. */
    GW_COUNTER_CALLERS_GONE,   /**< Clients that disconnected before the end of
                                  the answer. */
    GW_COUNTER_PROBES,         /**< Probes sent (entry) or answered (agent). */
    GW_COUNTER_OFFERS_EXPIRED, /**< Offers whose reservation expired unused. */
    GW_COUNTER_TRIALS_PREEMPTED, /**< Running trials cancelled and queued
                                    again. */
    GW_COUNTER_PROMPT_TOKENS,    /**< Prompt tokens of completed answers; in an
                                    agent also of those that were not completed
                                    after their first chunk. */
    GW_COUNTER_CACHED_TOKENS,    /**< Of these, found in the KV cache of the
                                    engine. */
    GW_COUNTER_CHUNKS,           /**< Chunks of answer bodies processed. */
    GW_COUNTER_CACHE_EVENTS, /**< KV cache events received from the engine. */
    GW_COUNTER_CACHE_GAPS,   /**< Of these, events after a gap in the sequence
                                numbers. */
    GW_COUNTER_CACHE_RESETS, /**< Resets of the cache view after an engine
                                restart. */
    GW_COUNTER_CONFIG_CHANGES,   /**< Configuration changes applied, states
                                    restored from a snapshot in the log, and
                                    newer route tables adopted. Counts
                                    also revisions that are not usable for the
                                    site. */
    GW_COUNTER_CONFIG_REJECTED,  /**< Configuration changes rejected:
                                    unreadable, or their base is not
                                    current. */
    GW_COUNTER_CONFIG_FROM_PEER, /**< Configuration states restored from a
                                    peer. */
    GW_COUNTER_LOG_APPENDS,      /**< Appends sent to the log service. */
    GW_COUNTER_LOG_RECORDS,      /**< Records read from the log service. */
    GW_COUNTER_LOG_ERRORS,       /**< Calls of the log service without a usable
                                    answer. */
    GW_COUNTER_SESSIONS_OPENED,  /**< Sessions with an established connection.
                                  */
    GW_COUNTER_SESSIONS_LOST,    /**< Sessions whose connection failed or was
                                    closed. */
    GW_COUNTER_SESSIONS_SILENT,  /**< Sessions closed because of the silence
                                    timeout. */
    GW_COUNTER_FRAMES_SENT,      /**< Frames sent to peers. */
    GW_COUNTER_FRAMES_RECEIVED,  /**< Frames received from peers. */
    GW_COUNTER_BYTES_SENT,       /**< Bytes of frames sent to peers. */
    GW_COUNTER_EJECTIONS, /**< Members ejected from their pool after failed
                             attempts. */
    GW_COUNTER_REPLAYED_ANSWERS, /**< Answers replayed for a repeated
                                    idempotency key. */
    GW_COUNTER_ORDERS,           /**< Load orders sent to the engine. */
    GW_COUNTER_ORDERS_FENCED,    /**< Of these, rejected for a stale fence. */
    GW_COUNTER_STORE_CALLS,      /**< Calls of the store. */
    GW_COUNTER_STORE_ERRORS,     /**< Calls of the store that failed. */
    GW_COUNTER_RECORDS_FROM_PEERS, /**< Records from peers that were new to
                                      this process. */
    GW_COUNTER_UPSTREAM_OPENED,    /**< Connections opened to endpoints. */
    GW_COUNTER_UPSTREAM_REUSED, /**< Requests sent over an idle connection. */
    GW_COUNTER_RESUMED,         /**< Streams resumed on another endpoint. */
    GW_COUNTER_SPILLED, /**< Requests not sent to the preferred engine. */
    GW_COUNTER_RECORDS_ASKED,      /**< Requests of peers for list records. */
    GW_COUNTER_RECORDS_TOLD_BYTES, /**< Bytes of list records sent to peers. */
    GW_COUNTER_BYTES_FROM_PEERS,   /**< Bytes of list records from peers, known
                                      ones included. */
    GW_COUNTER_RECORDS_UNREADABLE, /**< List records that failed to decode. */
    GW_COUNTER_RESTARTS_SEEN,      /**< Restarts of instances observed. */
    GW_COUNTER_ENDS_SEEN,  /**< Terminations of endpoint processes observed. */
    GW_COUNTER_LIMIT_ASKS, /**< Requests for units sent to limit owners. */
    GW_COUNTER_LISTS_UNCONFIRMED, /**< Reads from the store because no peer had
                                     confirmed a list in time. */
    GW_COUNTER_ROWS_IGNORED,      /**< Rows of the instance list that did not
                                     take effect. */
    GW_COUNTER_REMOVALS_DEFERRED, /**< Removals of endpoints that were deferred
                                     after a store outage. */
    GW_COUNTER_ORIGINS_TOLD,   /**< Origins of streams sent to agents; each is
                                  sent to at most two. */
    GW_COUNTER_ORIGIN_ASKS,    /**< Queries to agents for the origin of a
                                  stream. */
    GW_COUNTER_SWITCHES_LATE,  /**< Switches to newer weights that can't be
                                  complete in time. */
    GW_COUNTER_STARTS_LATE,    /**< Requests that started on weights outdated
                                  for longer than the bound. */
    GW_COUNTER_RETRIES_LEASED, /**< Retries of a lease on the slack of the
                                  retry budget. */
    GW_COUNTER_RETRIES_OVER_BUDGET, /**< Retries that the budget refused. */
    GW_COUNTER_RETRY_LEASE_ASKS,    /**< Requests for such leases. */
    GW_COUNTER_RETRIES_GRANTED, /**< Agent: retries leased to entries, those
                                   that were returned included. */
    GW_COUNTERS
} GwCounter;

/** Names of ::GwCounter in /metrics, by value. */
extern const char *const GwCounter_Names[GW_COUNTERS];

/** Histograms of durations in microseconds. */
typedef enum {
    GW_HISTOGRAM_TTFT_PAYING = 0, /**< Time to first token, paying accounts. */
    GW_HISTOGRAM_TTFT_TRIAL,      /**< Time to first token, trial accounts. */
    GW_HISTOGRAM_QUEUE_WAIT,      /**< Wait in the queue of an agent. */
    GW_HISTOGRAM_CLAIM,           /**< Until the claim of a key is decided. */
    GW_HISTOGRAM_FORWARD_FIRST_BYTE, /**< From the arrival of a request at the
                                        gateway to the first byte of its
                                        answer. */
    GW_HISTOGRAM_FORWARD_WHOLE,      /**< From the arrival of a request at the
                                        gateway to the end of its answer. */
    GW_HISTOGRAMS
} GwHistogramId;

/** Names of ::GwHistogramId in /metrics, by value. */
extern const char *const GwHistogram_Names[GW_HISTOGRAMS];

/** Values that rise and fall. */
typedef enum {
    GW_GAUGE_PREFILL_TOKENS_PER_S = 0, /**< Measured prefill speed of the
                                          engine beside the agent; 0:
                                          unknown. */
    GW_GAUGES
} GwGauge;

/** Names of ::GwGauge in /metrics, by value. */
extern const char *const GwGauge_Names[GW_GAUGES];

/** One log-scaled histogram with eight buckets per power of two. */
typedef struct {
    uint64_t buckets[256]; /**< number of values in each bucket */
    uint64_t count;        /**< number of all values */
    uint64_t sum;          /**< of all values, microseconds */
} GwHistogram;

/** Add @p value, microseconds; values above the range go into the last
 * bucket. */
void GwHistogram_Record(GwHistogram *histogram, uint64_t value);
/**
 * Upper bound, microseconds, of the bucket that contains @p quantile.
 * @param quantile 0 to 1
 * @return 0 if the histogram is empty
 */
uint64_t GwHistogram_Quantile(const GwHistogram *histogram, double quantile);

/** All counters of one process; zero-initialised by the owner. */
typedef struct {
    uint64_t plain[GW_COUNTERS]; /**< counters without labels */
    uint64_t refusals[GW_REFUSALS];
    uint64_t retries[GW_RETRIES];
    uint64_t gauges[GW_GAUGES];
    GwHistogram histograms[GW_HISTOGRAMS];
} GwCounters;

/** Increase @p counter by @p n. */
static inline void
GwCounters_Add(GwCounters *counters, GwCounter counter, uint64_t n)
{
    counters->plain[counter] += n;
}

/** Count one refusal. */
static inline void
GwCounters_AddRefusal(GwCounters *counters, GwRefusal refusal)
{
    counters->refusals[refusal]++;
}

/** Count one retry. */
static inline void
GwCounters_AddRetry(GwCounters *counters, GwRetry retry)
{
    counters->retries[retry]++;
}

/** Append all counters in the Prometheus text exposition format to @p out. */
void GwCounters_Print(const GwCounters *counters, GString *out);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
