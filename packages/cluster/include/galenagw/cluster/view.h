/**
 * @defgroup view View of the platform
 * @brief A process's replica of the platform's state: routes, endpoints, named
 * weights.
 *
 * Records come from the store or from peers, in any order. The view decodes
 * each of them once and reports what changed. Its state never goes back: an
 * older version does not replace a newer one, and an unreadable record does
 * not replace a valid one.
 * @{
 */
#ifndef GALENAGW_CLUSTER_VIEW_H
#define GALENAGW_CLUSTER_VIEW_H

#include "galenagw/base/counters.h"
#include "galenagw/base/event_log.h"
#include "galenagw/routing/endpoint_limits.h"
#include "galenagw/routing/instances.h"
#include "galenagw/routing/model_versions.h"
#include "galenagw/routing/records.h"
#include "galenagw/routing/routes.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwView GwView;

/** Callbacks; any may be NULL. */
typedef struct {
    void (*on_routes)(void *user);
    void (*on_weights)(void *user, const char *model,
                       const GwModelVersions *versions);
    void (*on_instance_added)(void *user, GwInstance *instance);
    void (*on_instance_freed)(void *user, GwInstance *instance);
    /** @p after is a later incarnation of @p before; see GwInstancesOps. */
    void (*on_instance_restarted)(void *user, GwInstance *before,
                                  GwInstance *after);
    /** An urgent change, which peers should be notified of soon; see
     * GwView_UrgentChanges. */
    void (*on_urgent)(void *user);
} GwViewOps;

/** Construction options. */
typedef struct {
    const GwViewOps *ops;
    void *user;
    GwEventLog *log;
    GwCounters *counters;
} GwViewOptions;

GwView *GwView_New(const GwViewOptions *options);
void GwView_Delete(GwView *view);

/** The copy of the platform's lists; records are applied to it. */
GwRecords *GwView_Records(GwView *view);
GwInstances *GwView_Instances(GwView *view);
GwEndpointLimits *GwView_EndpointLimits(GwView *view);
/** The newest routes; NULL: none are known yet. */
GwRoutes *GwView_Routes(const GwView *view);
/** The named versions of @p model, never NULL. Valid until the next change. */
const GwModelVersions *GwView_ModelVersions(const GwView *view,
                                            const char *model);
/** The operator list is complete as of now, or it is the first start of the
 * whole system: a version that is read from now on has just been named. */
void GwView_NoteOperatorListComplete(GwView *view);
/** Store that @p version was named at @p named_at, by the clock of this
 * machine, according to a peer or to the store. */
void GwView_NoteNamed(GwView *view, const char *model, int64_t version,
                      GwTime named_at);
/** Call @p fn for each stored version whose time of naming is known. */
void GwView_EachNamed(const GwView *view,
                      void (*fn)(void *user, const char *model,
                                 int64_t version, GwTime named_at),
                      void *user);
/**
 * Number of changes so far that alter what callers get: routes, API keys,
 * named weights, endpoints that drain or have restarted. Other changes, such
 * as the weights of each engine in a roll, are frequent and not urgent.
 */
uint64_t GwView_UrgentChanges(const GwView *view);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
