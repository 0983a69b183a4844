/**
 * @defgroup limit_tolerance Tolerance of limits
 * @brief How exactly a deployment wants its accounts' limits kept.
 * @{
 */
#ifndef GALENAGW_ROUTING_LIMIT_TOLERANCE_H
#define GALENAGW_ROUTING_LIMIT_TOLERANCE_H

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Over all processes together. */
typedef struct {
    GwTime window;  /**< in which use is counted; 0: not told */
    double overage; /**< share of a limit by which it may be exceeded */
    double slack;   /**< units on top, in one window */
} GwLimitTolerance;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
