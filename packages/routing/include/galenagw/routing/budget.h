/**
 * @defgroup budget Retry budget
 * @brief How many retries a process may send to a service.
 *
 * The retries of all processes combined are limited to a ratio of first
 * attempts over a sliding window, plus a slack. A process counts the retries
 * that the ratio of its own requests allows. It needs no communication for
 * this, and one that starts anew has no requests counted, so that the sum over
 * all processes stays within the ratio. The slack is leased (see
 * retry_slack).
 * @{
 */
#ifndef GALENAGW_ROUTING_BUDGET_H
#define GALENAGW_ROUTING_BUDGET_H

#include <stdbool.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of steps in which the window is counted. */
#define GW_BUDGET_STEPS 10

/** The limit of all processes combined. */
typedef struct {
    double ratio;   /**< retries per first attempt */
    unsigned slack; /**< additional retries in one window; see retry_slack */
    GwTime window;
} GwBudgetBound;

/** Counts of one process for one service; zero-initialised. */
typedef struct {
    unsigned first_sends[GW_BUDGET_STEPS + 1];
    unsigned retries[GW_BUDGET_STEPS + 1];
    int64_t step; /**< index of the newest step */
} GwBudget;

/** Count a request for the service. */
void GwBudget_AddRequest(GwBudget *budget, const GwBudgetBound *bound,
                         GwTime now);
/**
 * Use one retry of those that the ratio of requests allows.
 * @return false if none is left
 */
bool GwBudget_UseRetry(GwBudget *budget, const GwBudgetBound *bound,
                       GwTime now);
/** Whether the ratio of the requests allows few further retries. Without
 * requests in the window, no retries are needed. */
bool GwBudget_IsLow(GwBudget *budget, const GwBudgetBound *bound, GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
