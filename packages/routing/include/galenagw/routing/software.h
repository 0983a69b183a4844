/**
 * @defgroup software Software versions of endpoints
 * @brief By which versions of its software a stream of a service may have
 * begun.
 *
 * Endpoints of several software versions may serve one service side by side. A
 * stream may be continued only by the software version that began it, because
 * two versions may write different events.
 * @{
 */
#ifndef GALENAGW_ROUTING_SOFTWARE_H
#define GALENAGW_ROUTING_SOFTWARE_H

#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest time for which a stream may be in progress, with its caller's
 * retries. */
#define GW_STREAM_LIFETIME (60 * GW_SECOND)
/** Maximum number of departed identities that are stored for a service. */
#define GW_SOFTWARE_DEPARTED_MAX 8
/** Maximum number of services without a listed endpoint whose departed
 * identities are stored. */
#define GW_SOFTWARE_SERVICES_MAX 256

/** Hash of @p service and the software version @p version, never 0; 0
 * (unknown) if @p version is NULL or empty. */
uint64_t GwSoftware_Identity(const char *service, const char *version);

/**
 * The software identities of the listed endpoints of each service, and those
 * that departed within the last GW_STREAM_LIFETIME. If there are more than can
 * be stored, the service counts as one of several versions until those that
 * were dropped have expired.
 *
 * Identity 0 is an endpoint whose version is unknown. Each of them counts as a
 * version of its own while it is listed.
 */
typedef struct GwSoftwareHistory GwSoftwareHistory;

GwSoftwareHistory *GwSoftwareHistory_New(void);
void GwSoftwareHistory_Delete(GwSoftwareHistory *history);
/** An endpoint of @p identity is listed. */
void GwSoftwareHistory_Add(GwSoftwareHistory *history, const char *service,
                           uint64_t identity);
/** An endpoint of @p identity, added before, is listed no longer since @p
 * now. */
void GwSoftwareHistory_Remove(GwSoftwareHistory *history, const char *service,
                              uint64_t identity, GwTime now);
/** A listed endpoint of unknown version has been of @p identity since its
 * start. */
void GwSoftwareHistory_Identify(GwSoftwareHistory *history,
                                const char *service, uint64_t identity);
/**
 * Software versions by which a stream of @p service that is in progress at @p
 * now may have begun.
 * @param[out] only the identity, if there is exactly one and it is known; else
 *   0
 * @return their number; if some could not be stored, 2 or more
 */
unsigned GwSoftwareHistory_Count(const GwSoftwareHistory *history,
                                 const char *service, GwTime now,
                                 uint64_t *only);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
