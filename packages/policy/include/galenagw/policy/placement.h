/**
 * @defgroup placement Placement
 * @brief Interface of algorithms that place requests without asking endpoints
 * for offers.
 *
 * The product asks for offers. With this interface gw-bench replaces that step
 * by its baselines, so that everything else in a comparison is the same.
 * @{
 */
#ifndef GALENAGW_POLICY_PLACEMENT_H
#define GALENAGW_POLICY_PLACEMENT_H

#include "galenagw/policy/candidates.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A placement algorithm. */
typedef struct {
    const char *name;
    /**
     * Picks the member that a request is sent to.
     * @param in_flight number of this entry's requests at each member
     * @return index of a usable member, or -1 if there is none
     */
    int (*pick)(void *impl, const GwChain *chain,
                const GwCandidateMember *members, const int *in_flight,
                size_t n);
    void *impl; /**< passed to @c pick */
} GwPlacement;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
