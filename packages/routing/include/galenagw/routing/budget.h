/**
 * @defgroup budget Retry budget
 * @brief How many retries a process may send to a service.
 *
 * The retries of all processes combined are limited to a ratio of first
 * attempts over a sliding window, plus a slack. A process counts the retries
 * that the ratio of its own requests allows, and needs no communication for
 * this. The slack is leased (see retry_slack).
 *
 * Requests allow retries for a fraction of the window only (the horizon). So
 * the retries in a window are allowed by requests in it and in the horizon
 * before it, whichever process got them. If requests of a whole window
 * counted, a process could use what they allow at the begin of a window, and
 * its successor, or the process that gets its callers, what the window's own
 * requests allow.
 * @{
 */
#ifndef GALENAGW_ROUTING_BUDGET_H
#define GALENAGW_ROUTING_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of steps in which the horizon is counted. */
#define GW_BUDGET_STEPS 10

/** The limit of all processes combined. */
typedef struct {
    double ratio;   /**< retries per first attempt */
    unsigned slack; /**< additional retries in one window; see retry_slack */
    GwTime window;
} GwBudgetBound;

/** Counts of one process for one service; zero-initialised but for the seed.
 */
typedef struct {
    unsigned first_sends[GW_BUDGET_STEPS + 1];
    unsigned retries[GW_BUDGET_STEPS + 1];
    int64_t step;  /**< index of the newest step */
    uint64_t seed; /**< of this process, by which fractions of a retry are
                        rounded */
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
