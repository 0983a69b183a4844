/**
 * Requests that got a complete answer at this process, as many as fit: a newer
 * one replaces an older one whose digest has the same place.
 */
#ifndef QUARANTINE_COMPLETED_REQUESTS_H
#define QUARANTINE_COMPLETED_REQUESTS_H

#include "galenagw/base/clock.h"
#include "galenagw/quarantine/digest.h"

#define COMPLETED_REQUESTS_MAX 2048

typedef struct {
    GwDigest digest;
    GwTime at;
} CompletedRequest;

/** Zeroed memory is an empty set. */
typedef struct {
    CompletedRequest requests[COMPLETED_REQUESTS_MAX];
} CompletedRequests;

void CompletedRequests_Add(CompletedRequests *completed,
                           const GwDigest *request, GwTime at);
/** @return time of the last completion; 0: none is stored */
GwTime CompletedRequests_At(const CompletedRequests *completed,
                            const GwDigest *request);

#endif
