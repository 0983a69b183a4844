/* State that the instances* modules share; private to this package. */
#ifndef GALENAGW_ROUTING_INSTANCES_PRIVATE_H
#define GALENAGW_ROUTING_INSTANCES_PRIVATE_H

#include "galenagw/routing/instance.h"

/* Departure update: the information that an endpoint announced in an answer
 * that it is leaving. The answer was received by this process or by a peer
 * that forwarded the update. */
typedef struct {
    int64_t incarnation; /* which announced it; 0: unknown, applies to any */
    GwTime received_at;  /* when the answer was received, by local time */
    bool was_listed; /* the instance id has been listed at some time since the
                        first of its updates was stored */
} DepartureUpdate;

struct GwInstances {
    GHashTable *departure_updates; /* id to DepartureUpdate */
    unsigned n_unlisted_updates;   /* updates with was_listed false */
    GHashTable *by_id; /* listed instances; each entry holds a reference */
    GHashTable *by_service; /* service name to GPtrArray of GwInstance */
    GPtrArray *all;
    GwSoftwareHistory *software; /* of the listed and departed instances */
    GwInstancesOps ops;
    void *user;
    /* After a store outage, removals are deferred ("held" in the names of the
     * public functions), because entries that expired during the outage are
     * written again soon. Removals received before one of the next two times
     * are deferred; later ones are applied immediately. */
    GwTime defer_received_before;      /* of this process's own deferral */
    GwTime peer_defer_received_before; /* adopted from a peer; 0: none */
    GwTime apply_deferred_at;          /* when deferred removals are applied */
    unsigned n_deferred;               /* number of deferred removals */
    uint64_t serial;                   /* of the instance added last */
};

/* Record that the id of a stored departure update has been listed, and apply
 * the update if it is for the incarnation of @p instance. The update may have
 * been received before the instance was listed. A departure in the row
 * (leaving_until 0) takes precedence, because it does not expire. */
void GwInstancesDepartures_Apply(GwInstances *instances, GwInstance *instance);
/* Remove departure updates that are older than GW_LEAVING_TERM. */
void GwInstancesDepartures_Expire(GwInstances *instances, GwTime now);

#endif
