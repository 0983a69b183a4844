/**
 * @defgroup affinity Affinity
 * @brief Where a prefix was served well a moment ago.
 *
 * While little is in flight there is no choice to make: the place that just
 * served a prefix without a wait serves it again, and a round of offers
 * would cost more than it decides. The memory is short, so that it is never
 * far behind the load, and the agent still refuses what it cannot take.
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

/** @param life of an entry @param max_keys bound on memory */
GwAffinity *GwAffinity_New(GwTime life, unsigned max_keys);
void GwAffinity_Delete(GwAffinity *affinity);
/**
 * @p member made an offer for @p anchor that could not be better, with the
 * first token after @p ttft; or it has just kept that promise.
 */
void GwAffinity_Remember(GwAffinity *affinity, uint64_t anchor,
                         uint64_t member, GwTime ttft, GwTime now);
/** It failed or refused there: forget. */
void GwAffinity_Forget(GwAffinity *affinity, uint64_t anchor);
/** It holds nothing any more: forget all that is remembered of it. */
void GwAffinity_ForgetMember(GwAffinity *affinity, uint64_t member);
/** @return the member, or 0 if none is remembered or it was too long ago */
uint64_t GwAffinity_Find(const GwAffinity *affinity, uint64_t anchor,
                         GwTime now, GwTime *ttft);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
