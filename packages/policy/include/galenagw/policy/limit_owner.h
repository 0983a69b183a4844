/**
 * @defgroup limit_owner Limit owners
 * @brief The token buckets of the accounts that one process is a limit owner
 * of.
 *
 * An account has a few limit owners among a small pool of processes. All
 * processes compute them by rendezvous hashing and agree without messages.
 * Each owner holds an equal part of the limit: if one fails, the other parts
 * remain in use, and no owner takes over what another may still grant. An
 * owner that is new, or has lost its state, starts with empty buckets, so that
 * a restart or a change of the pool adds nothing to the limit.
 * @{
 */
#ifndef GALENAGW_POLICY_LIMIT_OWNER_H
#define GALENAGW_POLICY_LIMIT_OWNER_H

#include <stddef.h>

#include "galenagw/policy/limits.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Limit owners of one account. */
#define GW_LIMIT_OWNERS 3
/** Most processes in the pool; an entry is connected to all of them. */
#define GW_LIMIT_POOL_MAX 8

/** The limit owner pool, as one process computes it; plain data. */
typedef struct {
    uint64_t nodes[GW_LIMIT_POOL_MAX]; /**< address hashes, by rank */
    unsigned n;                        /**< number of nodes */
} GwLimitPool;

/**
 * Computes the pool of a fleet.
 * @param nodes address hashes of all processes, in any order
 */
GwLimitPool GwLimitPool_Of(const uint64_t *nodes, size_t n);
/** Whether @p node is in the pool. */
bool GwLimitPool_Has(const GwLimitPool *pool, uint64_t node);
/**
 * Sorts the nodes of the pool by their rank for @p key, highest first.
 * @param[out] nodes address hashes
 * @return number of nodes
 */
unsigned GwLimitPool_Rank(const GwLimitPool *pool, uint64_t key,
                          uint64_t nodes[GW_LIMIT_POOL_MAX]);
bool GwLimitPool_Equal(const GwLimitPool *x, const GwLimitPool *y);
/**
 * Computes the limit owners of @p account. A limit that is too small to be
 * split has one.
 * @param limit the account's limit in the fleet
 * @param[out] owners address hashes of the owners
 * @return number of owners
 */
unsigned GwLimitPool_Owners(const GwLimitPool *pool, const char *account,
                            const GwLimit *limit,
                            uint64_t owners[GW_LIMIT_OWNERS]);

/** An entry's request to a limit owner for units of an account, or a message
 * that returns some. */
typedef struct {
    const char *account;
    uint64_t lease_id; /**< identifies the request; repeated in the answer;
                            0: no answer is needed */
    double need;       /**< units for requests that wait; 0: none */
    double ahead;      /**< units that are expected to be needed soon */
    double unused;     /**< units of earlier leases that are returned */
} GwLimitRequest;

typedef struct GwLimitOwner GwLimitOwner;

/** @param now time at which all buckets were empty */
GwLimitOwner *GwLimitOwner_New(GwTime now);
void GwLimitOwner_Delete(GwLimitOwner *owner);
/**
 * Changes the pool at @p now. Buckets of accounts that this process no longer
 * owns are removed.
 * @param self address hash of this process
 */
void GwLimitOwner_SetPool(GwLimitOwner *owner, const GwLimitPool *pool,
                          uint64_t self, GwTime now);
/**
 * Answers @p request.
 * @param limit the account's limit in the fleet
 * @return units granted; 0 if this process is no limit owner of the account
 */
double GwLimitOwner_Answer(GwLimitOwner *owner, const GwLimit *limit,
                           const GwLimitRequest *request, GwTime now);
/**
 * Utilization of this process's part of the limit of an account, averaged over
 * some seconds: 1 if all that the part yields is used. Units that come back
 * unused do not count.
 * @return negative if it is not known, because the process has just begun to
 *   count
 */
double GwLimitOwner_Use(const GwLimitOwner *owner, const char *account,
                        GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
