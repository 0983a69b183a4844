/**
 * @defgroup limits Limits
 * @brief Account limits over many entries, and the retry budget.
 *
 * An account's home agent owns its token bucket and leases credits to the
 * entries that ask. An entry spends its lease without a round trip. While
 * the home is unreachable an entry grants itself its share: the limit over
 * the number of entries.
 * @{
 */
#ifndef GALENAGW_POLICY_LIMITS_H
#define GALENAGW_POLICY_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A token bucket; plain data. */
typedef struct {
    double rate;  /**< tokens a second */
    double burst; /**< most it can hold */
    double level;
    GwTime at;
} GwBucket;

void GwBucket_Init(GwBucket *bucket, double rate, double burst, GwTime now);
/** Change the rate; the level is kept, within the new burst. */
void GwBucket_SetRate(GwBucket *bucket, double rate, double burst, GwTime now);
/** Take up to @p want whole tokens. @return how many. */
uint32_t GwBucket_Take(GwBucket *bucket, uint32_t want, GwTime now);
/** Time until one token is there. */
GwTime GwBucket_Wait(const GwBucket *bucket, GwTime now);

/** An entry's side of one account's limit; plain data. */
typedef struct {
    uint32_t credits; /**< leased and not spent */
    GwTime lease_end;
    GwTime refused_until;
    bool asking;
    GwBucket local; /**< the share used while the home is away */
} GwCredit;

/** What an entry may do with one request. */
typedef enum {
    GW_CREDIT_GO = 0,
    GW_CREDIT_ASK,    /**< ask the home, and wait for its grant */
    GW_CREDIT_REFUSE, /**< the limit is used up */
    GW_CREDITS
} GwCreditState;

extern const char *const GwCreditState_Names[GW_CREDITS];

/** Credits leased at a time for @p rate: a tenth of a second's worth. */
uint32_t GwCredit_Batch(double rate);
/** Decide on one request, spending a credit on GO. */
GwCreditState GwCredit_Spend(GwCredit *credit, GwTime now);
/** The home granted @p credits, none for @p retry_after. */
void GwCredit_Granted(GwCredit *credit, uint32_t credits, GwTime retry_after,
                      GwTime now);
/** The home is unreachable: spend the local share. */
bool GwCredit_SpendLocal(GwCredit *credit, double rate, int entries,
                         GwTime now);

/**
 * Retries as a share of first attempts, so that a failure cannot multiply
 * the load: a bucket that each first attempt fills by @c share.
 */
typedef struct {
    double share;
    double level;
    double max;
} GwRetryBudget;

void GwRetryBudget_Init(GwRetryBudget *budget, double share, double max);
void GwRetryBudget_First(GwRetryBudget *budget);
/** @return false when the budget is used up. */
bool GwRetryBudget_Take(GwRetryBudget *budget);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
