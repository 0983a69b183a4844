/**
 * @defgroup quarantine Quarantine
 * @brief Requests, and parts of prompts, that are suspected of terminating the
 * endpoints that run them.
 *
 * A request that terminates the process that runs it, a query of death, is
 * retried until all endpoints have terminated. Each process records which
 * requests were in flight when endpoints terminated, from its own attempts and
 * from its peers, and refuses a request after three terminations.
 *
 * Most requests in flight at a termination are harmless. One complete answer
 * to a request clears it, whichever endpoint gave it. Simultaneous
 * terminations of most of a failure domain, such as a rack that loses power,
 * count as one, unless a request that is not known to have completed in the
 * last minutes was in flight at most of them. A request that was in flight at
 * few of the endpoints that terminated is not treated as the cause. A
 * termination counts only for the request with the most terminations among
 * those in flight at it, unless several are tied. After the quarantine term,
 * randomly selected processes retry the request, one attempt at a time. The
 * number of tracked requests is bounded, and entries expire.
 *
 * A part of prompts may terminate endpoints under requests of which no two are
 * alike. The same holds for it, with three differences. A part that completed
 * in the last minutes is suspected only after more terminations, because parts
 * of many prompts are in flight whenever an endpoint terminates. Parts that
 * were in flight at the same terminations are tied: nothing shows which of
 * them is the cause, so only prompts with all of them are refused. A prompt
 * with some of them, or with a suspected part that completed before, is
 * admitted as a probe, by few processes at a time; its outcome decides.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_QUARANTINE_H
#define GALENAGW_QUARANTINE_QUARANTINE_H

#include "galenagw/base/clock.h"
#include "galenagw/quarantine/in_flight.h"
#include "galenagw/quarantine/quarantine_options.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The termination of an endpoint's process. Plain data; the arrays are
 * borrowed. */
typedef struct {
    uint64_t endpoint;   /**< hash of its id and its start; never 0 */
    uint64_t group;      /**< hash of its service and failure domain */
    unsigned group_size; /**< endpoints in the group, including this one; 0:
                              not known */
    GwTime at;           /**< time of the termination */
    const GwDigest *requests;    /**< requests in flight there */
    size_t n_requests;           /**< number of @c requests */
    const GwPartInFlight *parts; /**< of the prompts in flight there */
    size_t n_parts;              /**< number of @c parts */
    GwQuarantineSource source;   /**< how this process learned of it */
} GwEndpointTermination;

/** Borrows the arrays of @p in_flight. */
void GwEndpointTermination_SetInFlight(GwEndpointTermination *termination,
                                       const GwInFlight *in_flight);

/** Whether a request may be sent, and if not, why. */
typedef struct {
    GwTime time_left; /**< for which it must not be sent; 0: it may be sent */
    GwSuspectKind kind;      /**< of the suspect that it is refused for */
    GwDigest suspect;        /**< the suspect */
    unsigned n_terminations; /**< of the suspect */
    GwTime since;            /**< when it was put under quarantine */
    GwQuarantineSource source;
} GwQuarantineVerdict;

/** Hash of the group of a pool's or service's endpoints in a failure domain.
 */
uint64_t GwQuarantine_Group(const char *pool, const char *failure_domain);
/** An on_changed callback that only writes a log line. */
void GwQuarantine_WarnChanged(void *user, const GwQuarantineChange *change);

GwQuarantine *GwQuarantine_New(const GwQuarantineOptions *options);
void GwQuarantine_Delete(GwQuarantine *quarantine);

/** Sets the number of processes among which retries are selected; 1 until
 * set. */
void GwQuarantine_SetProcesses(GwQuarantine *quarantine, unsigned processes);
/** Whether no request is tracked, so that no digest need be computed. */
bool GwQuarantine_IsEmpty(const GwQuarantine *quarantine);
/**
 * Records a termination. If it is known already, only what is not yet recorded
 * for it is added, and the earlier of the two times is used.
 * @param[out] new_in_flight those of its requests and parts that were new
 * @param[out] is_new whether the termination itself was new
 * @return number of new requests and parts
 */
size_t GwQuarantine_AddTermination(GwQuarantine *quarantine,
                                   const GwEndpointTermination *termination,
                                   GwTime now, GwInFlight *new_in_flight,
                                   bool *is_new);
