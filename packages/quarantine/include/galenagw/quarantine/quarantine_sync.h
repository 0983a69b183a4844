/**
 * @defgroup quarantine_sync Quarantine updates
 * @brief Exchange of quarantine updates between peers: encodes terminations
 * and completions as frames of a session, and adds received ones to the
 * quarantine.
 *
 * A process that receives something new forwards it to all its peers except
 * the sender. Known updates are not forwarded, so each process forwards an
 * update once, by whatever paths it receives it.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_QUARANTINE_SYNC_H
#define GALENAGW_QUARANTINE_QUARANTINE_SYNC_H

#include "galenagw/quarantine/quarantine.h"
#include "galenagw/wire/session.h"

#ifdef __cplusplus
extern "C" {
#endif

/** An update that was new to the receiver and is to be forwarded. */
typedef struct {
    bool is_termination;               /**< false: a completion */
    GwEndpointTermination termination; /**< the termination */
    GwSuspectKind completed_kind;      /**< kind of @c completed */
    GwDigest completed;  /**< the request, or part, that was completed */
    GwTime completed_at; /**< time of the completion */
} GwQuarantineUpdate;

/** Callbacks of the process that makes or receives updates. */
typedef struct {
    /** An update was new; @p from is the session that it came from; NULL: this
     * process has made it. */
    void (*on_update)(void *user, GwSession *from,
                      const GwQuarantineUpdate *update);
    /** Number of endpoints in @p group, for a termination whose sender does
     * not know it; or NULL. */
    unsigned (*group_size)(void *user, uint64_t group);
} GwQuarantineSyncOps;

/**
 * Records that @p request got a complete answer now, and passes what peers
 * have to know of that to on_update, with no session. A success also clears
 * the parts of its prompt; an endpoint may answer with an error before it has
 * read them.
 * @param status HTTP status of the answer
 */
void GwQuarantineSync_AddCompletion(GwQuarantine *quarantine,
                                    const GwRequestIdentity *request,
                                    int status, const GwQuarantineSyncOps *ops,
                                    void *user);
/** Sends one update. */
void GwQuarantineSync_Send(GwSession *session,
                           const GwQuarantineUpdate *update);
/** Sends stored terminations, those of requests with several first and at most
 * 512 rows, to a peer that may know none of them. */
void GwQuarantineSync_SendAll(GwSession *session,
                              const GwQuarantine *quarantine);
/**
 * Adds the update in a frame received from @p from to @p quarantine, and
 * sends what @p from does not know of its requests and parts; NULL: nothing.
 * @return false if the frame is no quarantine update
 */
bool GwQuarantineSync_OnFrame(GwQuarantine *quarantine, GwSession *from,
                              const GwFrame *frame,
                              const GwQuarantineSyncOps *ops, void *user);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
