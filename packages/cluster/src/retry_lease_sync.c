#include "retry_lease_sync.h"

void
GwRetryLeaseSync_SendRequest(GwSession *session, const char *service,
                             const GwRetryLeaseRequest *request)
{
    GW_FRAME(frame, msg, RETRY_LEASE, RetryLease, retry_lease);

    msg.service = (char *)service;
    msg.retries = request->wanted;
    msg.unused = request->unused;
    msg.granted_us = request->granted_at;
    msg.asked_us = request->asked_at;
    msg.owners = request->owners;
    GwSession_Send(session, &frame);
}

unsigned
GwRetryLeaseSync_OnRequest(GwSession *session, GwRetrySlack *slack,
                           const Gw__Wire__RetryLease *msg)
{
    GwRetryLeaseRequest request = {
        .wanted = msg->retries,
        .unused = msg->unused,
        .granted_at = msg->granted_us,
        .asked_at = msg->asked_us,
        .owners = msg->owners,
    };
    GwRetryLeaseGrant grant;
    GW_FRAME(frame, answer, RETRY_LEASE, RetryLease, retry_lease);

    if (msg->service[0] == '\0')
        return 0;
    grant = GwRetrySlack_Answer(slack, msg->service, &request, GwTime_Now());
    if (request.wanted == 0)
        return 0;
    answer.service = msg->service;
    answer.retries = grant.granted;
    answer.granted_us = grant.granted_at;
    answer.asked_us = grant.asked_at;
    GwSession_Send(session, &frame);
    return grant.granted;
}

void
GwRetryLeaseSync_OnGrant(GwRetryLeases *leases, uint64_t owner,
                         const Gw__Wire__RetryLease *msg)
{
    GwRetryLeaseGrant grant = {
        .granted = msg->retries,
        .granted_at = msg->granted_us,
        .asked_at = msg->asked_us,
    };

    GwRetryLeases_OnGrant(leases, owner, msg->service, &grant, GwTime_Now());
}
