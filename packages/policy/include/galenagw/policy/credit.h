/**
 * @defgroup credit Credits
 * @brief Leases of an account's limit at an entry of the product's own
 * interface, where an account has one home and each request is one unit.
 *
 * An entry spends its lease without a round trip. While the home is
 * unreachable an entry grants itself its share: the limit over the number of
 * entries.
 * @{
 */
#ifndef GALENAGW_POLICY_CREDIT_H
#define GALENAGW_POLICY_CREDIT_H

#include "galenagw/policy/limits.h"

#ifdef __cplusplus
extern "C" {
#endif

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

#ifdef __cplusplus
}
#endif
/** @} */
#endif
