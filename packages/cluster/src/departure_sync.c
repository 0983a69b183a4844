#include "departure_sync.h"

static void send_update_(void *user, const char *id, int64_t incarnation,
                         GwTime received_at);

void
GwDepartureSync_Send(GwSession *session, const GwDepartureUpdate *departure)
{
    send_update_(session, departure->id, departure->incarnation,
                 departure->received_at);
}

void
GwDepartureSync_SendAll(GwSession *session, const GwInstances *instances)
{
    GwInstances_EachLeaving(instances, send_update_, session);
}

bool
GwDepartureSync_OnUpdate(GwInstances *instances,
                         const Gw__Wire__EndpointLeaving *msg,
                         GwDepartureUpdate *departure)
{
    GwTime now = GwTime_Now();
    // Clamped against overflow; an announcement of this age has expired.
    uint64_t ago_ms =
        MIN(msg->told_ms, (uint64_t)(GW_LEAVING_TERM / GW_MILLISECOND));

    *departure = (GwDepartureUpdate){
        .id = msg->instance,
        .incarnation = msg->incarnation,
        .received_at = now - (GwTime)ago_ms * GW_MILLISECOND,
    };
    return departure->id[0] != '\0' && departure->incarnation >= 0 &&
           GwInstances_SetLeaving(instances, departure->id,
                                  departure->incarnation,
                                  departure->received_at, now);
}

static void
send_update_(void *user, const char *id, int64_t incarnation,
             GwTime received_at)
{
    GW_FRAME(frame, msg, ENDPOINT_LEAVING, EndpointLeaving, endpoint_leaving);

    msg.instance = (char *)id;
    msg.incarnation = incarnation;
    msg.told_ms =
        (uint64_t)(MAX(GwTime_Now() - received_at, 0) / GW_MILLISECOND);
    GwSession_Send(user, &frame);
}
