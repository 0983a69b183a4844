#include "completed_requests.h"

static size_t place_(const GwDigest *request);

void
CompletedRequests_Add(CompletedRequests *c, const GwDigest *request, GwTime at)
{
    CompletedRequest *place = &c->requests[place_(request)];

    if (at <= place->at)
        return;
    place->digest = *request;
    place->at = at;
}

GwTime
CompletedRequests_At(const CompletedRequests *c, const GwDigest *request)
{
    const CompletedRequest *place = &c->requests[place_(request)];

    return GwDigest_Equal(&place->digest, request) ? place->at : 0;
}

static size_t
place_(const GwDigest *request)
{
    return GwDigest_Hash(request) % COMPLETED_REQUESTS_MAX;
}
