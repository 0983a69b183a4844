/**
 * @defgroup credit Credits
 * @brief Leases of an account's limit in an entry (packages/entry), where an
 * account has one limit owner and each request is one unit, called a credit.
 *
 * An entry spends leased credits without a round trip. While the owner is
 * unreachable, an entry uses an equal part of the limit of its own: the limit
 * divided by the number of entries.
 * @{
 */
#ifndef GALENAGW_POLICY_CREDIT_H
#define GALENAGW_POLICY_CREDIT_H

#include "galenagw/policy/limits.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The leased credits of one account in one entry; plain data. */
typedef struct {
    uint32_t credits;      /**< leased and not spent */
    GwTime lease_end;      /**< when the credits expire */
    GwTime refused_until;  /**< the owner granted nothing until then */
    bool asking;           /**< a request to the owner is pending */
    GwBucket local_bucket; /**< used while the owner is unreachable */
} GwCredit;

/** What an entry may do with one request. */
typedef enum {
    GW_CREDIT_SEND = 0, /**< send it */
    GW_CREDIT_ASK,    /**< ask the owner for credits and wait for the grant */
    GW_CREDIT_REFUSE, /**< refuse it: the limit is used up */
    GW_CREDIT_STATES
} GwCreditState;

extern const char *const GwCreditState_Names[GW_CREDIT_STATES];

/** @return credits to lease at a time: those of a tenth of a second, at least
 * one
 * @param rate requests per second */
uint32_t GwCredit_Batch(double rate);
/** Decides on one request, and spends a credit if the result is
 * GW_CREDIT_SEND. */
GwCreditState GwCredit_Spend(GwCredit *credit, GwTime now);
/** Records the owner's answer: @p credits granted, or 0 and none for the time
 * @p retry_after. */
void GwCredit_Granted(GwCredit *credit, uint32_t credits, GwTime retry_after,
                      GwTime now);
/**
 * Decides on one request while the owner is unreachable.
 * @param rate the account's limit in requests per second
 * @param entries number of entries among which the limit is divided
 * @return whether the request may be sent
 */
bool GwCredit_SpendLocal(GwCredit *credit, double rate, int entries,
                         GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
