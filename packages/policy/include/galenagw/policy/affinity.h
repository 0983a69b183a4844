/**
 * @defgroup affinity Affinity
 * @brief Which member served a prefix without a wait a moment ago.
 *
 * While few requests are in flight, the member that has just served a prefix
 * without a wait can serve it again, and a round of offers would cost more
 * than it improves. Entries expire soon, so that they do not lag far behind
 * the load, and the agent still refuses what it cannot accept.
 * @{
 */
#ifndef GALENAGW_POLICY_AFFINITY_H
#define GALENAGW_POLICY_AFFINITY_H

#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwAffinity GwAffinity;

/**
 * @param lifetime of an entry
 * @param max_keys bound of the number of entries
 */
GwAffinity *GwAffinity_New(GwTime lifetime, unsigned max_keys);
void GwAffinity_Delete(GwAffinity *affinity);
/**
 * Records that @p member made an offer for @p anchor that no other could
 * improve, with the first token after @p ttft, or has just met such an offer.
 */
void GwAffinity_Set(GwAffinity *affinity, uint64_t anchor, uint64_t member,
                    GwTime ttft, GwTime now);
/** Removes the entry of @p anchor after a failure or refusal. */
void GwAffinity_Remove(GwAffinity *affinity, uint64_t anchor);
/** Removes all entries of @p member, whose cache is empty. */
void GwAffinity_RemoveMember(GwAffinity *affinity, uint64_t member);
/**
 * @param[out] ttft time to first token of the offer, if a member is returned
 * @return the member; 0 if there is no entry or it has expired
 */
uint64_t GwAffinity_Find(const GwAffinity *affinity, uint64_t anchor,
                         GwTime now, GwTime *ttft);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
