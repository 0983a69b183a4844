/**
 * @defgroup subset Followed engines
 * @brief Which engines one entry keeps sessions to, in a large fleet.
 *
 * Every engine's agent tells every entry that follows it what its engine
 * holds and how much waits there, some twenty times a second. Told by all to
 * all this grows with the product of both numbers: of 103 entries before 180
 * engines each used 0.07 of a core, and 0.03 with this. So an entry follows a
 * part of the engines only, chosen by rendezvous hashing of its own name: the
 * parts of different entries overlap little, no two entries need to agree, and
 * an engine that comes or goes changes few of them. Fleets of up to
 * ::GW_SUBSET_MOST engines are followed whole.
 * @{
 */
#ifndef GALENAGW_ROUTING_SUBSET_H
#define GALENAGW_ROUTING_SUBSET_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Engines that one entry follows at most. With a sixth of them out for new
 * weights and a quarter lost, some 30 are left to choose from, which is as
 * good as more: the soonest of 30 is a few milliseconds behind the soonest of
 * all, and fewer entries choose it at the same moment.
 */
#define GW_SUBSET_MOST 48

/**
 * Set GwInstance::followed on the engines among @p all that the entry @p name
 * follows. Leaving engines take no other's place.
 */
void GwSubset_Mark(const GPtrArray *all, const char *name);
/**
 * Entries in the fleet, where each engine is followed by @p followers in the
 * mean; at least that many.
 */
unsigned GwSubset_Entries(double followers, unsigned engines);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
