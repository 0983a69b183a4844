/**
 * @defgroup claims Claims
 * @brief At most one run of each request with an idempotency key, by the
 * order of claims in the log.
 *
 * Before such a request runs, its agent appends a claim and reads the log back
 * up to its own record. The first claim for a key in log order owns the key;
 * the result for all later claims names that holder. One append contains all
 * claims that are waiting (group commit). If the answer to an append was lost,
 * the same content is appended again: both copies name the same holder, so it
 * does not matter which comes first. While the log is unavailable, claims fail
 * and the request is refused as not run. The steps have the names used in
 * spec/at_most_once.pml.
 */
#ifndef GALENAGW_AGENT_CLAIMS_H
#define GALENAGW_AGENT_CLAIMS_H

#include "galenagw/platform/log_service.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct Claims Claims;

typedef enum {
    CLAIM_OWNED = 0,       /* read back: this agent's claim is the first */
    CLAIM_OWNED_ELSEWHERE, /* by another agent or incarnation */
    CLAIM_UNAVAILABLE,     /* not decided in time; the request must not run */
    CLAIM_RESULTS
} ClaimResult;

extern const char *const ClaimResult_Names[CLAIM_RESULTS];

/* 128-bit hash of account, service and idempotency key. */
typedef struct {
    uint64_t high;
    uint64_t low;
} ClaimKey;

/* `holder` is the owner's instance name; NULL if CLAIM_UNAVAILABLE. */
typedef void (*ClaimFn)(void *user, ClaimResult result, const char *holder);

typedef struct {
    const char *stream; /* log stream of this pool's claims */
    const char *holder; /* this instance's name */
    uint64_t incarnation;
    GwTime timeout; /* until a claim is CLAIM_UNAVAILABLE; 0: 2 s */
    GRand *rand;
    GwCounters *counters;
} ClaimsOptions;

Claims *Claims_New(GwLoop *loop, GwLog log, const ClaimsOptions *options);
void Claims_Delete(Claims *claims);
/* Whether the log was read to its end once, so that all earlier claims are
 * recorded. */
bool Claims_IsLogRead(const Claims *claims);
/* The identity of an idempotency key, which is scoped to account and
 * service. */
ClaimKey Claims_MakeKey(const char *account, const char *service,
                        const char *key);
/* Hash and equality functions for hash tables with ClaimKey as key. */
guint Claims_HashKey(gconstpointer p);
gboolean Claims_EqualKey(gconstpointer a, gconstpointer b);
/* Claim `key`. Calls `fn` once, possibly before this function returns. */
void Claims_Request(Claims *claims, const ClaimKey *key, ClaimFn fn,
                    void *user);
/* Cancel the request of `user`: its callback is not called. */
void Claims_CancelRequest(Claims *claims, void *user);
/* Number of recorded claims. */
size_t Claims_Count(const Claims *claims);
/* How long a claim is valid; 0: unlimited. */
void Claims_SetLifetime(Claims *claims, GwTime lifetime);
/* Delete expired claims. */
void Claims_Sweep(Claims *claims, GwTime now);
/* Whether a valid claim for `key` is recorded. */
bool Claims_IsClaimed(const Claims *claims, const ClaimKey *key);

#ifdef __cplusplus
}
#endif

#endif
