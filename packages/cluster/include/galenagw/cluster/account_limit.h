/**
 * @defgroup account_limit Limits of accounts
 * @brief What an account may use, by the configuration and the deployment.
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

/** The whole limit of @p account, which must have one. */
GwLimit GwAccountLimit_Of(const GwAccount *account,
                          const GwLimitTolerance *tolerance);
/** The limit, and what one of @p entries may spend that reaches no home. */
GwLimitedAccount GwAccountLimit_AtEntry(const GwAccount *account,
                                        const GwLimitTolerance *tolerance,
                                        unsigned entries);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
