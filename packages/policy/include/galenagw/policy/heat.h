/**
 * @defgroup heat Heat
 * @brief Which prefixes are hot, and over how many endpoints to spread them.
 *
 * An agent counts, with decay, the work that each anchor brings; an anchor
 * that takes more than its share of the endpoint's time gets a width, which
 * goes back in offers. Entries keep the widths they heard for a short time.
 * A new entry thus learns of hot prefixes with its first offers.
 * @{
 */
#ifndef GALENAGW_POLICY_HEAT_H
#define GALENAGW_POLICY_HEAT_H

#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwHeat GwHeat;

/** @param half_life of the counts @param max_keys bound on memory */
GwHeat *GwHeat_New(GwTime half_life, unsigned max_keys);
void GwHeat_Delete(GwHeat *heat);
/** Add @p amount to @p key. */
void GwHeat_Add(GwHeat *heat, uint64_t key, double amount, GwTime now);
/** Decayed sum of @p key; 0 if unknown. */
double GwHeat_Get(const GwHeat *heat, uint64_t key, GwTime now);
/** Raise @p key to at least @p level (decays from there). */
void GwHeat_Raise(GwHeat *heat, uint64_t key, double level, GwTime now);

/**
 * Width for work of @p busy_us in a half-life: 1 while one endpoint can
 * carry it at half load, else as many as it takes.
 */
uint32_t GwHeat_Width(double busy_us, GwTime half_life);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
