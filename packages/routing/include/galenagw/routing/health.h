/**
 * @defgroup health Health of an endpoint
 * @brief What the outcomes of our own attempts say of one endpoint.
 *
 * Health checks lie both ways: an endpoint may pass its own check and fail
 * its requests. Attempts are evidence that costs nothing. An endpoint that
 * cannot be reached is left out for a growing while, then gets one attempt
 * as a trial; one that fails much more often than its peers is left out too.
 * @{
 */
#ifndef GALENAGW_ROUTING_HEALTH_H
#define GALENAGW_ROUTING_HEALTH_H

#include <stdbool.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How an attempt ended, as far as it tells of the endpoint. */
typedef enum {
    GW_HEALTH_GOOD = 0,    /**< answered as it should */
    GW_HEALTH_ERROR,       /**< answered with an error of its own */
    GW_HEALTH_BROKEN,      /**< broke off, or sent what is no answer */
    GW_HEALTH_UNREACHABLE, /**< no connection */
    GW_HEALTH_SILENT,      /**< no answer by the deadline */
    GW_HEALTH_SIGNS
} GwHealthSign;

extern const char *const GwHealthSign_Names[GW_HEALTH_SIGNS];

/** Plain data, zero-initialised: nothing is known, which counts as well. */
typedef struct {
    double error_rate; /**< decayed share of bad signs */
    double samples;    /**< decayed number of signs */
    unsigned streak;   /**< unreachable or silent, in a row */
    GwTime excluded_until;
} GwHealth;

/** Note how an attempt ended. @return true if it is excluded by that. */
bool GwHealth_Note(GwHealth *health, GwHealthSign sign, GwTime now);
/** Whether new work may go there, with @p in_flight of ours there now. */
bool GwHealth_IsUsable(const GwHealth *health, unsigned in_flight, GwTime now);
/** Whether it fails much more often than @p peer_rate. */
bool GwHealth_IsWorse(const GwHealth *health, double peer_rate);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
