/**
 * @defgroup choice Choice
 * @brief The best of the offers that were received.
 * @{
 */
#ifndef GALENAGW_POLICY_CHOICE_H
#define GALENAGW_POLICY_CHOICE_H

#include <stdbool.h>
#include <stddef.h>

#include "galenagw/base/clock.h"
#include "galenagw/base/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/** One candidate's answer to a probe, with the entry's own measurements. */
typedef struct {
    bool answered;      /**< false: no answer was received */
    GwRefusal refusal;  /**< GW_REFUSAL_NONE: an offer */
    GwTime ttft;        /**< the agent's estimate of the time to first token */
    GwTime prefill;     /**< part of @c ttft that computes missing tokens */
    bool own_only;      /**< misses only tokens that no other prompt shares */
    GwTime rtt;         /**< round trip of the session */
    GwTime retry_after; /**< when refused: time until a retry may succeed */
} GwOffer;

/**
 * Picks the offer with the lowest cost: time to first token plus the weighted
 * cost of recomputing. Of equal offers it picks the first, whose member has
 * the higher rank and so gets the same prefixes again.
 * @return index, or -1 if no offer is usable
 */
int GwChoice_Best(const GwOffer *offers, size_t n, double recompute_weight);
/**
 * Whether @p offer is so good that waiting for others is not worth it: the
 * request would start at once and recompute no more than the caller's own
 * message.
 */
bool GwChoice_IsGoodEnough(const GwOffer *offer);
/**
 * The refusal to report when no offer is usable: the one with the shortest
 * time until a retry may succeed.
 * @param[out] retry_after that time
 */
GwRefusal GwChoice_Refusal(const GwOffer *offers, size_t n,
                           GwTime *retry_after);

/** Measured cost of prefill at one endpoint. */
typedef struct {
    double us_per_token; /**< microseconds for each missing token */
    double base_us;      /**< microseconds for each request */
    int samples;         /**< of @c us_per_token */
    int base_samples;    /**< of @c base_us */
} GwPrefillCost;

void GwPrefillCost_Init(GwPrefillCost *cost);
/** Adds a sample: the prefill of @p tokens missing tokens took @p duration. */
void GwPrefillCost_AddSample(GwPrefillCost *cost, uint64_t tokens,
                             GwTime duration);
/** @return estimated duration of the prefill of @p tokens missing tokens */
GwTime GwPrefillCost_Estimate(const GwPrefillCost *cost, uint64_t tokens);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
