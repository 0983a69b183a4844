#include "completed_requests.h"

static size_t place_(const GwDigest *request);

void
CompletedRequests_Add(CompletedRequests *c, const GwDigest *request)
{
    c->requests[place_(request)] = *request;
}

bool
CompletedRequests_Has(const CompletedRequests *c, const GwDigest *request)
{
    return GwDigest_Equal(&c->requests[place_(request)], request);
}

static size_t
place_(const GwDigest *request)
{
    return GwDigest_Hash(request) % COMPLETED_REQUESTS_MAX;
}
