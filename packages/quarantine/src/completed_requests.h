/**
 * Requests, or parts of prompts, that got a complete answer lately. The last
 * COMPLETED_REQUESTS_KEPT completions are known, and earlier ones while there
 * is room: a harmless request must still be known when a failure domain fails
 * with it in flight, which may be many completions later.
 */
#ifndef QUARANTINE_COMPLETED_REQUESTS_H
#define QUARANTINE_COMPLETED_REQUESTS_H

#include "galenagw/base/clock.h"
#include "galenagw/quarantine/digest.h"

/* 20 s at 1,000 completions a second. */
#define COMPLETED_REQUESTS_KEPT 20000

typedef struct CompletedTable CompletedTable;

/** Zeroed memory is an empty set, which uses no other memory. */
typedef struct {
    CompletedTable *table; /* NULL until the first completion */
} CompletedRequests;

/** @param at not earlier than 2 * GW_QUARANTINE_RETENTION before the first
 * call's; earlier completions are ignored */
void CompletedRequests_Add(CompletedRequests *completed,
                           const GwDigest *request, GwTime at);
/** @return time of the last completion, rounded down to 10 ms; 0: none is
 * known */
GwTime CompletedRequests_At(const CompletedRequests *completed,
                            const GwDigest *request);
/** Empties the set and releases its memory. */
void CompletedRequests_Clear(CompletedRequests *completed);

#endif
