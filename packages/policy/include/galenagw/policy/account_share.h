/**
 * @defgroup account_share Shares of accounts
 * @brief Which accounts use more than their share while capacity is short.
 *
 * The share of an account is in proportion to its limit. An entry compares the
 * utilization of the account's limit with the mean utilization of the accounts
 * that it has seen in the last seconds. An account above the mean is beyond
 * its share, and admission gives it a shorter queue: by the ratio of what it
 * demands to the mean. Its utilization then falls until it is near that of the
 * others, or until they leave capacity to it. An account at or below the mean
 * gets the whole queue.
 *
 * Utilization over all entries is known to the limit owners (see
 * GwLimitShare_Use). Without it, this entry's own requests are counted.
 * Accounts are compared only to accounts of the same class, so that paying
 * accounts do not seem beyond their share because trial accounts are idle.
 * @{
 */
#ifndef GALENAGW_POLICY_ACCOUNT_SHARE_H
#define GALENAGW_POLICY_ACCOUNT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most accounts that are compared; further ones are within their shares. It
 * bounds the memory (about 120 B each) and the time to compute the mean. */
#define GW_ACCOUNT_SHARES_MAX 4096

/** A request that its account's limit allows. */
typedef struct {
    const char *account;
    bool yields;       /**< engines schedule its account's requests after
                            others */
    double limit_rate; /**< units per second of the account; above 0 */
    double units;      /**< of the request */
    double use;        /**< utilization of the limit over all entries, 1: all
                            of it; negative: not known */
    unsigned entries;  /**< number of entries, at least 1 */
    bool is_cut_off;   /**< no limit owner answers this entry */
} GwAccountRequest;

/** Change of an account to be logged; few for each account and in total. */
typedef enum {
    GW_ACCOUNT_SHARE_SAME = 0,
    GW_ACCOUNT_SHARE_BEYOND, /**< it uses clearly more than its share */
    GW_ACCOUNT_SHARE_WITHIN, /**< it no longer does */
    GW_ACCOUNT_SHARE_CHANGES
} GwAccountShareChange;

extern const char *const GwAccountShareChange_Names[GW_ACCOUNT_SHARE_CHANGES];

typedef struct GwAccountShare GwAccountShare;

GwAccountShare *GwAccountShare_New(void);
void GwAccountShare_Delete(GwAccountShare *share);
/**
 * Counts a request.
 * @param[out] change to be logged
 * @return use of its account in relation to the account's share; 1: within the
 *   share, or not known
 */
double GwAccountShare_Add(GwAccountShare *share,
                          const GwAccountRequest *request, GwTime now,
                          GwAccountShareChange *change);
/** The request of these units got no service: its units are returned. */
void GwAccountShare_Return(GwAccountShare *share, const char *account,
                           double units, GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
