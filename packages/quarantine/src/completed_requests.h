/**
 * Requests that got a complete answer at this process, as many as fit: a newer
 * one replaces an older one whose digest has the same place.
 */
#ifndef QUARANTINE_COMPLETED_REQUESTS_H
#define QUARANTINE_COMPLETED_REQUESTS_H

#include <stdbool.h>

#include "galenagw/quarantine/digest.h"

#define COMPLETED_REQUESTS_MAX 2048

/** Zeroed memory is an empty set. */
typedef struct {
    GwDigest requests[COMPLETED_REQUESTS_MAX];
} CompletedRequests;

void CompletedRequests_Add(CompletedRequests *completed,
                           const GwDigest *request);
bool CompletedRequests_Has(const CompletedRequests *completed,
                           const GwDigest *request);

#endif
