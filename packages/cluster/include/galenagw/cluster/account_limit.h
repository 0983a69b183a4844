/**
 * @defgroup account_limit Limits of accounts
 * @brief Limits of client accounts, from the configuration and the
 * deployment's tolerance.
 * @{
 */
#ifndef GALENAGW_CLUSTER_ACCOUNT_LIMIT_H
#define GALENAGW_CLUSTER_ACCOUNT_LIMIT_H

#include "galenagw/policy/limit_share.h"
#include "galenagw/routing/limit_tolerance.h"
#include "galenagw/routing/routes.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The limit of @p account in the whole fleet; the account must have one. */
GwLimit GwAccountLimit_Of(const GwAccount *account,
                          const GwLimitTolerance *tolerance);
/** The limit of @p account, and what one of @p entries entries may spend while
 * it reaches no limit owner. */
GwLimitedAccount GwAccountLimit_AtEntry(const GwAccount *account,
                                        const GwLimitTolerance *tolerance,
                                        unsigned entries);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
