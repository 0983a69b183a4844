/* Departure updates: peers notify each other of endpoints that have announced
 * their departure in an answer. */
#ifndef GALENAGW_CLUSTER_DEPARTURE_SYNC_H
#define GALENAGW_CLUSTER_DEPARTURE_SYNC_H

#include "galenagw/routing/instances.h"
#include "galenagw/wire/session.h"

/* Announcement of one endpoint's departure. */
typedef struct {
    const char *id;
    int64_t incarnation;
    GwTime received_at; /* when the endpoint's answer was received */
} GwDepartureUpdate;

void GwDepartureSync_Send(GwSession *session,
                          const GwDepartureUpdate *departure);
/* Send all known departures to a peer that has just connected. */
void GwDepartureSync_SendAll(GwSession *session, const GwInstances *instances);
/* Store a departure that a peer sent, if it is well-formed and not yet known
 * (see GwInstances_SetLeaving).
 * @param[out] departure the received departure, for forwarding it to other
 *                       peers if it was new; its id points into @p msg
 * @return whether it was new */
bool GwDepartureSync_OnUpdate(GwInstances *instances,
                              const Gw__Wire__EndpointLeaving *msg,
                              GwDepartureUpdate *departure);

#endif
