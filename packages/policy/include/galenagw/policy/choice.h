/**
 * @defgroup choice Choice
 * @brief The best of the offers that came back.
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

/** One candidate's answer as the entry sees it. */
typedef struct {
    bool answered;
    GwRefusal refusal;
    GwTime ttft;    /**< the agent's estimate, with its prefill */
    GwTime prefill; /**< the part of it that recomputes missing tokens */
    bool own_only;  /**< lacks only what no other prompt can have */
    GwTime rtt;     /**< the session's round trip */
    GwTime retry_after;
} GwOffer;

/**
 * Pick the cheapest offer: time to first token plus the weighted cost of
 * recomputing. Ties go to the earlier place, which is the stickier one.
 * @return index, or -1 if no offer is usable
 */
int GwChoice_Best(const GwOffer *offers, size_t n, double recompute_weight);
/**
 * Whether @p offer is so good that no other is worth waiting for: it would
 * start at once, and recomputes no more than the caller's own message.
 */
bool GwChoice_IsGoodEnough(const GwOffer *offer);
/**
 * The refusal to report when no offer is usable, and when to come back.
 * @param[out] retry_after the least of what the candidates said
 */
GwRefusal GwChoice_Refusal(const GwOffer *offers, size_t n,
                           GwTime *retry_after);

/** Learned cost of prefill at one endpoint. */
typedef struct {
    double us_per_token;
    double base_us;
    int samples;      /**< of the cost of a token */
    int base_samples; /**< of the fixed part */
} GwPrefillCost;

void GwPrefillCost_Init(GwPrefillCost *cost);
/** Learn from a prefill of @p tokens missing tokens that took @p took. */
void GwPrefillCost_Learn(GwPrefillCost *cost, uint64_t tokens, GwTime took);
GwTime GwPrefillCost_Estimate(const GwPrefillCost *cost, uint64_t tokens);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
