/**
 * @defgroup instances Endpoint instances
 * @brief The endpoints of all services that this process knows of.
 *
 * The instance list of the platform defines which endpoints exist. Agents and
 * answers of endpoints report changes earlier than the list does.
 *
 * An endpoint is one incarnation of an instance, identified by the instance id
 * and the time of its start. After a restart it is a different endpoint, under
 * the same id or a new one, and its address may belong to another service. The
 * latest incarnation of an id applies; updates on earlier ones are ignored.
 * @{
 */
#ifndef GALENAGW_ROUTING_INSTANCES_H
#define GALENAGW_ROUTING_INSTANCES_H

#include "galenagw/routing/instance.h"

#ifdef __cplusplus
extern "C" {
#endif

GwInstances *GwInstances_New(const GwInstancesOps *ops, void *user);
void GwInstances_Delete(GwInstances *instances);

/** Apply a row of the list. A row of an earlier incarnation than the known one
 * is ignored. */
GwRowVerdict GwInstances_ApplyRow(GwInstances *instances,
                                  const GwInstanceRow *row, GwTime now);
/**
 * Apply the information, from another source than the list, that @p id was
 * restarted. Until its new row is read, the new incarnation gets the service,
 * address, failure domain, slots and model of the previous one, but not its
 * versions of weights and software or its state.
 * @return the new incarnation, or NULL if @p id is not listed or @p
 *   incarnation is not later than the known one
 */
GwInstance *GwInstances_ApplyRestart(GwInstances *instances, const char *id,
                                     int64_t incarnation, GwUpdateSource from,
                                     GwTime now);
/**
 * Apply a departure update: @p id announced in an answer, received at @p
 * received_at, that it is leaving. It gets no new requests. The update is
 * stored if @p id is not listed yet.
 * @return whether the update is new
 */
bool GwInstances_SetLeaving(GwInstances *instances, const char *id,
                            int64_t incarnation, GwTime received_at,
                            GwTime now);
/** Call @p fn for each stored departure update. */
void GwInstances_EachLeaving(const GwInstances *instances,
                             void (*fn)(void *user, const char *id,
                                        int64_t incarnation,
                                        GwTime received_at),
                             void *user);
/** A different instance answers at its address: it gets no new requests. */
void GwInstance_SetReplaced(GwInstance *instance);
/**
 * The list contains @p id no longer. It is removed, unless removals are
 * deferred; see GwInstances_DeferRemovals.
 * @return when the deferred removal will be applied; 0: it is not deferred
 */
GwTime GwInstances_ApplyRemoval(GwInstances *instances, const char *id,
                                GwTime now);
/** Remove @p id immediately, as if it had never been listed, except that
 * GwInstances_SoftwareVersions includes it: streams may have begun there. */
void GwInstances_Forget(GwInstances *instances, const char *id, GwTime now);
/** Recompute which instances are draining: those that are leaving, and those
 * for which a newer instance is listed at their address. Replacements that
 * were noted by GwInstance_SetReplaced only are reset. Required after
 * GwInstances_Forget, because the forgotten instance may have replaced another
 * one. */
void GwInstances_RecomputeDraining(GwInstances *instances);
/** Defer removals after a store outage. Entries that expired during the outage
 * are written again soon after it. Removals received before @p
 * defer_received_before are therefore applied at @p until, unless the instance
 * is listed again. Later removals are applied immediately, because they are of
 * endpoints that have departed. */
void GwInstances_DeferRemovals(GwInstances *instances,
                               GwTime defer_received_before, GwTime until);
/** When a removal that is received now would be applied; 0: immediately. */
GwTime GwInstances_RemovalsDeferredUntil(const GwInstances *instances,
                                         GwTime now);
/** Apply deferred removals now, and later ones at once: none of them was due
 * to an outage of the store. */
void GwInstances_EndDeferral(GwInstances *instances, GwTime now);
/** Adopt the deferral of a peer: removals that are received before @p until
 * are also deferred, to @p until or later. 0: the peer defers none any longer.
 */
void GwInstances_SetPeerDeferral(GwInstances *instances, GwTime until);
/** When the deferred removal of @p id will be applied; 0: none is deferred. */
GwTime GwInstances_RemovalDeferredUntil(const GwInstances *instances,
                                        const char *id);
/** When the deferred removals are due; 0: there are none. */
GwTime GwInstances_NextRemovalAt(const GwInstances *instances);
/** Apply deferred removals that are due, and remove expired departure updates.
 */
void GwInstances_Sweep(GwInstances *instances, GwTime now);

GwInstance *GwInstances_Find(const GwInstances *instances, const char *id);
/** The listed endpoint at @p address, or NULL. If there are several, the one
 * that was added last. */
GwInstance *GwInstances_At(const GwInstances *instances,
                           const GwAddress *address);
/** Listed endpoints (GwInstance *) of @p service, or NULL. */
const GPtrArray *GwInstances_Of(const GwInstances *instances,
                                const char *service);
/** All listed endpoints (GwInstance *). */
const GPtrArray *GwInstances_All(const GwInstances *instances);
/**
 * Software versions by which a stream of @p service that is still in progress
 * may have begun: those listed now (draining, deferred removals included) or
 * within GW_STREAM_LIFETIME before @p now.
 * @param[out] only the identity, if there is exactly one and it is known; else
 *   0
 * @return their number; an endpoint whose version is unknown counts as one of
 *   its own
 */
unsigned GwInstances_SoftwareVersions(const GwInstances *instances,
                                      const char *service, GwTime now,
                                      uint64_t *only);

/** Maximum Retry-After of an endpoint that is applied. A longer one may be
 * erroneous, as from a corrupted message. */
#define GW_BACKOFF_MAX (600 * GW_SECOND)
/** Send it no requests for @p time, as it required when it refused one. */
void GwInstance_SetBackoff(GwInstance *instance, GwTime time, GwTime now);
/** Whether the agent's last report is recent. Agents send several reports per
 * second, so missing ones are noticed soon. */
GwReportState GwInstance_ReportState(const GwInstance *instance, GwTime now);
/**
 * Set the version of weights that the endpoint reported, or that an answer was
 * computed with.
 * @return whether the version is newer than the known one
 */
bool GwInstance_SetWeights(GwInstance *instance, int64_t weights);
/** Use @p cached for the parts that the engine has cached. */
void GwInstance_SetCachedParts(GwInstance *instance, GwCachedParts *cached);
GwInstance *GwInstance_Ref(GwInstance *instance);
void GwInstance_Unref(GwInstances *instances, GwInstance *instance);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
