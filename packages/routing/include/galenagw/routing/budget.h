/**
 * @defgroup budget Retry budget
 * @brief How many repeats one process may send to a service.
 *
 * Repeats are bounded as a share of first sends over a sliding window, plus
 * a slack, over all processes together. Each process keeps to the share of
 * its own requests and to its part of the slack, so no word between them is
 * needed and a fault that hits one cannot use up what others need.
 * @{
 */
#ifndef GALENAGW_ROUTING_BUDGET_H
#define GALENAGW_ROUTING_BUDGET_H

#include <stdbool.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The window is counted in so many steps. */
#define GW_BUDGET_STEPS 10

/** The bound that all processes share. */
typedef struct {
    double ratio;   /**< repeats per first send */
    unsigned slack; /**< repeats on top, in one window */
    GwTime window;
} GwBudgetBound;

/** Counts of one process for one service; zero-initialised. */
typedef struct {
    unsigned first[GW_BUDGET_STEPS + 1];
    unsigned repeats[GW_BUDGET_STEPS + 1];
    int64_t step; /**< the newest one */
} GwBudget;

/** A request came for the service. */
void GwBudget_AddRequest(GwBudget *budget, const GwBudgetBound *bound,
                         GwTime now);
/**
 * Take one repeat, with the slack split among @p processes.
 * @return false if the budget is used up
 */
bool GwBudget_TakeRepeat(GwBudget *budget, const GwBudgetBound *bound,
                         unsigned processes, GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
