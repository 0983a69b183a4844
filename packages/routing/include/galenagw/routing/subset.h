/**
 * @defgroup subset Followed engines
 * @brief To which engines' agents an entry keeps sessions in a large fleet.
 *
 * The agent of each engine sends the cached parts and the queue of its engine
 * to each entry that follows it, about twenty times per second. If all entries
 * followed all engines, messages would grow with the product of both numbers.
 * An entry therefore follows a subset of the engines, chosen by rendezvous
 * hashing with its name. The subsets of different entries overlap little,
 * entries need not agree on them, and an engine that is added or removed
 * changes few of them.
 * @{
 */
#ifndef GALENAGW_ROUTING_SUBSET_H
#define GALENAGW_ROUTING_SUBSET_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Fleets of up to this many engines are followed entirely: more prompts then
 * reach an engine that holds their parts, and the number of messages is still
 * low. */
#define GW_SUBSET_ALL_MAX 48
/** Minimum subset of larger fleets. With a sixth of the engines loading new
 * weights and a quarter failed, eight remain to choose from. */
#define GW_SUBSET_MIN 14

/**
 * Number of engines that each of @p entries should follow, so that about eight
 * entries follow each engine; 0 entries: their number is unknown. The result
 * grows in steps of a half, because estimates of the number of entries vary
 * and each change closes and opens sessions.
 *
 * More followers would not help: an entry does not know what others have sent
 * to an engine since its last report, so entries that follow the same engines
 * choose the same ones at the same time, and the other engines are idle.
 */
unsigned GwSubset_Size(unsigned engines, unsigned entries);
/** Set GwInstance::followed on the engines among @p all that the entry named
 * @p name follows: the @p size engines of the highest rank, not counting
 * draining ones. */
void GwSubset_Mark(const GPtrArray *all, const char *name, unsigned size);
/** Estimated number of entries in the fleet, if each entry follows @p size of
 * the @p engines and each engine has @p followers on average. */
unsigned GwSubset_Entries(double followers, unsigned engines, unsigned size);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
