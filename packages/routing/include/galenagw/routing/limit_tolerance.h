/**
 * @defgroup limit_tolerance Tolerance of limits
 * @brief How accurately the limits of client accounts are enforced.
 * @{
 */
#ifndef GALENAGW_ROUTING_LIMIT_TOLERANCE_H
#define GALENAGW_ROUTING_LIMIT_TOLERANCE_H

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Applies to all processes combined. */
typedef struct {
    GwTime window;  /**< period over which use is counted; 0: not set */
    double overage; /**< share of a limit by which it may be exceeded */
    double slack;   /**< additional units in one window */
} GwLimitTolerance;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
