#include "galenagw/base/counters.h"

#include <inttypes.h>

/* Each power of two is divided into SUB_BUCKETS linear buckets. */
#define SUB_BUCKET_BITS 3
#define SUB_BUCKETS (1 << SUB_BUCKET_BITS)

const char *const GwCounter_Names[GW_COUNTERS] = {
    "requests",         "answers",
    "attempts",         "callers_gone",
    "probes",           "offers_expired",
    "trials_preempted", "prompt_tokens",
    "cached_tokens",    "chunks",
    "cache_events",     "cache_gaps",
    "cache_resets",     "config_changes",
    "config_rejected",  "config_from_peer",
    "log_appends",      "log_records",
    "log_errors",       "sessions_opened",
    "sessions_lost",    "sessions_silent",
    "frames_sent",      "frames_received",
    "bytes_sent",       "ejections",
    "replayed_answers", "orders",
    "orders_fenced",    "store_calls",
    "store_errors",     "records_from_peers",
    "upstream_opened",  "upstream_reused",
    "resumed",          "spilled",
    "records_asked",    "records_told_bytes",
    "bytes_from_peers", "records_unreadable",
    "restarts_seen",    "ends_seen",
    "limit_asks",       "lists_unconfirmed",
    "rows_ignored",     "removals_deferred",
    "origins_told",     "origin_asks",
    "switches_late",    "starts_late",
    "retries_leased",   "retries_over_budget",
    "retry_lease_asks", "retries_granted",
};

const char *const GwGauge_Names[GW_GAUGES] = {"prefill_tokens_per_s"};

const char *const GwHistogram_Names[GW_HISTOGRAMS] = {
    "ttft_paying_us", "ttft_trial_us",         "queue_wait_us",
    "claim_us",       "forward_first_byte_us", "forward_whole_us",
};

static unsigned bucket_index_(uint64_t value);
static uint64_t bucket_upper_bound_(unsigned bucket);

void
GwHistogram_Record(GwHistogram *histogram, uint64_t value)
{
    unsigned b = bucket_index_(value);

    if (b >= G_N_ELEMENTS(histogram->buckets))
        b = G_N_ELEMENTS(histogram->buckets) - 1;
    histogram->buckets[b]++;
    histogram->count++;
    histogram->sum += value;
}

uint64_t
GwHistogram_Quantile(const GwHistogram *histogram, double quantile)
{
    uint64_t rank = (uint64_t)(quantile * (double)histogram->count);
    uint64_t cumulative = 0;

    if (histogram->count == 0)
        return 0;
    for (unsigned b = 0; b < G_N_ELEMENTS(histogram->buckets); b++) {
        cumulative += histogram->buckets[b];
        if (cumulative > rank || cumulative == histogram->count)
            return bucket_upper_bound_(b);
    }
    return 0;
}

void
GwCounters_Print(const GwCounters *counters, GString *out)
{
    for (int i = 0; i < GW_COUNTERS; i++)
        g_string_append_printf(out, "galenagw_%s_total %" PRIu64 "\n",
                               GwCounter_Names[i], counters->plain[i]);
    for (int i = 1; i < GW_REFUSALS; i++)
        g_string_append_printf(
            out, "galenagw_refusals_total{reason=\"%s\"} %" PRIu64 "\n",
            GwRefusal_Names[i], counters->refusals[i]);
    for (int i = 1; i < GW_RETRIES; i++)
        g_string_append_printf(
            out, "galenagw_retries_total{reason=\"%s\"} %" PRIu64 "\n",
            GwRetry_Names[i], counters->retries[i]);
    for (int i = 0; i < GW_GAUGES; i++)
        g_string_append_printf(out, "galenagw_%s %" PRIu64 "\n",
                               GwGauge_Names[i], counters->gauges[i]);
    for (int i = 0; i < GW_HISTOGRAMS; i++) {
        const GwHistogram *h = &counters->histograms[i];
        const char *name = GwHistogram_Names[i];

        g_string_append_printf(out,
                               "galenagw_%s{quantile=\"0.5\"} %" PRIu64 "\n",
                               name, GwHistogram_Quantile(h, 0.5));
        g_string_append_printf(out,
                               "galenagw_%s{quantile=\"0.99\"} %" PRIu64 "\n",
                               name, GwHistogram_Quantile(h, 0.99));
        g_string_append_printf(out, "galenagw_%s_sum %" PRIu64 "\n", name,
                               h->sum);
        g_string_append_printf(out, "galenagw_%s_count %" PRIu64 "\n", name,
                               h->count);
    }
}

// Values below SUB_BUCKETS have a bucket each. Above, the index consists of
// the exponent and the SUB_BUCKET_BITS bits after the leading one.
static unsigned
bucket_index_(uint64_t value)
{
    unsigned shift;

    if (value < SUB_BUCKETS)
        return (unsigned)value;
    shift = 63 - (unsigned)__builtin_clzll(value) - SUB_BUCKET_BITS;
    return (shift + 1) * SUB_BUCKETS +
           (unsigned)((value >> shift) & (SUB_BUCKETS - 1));
}

// Largest value that bucket_index_ maps to `bucket`.
static uint64_t
bucket_upper_bound_(unsigned bucket)
{
    unsigned shift;
    uint64_t sub = bucket % SUB_BUCKETS;

    if (bucket < SUB_BUCKETS)
        return bucket;
    shift = bucket / SUB_BUCKETS - 1;
    return ((SUB_BUCKETS + sub + 1) << shift) - 1;
}
