/**
 * @defgroup limits Limits
 * @brief Token buckets for the limits of client accounts, and the retry
 * budget.
 *
 * A limit counts units: requests, or tokens of prompt and answer. The units of
 * one account are in token buckets at its limit owners, each of which has an
 * equal part of the limit (see limit_owner). Entries lease from the owners
 * what their requests need (see limit_share).
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

/** The limit of one account, or a part of it. */
typedef struct {
    double rate;   /**< units per second; 0: no limit */
    double burst;  /**< most units that an idle account accumulates */
    double debt;   /**< units that may be taken before the rate yields them:
                        the level may fall to minus this number */
    GwTime window; /**< in any interval of this length the account may use
                        what its rate yields in it and one burst, and no more;
                        0: no such bound */
} GwLimit;

/** @return one of @p parts equal parts of @p limit, with the burst rounded up
 * to a whole unit */
GwLimit GwLimit_Part(const GwLimit *limit, unsigned parts);
/** @return time in which the rate of @p limit yields @p units; 0 without a
 * limit */
GwTime GwLimit_TimeFor(const GwLimit *limit, double units);

/** Time constant of the average use of a limit. Bursts of an account that last
 * some seconds are to be known while they last. */
#define GW_LIMIT_USE_TIME (2 * GW_SECOND)

/** Steps of equal length into which a window is divided to count the units
 * taken in it. */
#define GW_LIMIT_WINDOW_STEPS 16

/**
 * A token bucket; plain data. With a window it fills a little faster than its
 * rate, by half of a burst spread over the window, so that an account at its
 * limit gets nearly all that the window allows, evenly over time. During its
 * first window it fills at its rate and allows no debt, because units taken
 * from an earlier bucket whose state was lost are not known. For the same
 * reason a new bucket is empty.
 */
typedef struct {
    GwLimit limit;
    double level;      /**< units in the bucket; below zero: a debt */
    GwTime started_at; /**< begin of the first window */
    GwTime filled_at;  /**< time up to which @c level is computed */
    /** Units taken in each step; a ring buffer. The newest step is incomplete,
     * so that one more than GW_LIMIT_WINDOW_STEPS cover an entire window. */
    double taken[GW_LIMIT_WINDOW_STEPS + 1];
    int64_t step; /**< number of the newest step */
} GwBucket;

/** Initialises a bucket that was empty at @p started_at. */
void GwBucket_Init(GwBucket *bucket, const GwLimit *limit, GwTime started_at);
/** Changes the limit; the level is retained, up to the new burst. */
void GwBucket_SetLimit(GwBucket *bucket, const GwLimit *limit, GwTime now);
/**
 * Takes up to @p need units. If all of them are available, takes up to
 * @p ahead units more, as long as the bucket stays at least half full.
 * @param need a whole number
 * @return units taken, a whole number
 */
double GwBucket_Take(GwBucket *bucket, double need, double ahead, GwTime now);
/** Returns @p units that were taken and not used. */
void GwBucket_Return(GwBucket *bucket, double units, GwTime now);

/**
 * Limits retries to a share of first attempts, so that a failure cannot
 * multiply the load: a bucket to which each first attempt adds @c share. It is
 * nearly empty at first, whatever an earlier process has used.
 */
typedef struct {
    double share; /**< retries per first attempt */
    double level; /**< retries that are allowed now */
    double max;   /**< bound of @c level */
} GwRetryBudget;

void GwRetryBudget_Init(GwRetryBudget *budget, double share, double max);
/** Records a first attempt. */
void GwRetryBudget_AddFirstAttempt(GwRetryBudget *budget);
/** Takes one retry. @return false if the budget is used up */
bool GwRetryBudget_Take(GwRetryBudget *budget);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
