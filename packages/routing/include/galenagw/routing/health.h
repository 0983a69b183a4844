/**
 * @defgroup health Health of an endpoint
 * @brief Health of one endpoint, derived from this process's own attempts.
 *
 * Health checks are unreliable in both directions: an endpoint may pass its
 * check and fail requests, or fail its check and serve requests. Outcomes of
 * attempts are available without additional requests. An unreachable endpoint
 * is excluded for an increasing time, then gets one trial request. An endpoint
 * that fails much more often than its peers is avoided, too.
 * @{
 */
#ifndef GALENAGW_ROUTING_HEALTH_H
#define GALENAGW_ROUTING_HEALTH_H

#include <stdbool.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Outcome of an attempt, with respect to the endpoint's health. */
typedef enum {
    GW_HEALTH_GOOD = 0, /**< expected answer */
    GW_HEALTH_ERROR,    /**< the endpoint answered with an error */
    GW_HEALTH_BROKEN,   /**< the connection was closed early, or the answer was
                           invalid */
    GW_HEALTH_UNREACHABLE, /**< no connection */
    GW_HEALTH_TIMEOUT,     /**< no answer before the timeout */
    GW_HEALTH_OUTCOMES
} GwHealthOutcome;

extern const char *const GwHealthOutcome_Names[GW_HEALTH_OUTCOMES];

/** Plain data; zero-initialised, the endpoint counts as healthy. */
typedef struct {
    double error_rate; /**< decayed share of failed attempts */
    double samples;    /**< decayed number of attempts */
    /** attempts in a row without a valid answer */
    unsigned consecutive_failures;
    GwTime excluded_until;
} GwHealth;

/**
 * Record the outcome of an attempt.
 * @return whether it excludes the endpoint
 */
bool GwHealth_Note(GwHealth *health, GwHealthOutcome outcome, GwTime now);
/** Whether the endpoint may get a new request while it has @p in_flight of
 * this process. */
bool GwHealth_IsUsable(const GwHealth *health, unsigned in_flight, GwTime now);
/** Whether its error rate is much higher than @p peer_rate, the mean rate of
 * the endpoints of its service. */
bool GwHealth_IsWorse(const GwHealth *health, double peer_rate);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
