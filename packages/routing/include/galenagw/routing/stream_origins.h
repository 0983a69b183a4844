/**
 * @defgroup stream_origins Stream origins
 * @brief Table of the software that began each of the recent streams.
 *
 * Endpoints of several software versions may serve one service. A stream that
 * broke off may be resumed only by the software that began it.
 * @{
 */
#ifndef GALENAGW_ROUTING_STREAM_ORIGINS_H
#define GALENAGW_ROUTING_STREAM_ORIGINS_H

#include <stddef.h>
#include <stdint.h>

#include "galenagw/base/clock.h"
#include "galenagw/routing/software.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwStreamOrigins GwStreamOrigins;

/** @param max maximum number of streams, at least 1 */
GwStreamOrigins *GwStreamOrigins_New(size_t max);
void GwStreamOrigins_Delete(GwStreamOrigins *origins);
/**
 * Store that @p software began @p stream. If the stream is stored already, its
 * software is replaced and its term begins again. If the table is full, the
 * stream that was stored the longest time ago is removed. Each call removes
 * only a few expired streams, so that its duration is bounded.
 * @param stream see GwStreamOrigins_Hash
 * @param software identity of service and version; 0 is ignored
 * @param now not before that of earlier calls
 */
void GwStreamOrigins_Store(GwStreamOrigins *origins, uint64_t stream,
                           uint64_t software, GwTime now);
/** @return the software that began @p stream; 0: unknown, or stored longer
 * than GW_STREAM_LIFETIME ago */
uint64_t GwStreamOrigins_Find(GwStreamOrigins *origins, uint64_t stream,
                              GwTime now);
/** Call @p fn for the streams that were stored last, the newest first, at most
 * @p max and none that is expired. @p fn must not change @p origins. */
void GwStreamOrigins_EachRecent(
    const GwStreamOrigins *origins, size_t max, GwTime now,
    void (*fn)(void *user, uint64_t stream, uint64_t software), void *user);
/** Number of stored streams, including expired ones that were not removed yet.
 */
size_t GwStreamOrigins_Count(const GwStreamOrigins *origins);
/** Identity of the stream of the request @p request_id: XXH64, never 0. */
uint64_t GwStreamOrigins_Hash(const char *request_id);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
