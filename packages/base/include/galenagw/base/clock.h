/**
 * @defgroup clock Clock
 * @brief Monotonic time and jitter.
 *
 * Functions that decide by time or chance take both as arguments, so that
 * tests can control them.
 * @{
 */
#ifndef GALENAGW_BASE_CLOCK_H
#define GALENAGW_BASE_CLOCK_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A time or an interval of the monotonic clock, microseconds. */
typedef int64_t GwTime;

#define GW_MILLISECOND ((GwTime)1000)
#define GW_SECOND ((GwTime)1000000)
/** Later than any time, as for "no deadline". */
#define GW_NEVER INT64_MAX

/** Current time of the monotonic clock. */
static inline GwTime
GwTime_Now(void)
{
    return g_get_monotonic_time();
}

/** Random interval, uniform from 0.5 to 1.5 times @p base. */
static inline GwTime
GwTime_Jitter(GRand *rand, GwTime base)
{
    return base / 2 + (GwTime)(g_rand_double(rand) * (double)base);
}

#ifdef __cplusplus
}
#endif
/** @} */
#endif
