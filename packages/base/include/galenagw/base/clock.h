/**
 * @defgroup clock Clock
 * @brief Time and randomness, passed in so that tests decide both.
 * @{
 */
#ifndef GALENAGW_BASE_CLOCK_H
#define GALENAGW_BASE_CLOCK_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Microseconds of a monotonic clock. */
typedef int64_t GwTime;

#define GW_MILLISECOND ((GwTime)1000)
#define GW_SECOND ((GwTime)1000000)
#define GW_NEVER INT64_MAX

/** The monotonic clock of this process. */
static inline GwTime
GwTime_Now(void)
{
    return g_get_monotonic_time();
}

/** @p base spread over half to one and a half of itself. */
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
