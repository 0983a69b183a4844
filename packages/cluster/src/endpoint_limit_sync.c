#include "endpoint_limit_sync.h"

static void send_update_(void *user, const GwEndpointLimit *limit);

void
GwEndpointLimitSync_Send(GwSession *session, const GwEndpointLimit *limit)
{
    send_update_(session, limit);
}

void
GwEndpointLimitSync_SendAll(GwSession *session, const GwEndpointLimits *limits)
{
    GwEndpointLimits_Each(limits, GwTime_Now(), send_update_, session);
}

bool
GwEndpointLimitSync_OnUpdate(GwEndpointLimits *limits,
                             const Gw__Wire__EndpointLimit *msg,
                             GwEndpointLimit *limit)
{
    GwTime now = GwTime_Now();
    // Clamped against overflow; a limit of this age is expired.
    uint64_t ago_ms =
        MIN(msg->told_ms, (uint64_t)(GW_ENDPOINT_LIMIT_TERM / GW_MILLISECOND));

    *limit = (GwEndpointLimit){
        .id = msg->instance,
        .incarnation = msg->incarnation,
        .rate = msg->lifted ? GW_ENDPOINT_UNLIMITED : msg->rate,
        .received_at = now - (GwTime)ago_ms * GW_MILLISECOND,
        .version = msg->version,
    };
    return limit->id[0] != '\0' && limit->incarnation >= 0 &&
           (msg->lifted || msg->rate >= 0) &&
           GwEndpointLimits_Set(limits, limit, now);
}

void
GwEndpointLimitSync_SendDemand(GwSession *session, const char *id,
                               const GwEndpointDemand *demand)
{
    GW_FRAME(frame, msg, ENDPOINT_DEMAND, EndpointDemand, endpoint_demand);

    msg.instance = (char *)id;
    msg.want = demand->want;
    msg.base_share = demand->base;
    msg.share = demand->share;
    msg.sent_us = demand->reported_at;
    msg.granted_us = demand->granted_at;
    GwSession_Send(session, &frame);
}

void
GwEndpointLimitSync_OnDemand(GwSession *session, GwEndpointShares *shares,
                             uint64_t process,
                             const Gw__Wire__EndpointDemand *msg)
{
    GwEndpointDemand demand = {msg->want, msg->base_share, msg->share,
                               msg->sent_us, msg->granted_us};
    double part = -1;
    GW_FRAME(frame, answer, ENDPOINT_DEMAND, EndpointDemand, endpoint_demand);

    if (msg->instance[0] != '\0')
        part = GwEndpointShares_Answer(shares, msg->instance, process, &demand,
                                       GwTime_Now());
    if (part < 0)
        return;
    answer.instance = msg->instance;
    answer.share = part;
    answer.sent_us = msg->sent_us;
    GwSession_Send(session, &frame);
}

void
GwEndpointLimitSync_OnShare(GwEndpointLimits *limits, uint64_t share_owner,
                            const Gw__Wire__EndpointDemand *msg)
{
    GwEndpointLimits_SetShare(limits, msg->instance, share_owner, msg->share,
                              msg->sent_us, GwTime_Now());
}

static void
send_update_(void *user, const GwEndpointLimit *limit)
{
    GW_FRAME(frame, msg, ENDPOINT_LIMIT, EndpointLimit, endpoint_limit);

    msg.instance = (char *)limit->id;
    msg.incarnation = limit->incarnation;
    msg.rate = MAX(limit->rate, 0);
    msg.lifted = limit->rate < 0;
    msg.version = limit->version;
    msg.told_ms =
        (uint64_t)(MAX(GwTime_Now() - limit->received_at, 0) / GW_MILLISECOND);
    GwSession_Send(user, &frame);
}