/** @return when this endpoint terminated; 0 if no termination is known */
GwTime GwQuarantine_TerminatedAt(const GwQuarantine *quarantine,
                                 uint64_t endpoint);
/**
 * Records that the request, or a prompt with the part, got a complete answer
 * at @p at, which clears its earlier terminations. Called for each complete
 * answer, also while no request is tracked.
 * @return whether peers have to know: it cleared a termination, of a part more
 * than one, or a stored quarantine, or released the suspect
 */
bool GwQuarantine_AddCompletion(GwQuarantine *quarantine, GwSuspectKind kind,
                                const GwDigest *suspect, GwTime at,
                                GwTime now);
/** @return time of the last known completion of a suspect with terminations;
 * 0: none */
GwTime GwQuarantine_CompletedAt(const GwQuarantine *quarantine,
                                const GwDigest *suspect);
/**
 * Puts the suspect under quarantine until @p until, but at most for
 * GW_QUARANTINE_TERM_MAX, because of a stored record that another process
 * wrote and that may have outlived it.
 * @param tie see GwQuarantine_Tie
 */
void GwQuarantine_Hold(GwQuarantine *quarantine, GwSuspectKind kind,
                       const GwDigest *suspect, GwTime until, uint64_t tie,
                       GwTime now);
/** @return a number that is the same for all parts that are tied with this one
 * under quarantine; 0: it is tied with none */
uint64_t GwQuarantine_Tie(const GwQuarantine *quarantine,
                          const GwDigest *part);
/** @return time for which the suspect must not be sent; 0: it may be sent */
GwTime GwQuarantine_TimeLeft(const GwQuarantine *quarantine,
                             const GwDigest *suspect, GwTime now);
/** @return time for which a stored record of the suspect applies; 0: none is
 * needed */
GwTime GwQuarantine_RecordTime(const GwQuarantine *quarantine,
                               const GwDigest *suspect, GwTime now);
/** @return number of endpoints that terminated while the suspect was in flight
 * since its last completion */
unsigned GwQuarantine_Terminations(const GwQuarantine *quarantine,
                                   const GwDigest *suspect);

/** Whether the request may be sent, by its content and by its parts. */
GwQuarantineVerdict GwQuarantine_Check(GwQuarantine *quarantine,
                                       const GwRequestIdentity *request,
                                       GwTime now);
/** Like GwQuarantine_Check; if the request may be sent although one of its
 * suspects is under quarantine, records that a retry, or a probe, has begun.
 * No other retry begins here before this one has an outcome or times out. */
GwQuarantineVerdict GwQuarantine_Admit(GwQuarantine *quarantine,
                                       const GwRequestIdentity *request,
                                       GwTime now);
/** The request that was admitted at @p admitted_at has reached no endpoint. If
 * it was a retry, or a probe, it has no outcome, and another may begin. */
void GwQuarantine_Withdraw(GwQuarantine *quarantine,
                           const GwRequestIdentity *request,
                           GwTime admitted_at);
/** Whether another attempt of the request is permitted. After one that may
 * have run, it is not if the next termination would put the request or one of
 * its parts under quarantine: an immediate retry could terminate one more
 * endpoint before that. */
bool GwQuarantine_MayRetry(GwQuarantine *quarantine,
                           const GwRequestIdentity *request, bool may_have_run,
                           GwTime now);
/** Removes expired suspects. */
void GwQuarantine_Sweep(GwQuarantine *quarantine, GwTime now);
/** Calls @p fn with the last known completions of suspects with several
 * terminations, at most @p max_rows times. */
void
GwQuarantine_ForEachCompleted(const GwQuarantine *quarantine, size_t max_rows,
                              void (*fn)(void *user, GwSuspectKind kind,
                                         const GwDigest *suspect, GwTime at),
                              void *user);
/**
 * Calls @p fn with the stored terminations, each with one request or part, to
 * send them to a peer that may not know them. Suspects with several
 * terminations come first; at most @p max_rows calls are made.
 */
void GwQuarantine_ForEach(const GwQuarantine *quarantine, size_t max_rows,
                          void (*fn)(void *user,
                                     const GwEndpointTermination *termination),
                          void *user);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
