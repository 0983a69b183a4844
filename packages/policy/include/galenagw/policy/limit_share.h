/**
 * @defgroup limit_share Unit leases
 * @brief Leases units of the accounts' limits from limit owners, and spends
 * them on requests.
 *
 * This is the part that runs in an entry, a process that accepts the requests
 * of clients. A limit owner is a process that holds a token bucket with an
 * equal part of an account's limit (see limit_owner). A unit is a request, or
 * a token of prompt and answer (see limits).
 *
 * A request of a limited account takes its units from the leases, or waits
 * some milliseconds until one or more owners have granted the missing units.
 * An owner that grants less than requested has no more; one that does not
 * answer is skipped for a while. If no owner can be reached, only the small
 * offline limit of the entry can be spent. Leases expire soon and unspent
 * units are returned to their owners, so that no entry holds units that
 * another one needs.
 * @{
 */
#ifndef GALENAGW_POLICY_LIMIT_SHARE_H
#define GALENAGW_POLICY_LIMIT_SHARE_H

#include <glib.h>
#include <sys/queue.h>

#include "galenagw/policy/limit_owner.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Whether the limit of a request's account allows to send the request to an
 * endpoint. */
typedef enum {
    GW_LIMIT_GRANTED = 0, /**< its units were taken */
    GW_LIMIT_WAITING,     /**< units were requested from owners; on_decided of
                             the waiter will be called */
    GW_LIMIT_USED_UP,     /**< the account's limit has too few units left */
    GW_LIMIT_UNKNOWN,     /**< whether the limit has units left is not known:
                               no owner can be reached or answers in time, and
                               the offline limit is used up */
    GW_LIMIT_STATES
} GwLimitState;

extern const char *const GwLimitState_Names[GW_LIMIT_STATES];

/** An account and its limits. */
typedef struct {
    const char *name;
    GwLimit limit;         /**< of the account, over all entries together */
    GwLimit offline_limit; /**< what this entry may spend while it reaches no
                                owner */
} GwLimitedAccount;

/** The decision on a request. */
typedef struct {
    GwLimitState state;
    GwTime retry_after; /**< if not granted: expected time until the account
                             has enough units; 0: it never has */
    double missing;     /**< units that were not available */
} GwLimitDecision;

typedef struct GwLimitWaiter GwLimitWaiter;

/** A request that waits for units. Belongs to the caller, who initialises it
 * to zero and sets on_decided and user. */
struct GwLimitWaiter {
    TAILQ_ENTRY(GwLimitWaiter) link;
    struct GwLimitQueue *queue; /**< queue of the account; NULL: not waiting */
    double units;               /**< units that it needs */
    GwTime waiting_since;
    /** The request was decided and no longer waits. The callback may free the
     * waiter. */
    void (*on_decided)(GwLimitWaiter *waiter, const GwLimitDecision *verdict);
    void *user;
};

/** Callbacks. */
typedef struct {
    /** Sends @p request to the process with address hash @p owner.
     * @return false if it can't be reached */
    bool (*send_request)(void *user, uint64_t owner,
                         const GwLimitRequest *request);
} GwLimitShareOps;

/** Construction options. An owner is identified by its address hash, as in
 * GwLimitPool. */
typedef struct {
    const GwLimitShareOps *ops;
    void *user;
    uint64_t seed; /**< of this entry, so that entries differ in which owner
                        they ask first */
    GRand *rand;   /**< for the jitter of retry_after; borrowed */
} GwLimitShareOptions;

/** The leases of one entry from the limit owners of all accounts. */
typedef struct GwLimitShare GwLimitShare;

GwLimitShare *GwLimitShare_New(const GwLimitShareOptions *options);
/** Waiters are detached without a callback; they still belong to the
 * caller. */
void GwLimitShare_Delete(GwLimitShare *share);
/** Sets the pool whose processes are asked from now on. */
void GwLimitShare_SetPool(GwLimitShare *share, const GwLimitPool *pool);
/**
 * Takes @p units of @p account. If the result is GW_LIMIT_WAITING, on_decided
 * of
 * @p waiter is called later; the waiter must exist until then or until
 * GwLimitShare_CancelWait.
 */
GwLimitDecision GwLimitShare_Take(GwLimitShare *share,
                                  const GwLimitedAccount *account,
                                  double units, GwLimitWaiter *waiter,
                                  GwTime now);
/** Cancels the wait of @p waiter, if it waits. */
void GwLimitShare_CancelWait(GwLimitWaiter *waiter);
/** Returns granted units of a request that reached no endpoint. */
void GwLimitShare_ReturnUnits(GwLimitShare *share, const char *account,
                              double units, GwTime now);
/**
 * Adds units that an owner granted to the leases, and grants or refuses the
 * requests that wait for them.
 * @param owner address hash of the process that answered
 * @param answer of the request that was answered; only @c account and
 * @c lease_id are read
 * @param units granted; fewer than requested if the owner has no more
 */
void GwLimitShare_OnAnswer(GwLimitShare *share, uint64_t owner,
                           const GwLimitRequest *answer, double units,
                           GwTime now);
/**
 * Stores the utilization of its part of the limit of @p account that @p owner
 * has reported with an answer (see GwLimitOwner_Use).
 */
void GwLimitShare_OnUse(GwLimitShare *share, uint64_t owner,
                        const char *account, double use, GwTime now);
/** Utilization of the limit of @p account over all entries, from what its
 * owners have reported; negative: not known. */
double GwLimitShare_Use(const GwLimitShare *share, const char *account,
                        GwTime now);
/** Whether no owner of any account has answered this entry recently. */
bool GwLimitShare_IsCutOff(const GwLimitShare *share, GwTime now);
/** The connection to @p owner was closed; pending requests to it are lost. */
void GwLimitShare_OwnerLost(GwLimitShare *share, uint64_t owner, GwTime now);
/**
 * Skips owners that do not answer, and returns units of expired leases. To be
 * called every GW_LIMIT_TICK after GwLimitShare_Take.
 * @return whether it must be called again
 */
bool GwLimitShare_Tick(GwLimitShare *share, GwTime now);
#define GW_LIMIT_TICK (20 * GW_MILLISECOND)

#ifdef __cplusplus
}
#endif
/** @} */
#endif
