/**
 * @defgroup model_versions Model versions
 * @brief Since when weights of a model are outdated.
 *
 * A version of weights counts from when the platform acknowledged its naming
 * to the operator. A process knows that time only if it was running then, or
 * is told it: by a peer, or by the store, which has it from a process that was
 * running. A version that a process finds in its first read of the operator
 * list may have been named at any earlier time. As long as nobody tells that
 * time, it counts as named long ago: a process that counted from its own start
 * would allow outdated weights for another bound after each restart of all
 * processes.
 * @{
 */
#ifndef GALENAGW_ROUTING_MODEL_VERSIONS_H
#define GALENAGW_ROUTING_MODEL_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum number of stored versions of a model. Only versions that are named
 * within seconds of each other could be more. */
#define GW_MODEL_VERSIONS_MAX 64
/** Time of a naming that nobody knows: before any bound. It is negative, as
 * the clock may have started only now. */
#define GW_NAMED_LONG_AGO (-(GwTime)86400 * GW_SECOND)

typedef struct {
    int64_t version;
    GwTime named_at; /**< the earliest time known here; GW_NAMED_LONG_AGO:
                        unknown */
} GwNamedVersion;

/** The named versions of a model's weights. */
typedef struct {
    int64_t version; /**< the newest; -1: none is named */
    GwNamedVersion history[GW_MODEL_VERSIONS_MAX]; /**< newest first */
    unsigned n_history;
} GwModelVersions;

/** Set @p versions to that of a model without a named version. */
void GwModelVersions_Init(GwModelVersions *versions);
/**
 * Store that @p version was named at @p named_at. Of several known times the
 * earliest counts, as a process may learn of a version late.
 * @param named_at GW_NAMED_LONG_AGO: unknown, which replaces no known time
 * @return whether anything changed
 */
bool GwModelVersions_Note(GwModelVersions *versions, int64_t version,
                          GwTime named_at);
/** When @p version was named; GW_NAMED_LONG_AGO: unknown. */
GwTime GwModelVersions_NamedAt(const GwModelVersions *versions,
                               int64_t version);
/**
 * Since when @p weights are outdated: the time at which the first newer
 * version was named. The newest version may have been named later. 0: @p
 * weights are not outdated. If the time is unknown, the earliest possible one:
 * when the version before was named, or GW_NAMED_LONG_AGO.
 */
GwTime GwModelVersions_OutdatedSince(const GwModelVersions *versions,
                                     int64_t weights);
/** Whether the time since which @p weights are outdated is unknown. */
bool GwModelVersions_IsAgeUnknown(const GwModelVersions *versions,
                                  int64_t weights);
/**
 * Whether @p versions lacks a version whose time is in @p known, or has it
 * with a time that is later by more than @p tolerance.
 */
bool GwModelVersions_Lacks(const GwModelVersions *versions,
                           const GwModelVersions *known, GwTime tolerance);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
