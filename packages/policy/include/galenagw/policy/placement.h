/**
 * @defgroup placement Placement
 * @brief A way to place requests without asking endpoints for offers.
 *
 * The product asks for offers. This table is the seam at which gw-bench
 * puts its baselines, so that everything else in a comparison is the same.
 * @{
 */
#ifndef GALENAGW_POLICY_PLACEMENT_H
#define GALENAGW_POLICY_PLACEMENT_H

#include "galenagw/policy/candidates.h"

#ifdef __cplusplus
extern "C" {
#endif

/** One way of placing. */
typedef struct {
    const char *name;
    /**
     * @param in_flight this entry's requests at each member
     * @return index of a usable member, or -1 if there is none
     */
    int (*pick)(void *impl, const GwChain *chain,
                const GwCandidateMember *members, const int *in_flight,
                size_t n);
    void *impl;
} GwPlacement;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
