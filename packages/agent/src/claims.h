/**
 * @defgroup claims Claims
 * @brief At most one run of a keyed call, by the log's order.
 *
 * Before a keyed call runs, its agent appends a claim and reads the log back
 * to its own record. The first claim for a key in log order owns it; all
 * others are told who does. One append carries all claims that waited
 * (group commit). An append whose answer was lost is appended again with
 * the same content: whichever copy comes first names the same holder.
 * While the log is down claims fail, and the call is refused as not run.
 * The steps have the names that spec/at_most_once.pml gives them.
 */
#ifndef GALENAGW_AGENT_CLAIMS_H
#define GALENAGW_AGENT_CLAIMS_H

#include "galenagw/platform/log_service.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct Claims Claims;

typedef enum {
    CLAIM_OURS = 0,    /* read back: ours is the first */
    CLAIM_OTHERS,      /* another holder, or an earlier life of ours */
    CLAIM_UNAVAILABLE, /* not decided in time; nothing may run */
    CLAIM_RESULTS
} ClaimResult;

extern const char *const ClaimResult_Names[CLAIM_RESULTS];

typedef struct {
    uint64_t high;
    uint64_t low;
} ClaimKey;

typedef void (*ClaimFn)(void *user, ClaimResult result, const char *holder);

typedef struct {
    const char *stream; /* of this pool's claims */
    const char *holder; /* this instance's name */
    uint64_t incarnation;
    GwTime timeout; /* for one claim; 0: 2 s */
    GRand *rand;
    GwCounters *counters;
} ClaimsOptions;

Claims *Claims_New(GwLoop *loop, GwLog log, const ClaimsOptions *options);
void Claims_Delete(Claims *claims);
/* Whether the log was read to its end once, so that old claims are known. */
bool Claims_AreKnown(const Claims *claims);
/* Identity of a key: scoped to account and service. */
ClaimKey Claims_Key(const char *account, const char *service, const char *key);
/* For hash tables by ClaimKey. */
guint Claims_HashKey(gconstpointer p);
gboolean Claims_EqualKey(gconstpointer a, gconstpointer b);
/* Decide on `key`; `fn` may be called at once. */
void Claims_Request(Claims *claims, const ClaimKey *key, ClaimFn fn,
                    void *user);
/* No callback for `user` any more. */
void Claims_Forget(Claims *claims, void *user);
size_t Claims_Count(const Claims *claims);
/* How long a claim binds its key; 0: for good. */
void Claims_SetLife(Claims *claims, GwTime life);
/* Drop claims whose life is over. */
void Claims_Sweep(Claims *claims, GwTime now);
/* Whether the log holds a claim for `key` that still binds. */
bool Claims_Binds(const Claims *claims, const ClaimKey *key);

#ifdef __cplusplus
}
#endif

#endif
