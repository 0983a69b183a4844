/**
 * @defgroup heat Heat
 * @brief Which prefixes are hot, and over how many endpoints to spread them.
 *
 * An agent sums the endpoint time that each anchor takes, with exponential
 * decay. An anchor that takes more than half of the endpoint's time gets a
 * width of more than 1, the number of endpoints to spread it over, which the
 * agent's offers carry.
 * Entries store the widths they receive for a short time, so that a new entry
 * receives those of hot prefixes with its first offers.
 * @{
 */
#ifndef GALENAGW_POLICY_HEAT_H
#define GALENAGW_POLICY_HEAT_H

#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A table of decaying sums. */
typedef struct GwHeat GwHeat;

/**
 * @param half_life of the sums
 * @param max_keys bound of the number of keys
 */
GwHeat *GwHeat_New(GwTime half_life, unsigned max_keys);
void GwHeat_Delete(GwHeat *heat);
/** Adds @p amount to the sum of @p key. */
void GwHeat_Add(GwHeat *heat, uint64_t key, double amount, GwTime now);
/** @return decayed sum of @p key; 0 if unknown */
double GwHeat_Get(const GwHeat *heat, uint64_t key, GwTime now);
/** Raises the sum of @p key to at least @p level, from which it decays. */
void GwHeat_Raise(GwHeat *heat, uint64_t key, double level, GwTime now);

/**
 * Number of endpoints that carry a prefix at half load each.
 * @param busy_us decayed sum of the prefix's work, in microseconds
 * @param half_life of that sum
 * @return at least 1
 */
uint32_t GwHeat_Width(double busy_us, GwTime half_life);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
