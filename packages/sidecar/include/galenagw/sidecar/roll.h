/**
 * @defgroup roll Rolling weights
 * @brief When one engine loads a newly named version.
 *
 * The pattern answered is a version for all engines of a service, named
 * every few seconds, while loading takes an engine out for about a second
 * and takes longer when many load at once. Every agent computes its own
 * turn from the list that all share; none is in charge, so none can fail.
 * @{
 */
#ifndef GALENAGW_SIDECAR_ROLL_H
#define GALENAGW_SIDECAR_ROLL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Where one engine stands among those of its service. */
typedef struct {
    size_t engines;
    size_t before; /**< engines whose turn comes earlier */
} GwRollTurn;

/** How many engines load at once, of @p engines. */
size_t GwRoll_AtOnce(size_t engines);
/** When the engine's turn comes, after a version was named. */
GwTime GwRoll_Delay(const GwRollTurn *turn);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
