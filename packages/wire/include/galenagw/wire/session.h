/**
 * @defgroup session Sessions
 * @brief A connection between two galenagw processes.
 *
 * A session starts with a Hello in each direction; then it carries frames. The
 * end that connected sends a ping (heartbeat) per ping interval. The other end
 * sends pings only if it receives none. A session that receives nothing, or no
 * pong, during the silence timeout is closed and reported with `silent` set.
 * This detects connections whose state a device between the two ends has lost,
 * possibly in one direction only, without an error on either socket.
 *
 * A pong that is delayed behind a large frame does not count as missing while
 * parts of that frame arrive. The time for which the event loop of this
 * process was stalled does not count as silence of the peer.
 * @{
 */
#ifndef GALENAGW_WIRE_SESSION_H
#define GALENAGW_WIRE_SESSION_H

#include "galenagw/base/counters.h"
#include "galenagw/net/tcp.h"
#include "galenagw/wire/frame.h"

#ifdef __cplusplus
extern "C" {
#endif

/** One end of a session. */
typedef struct GwSession GwSession;
/** Accepts sessions on a port. */
typedef struct GwSessionServer GwSessionServer;

/** State of the sender's replica, sent with each Hello, ping and pong. */
typedef struct {
    uint64_t revision; /**< of the configuration (entry, agent) or of both
                          lists (gateway, sidecar) */
    uint64_t epoch;    /**< of the revision; a higher epoch is newer */
    /** Time since the replica of the operator list was last known to be
     * complete; negative: never. */
    GwTime operator_age;
    GwTime instances_age; /**< same for the instance list */
    /** Time before instances_age during which the platform's store answered
     * regularly; negative: unknown. */
    GwTime instances_available_for;
    bool has_news; /**< sent by GwSession_SendUrgentHeartbeat */
} GwSyncStatus;

/** Callbacks. The session is freed after on_closed. */
typedef struct {
    /** The Hello of the peer was received, with the same protocol version. */
    void (*on_ready)(void *user, GwSession *session,
                     const Gw__Wire__Hello *hello);
    /** A frame other than Hello, Ping and Pong was received. It is freed after
     * the callback. */
    void (*on_frame)(void *user, GwSession *session, const GwFrame *frame);
    /** The sync status of the peer was received. May be NULL. */
    void (*on_sync_status)(void *user, GwSession *session,
                           const GwSyncStatus *sync_status);
    /** The session was closed by the peer, by an error or, with @p silent set,
     * by the silence timeout. Not called after GwSession_Close. */
    void (*on_closed)(void *user, GwSession *session, bool silent);
} GwSessionOps;

/** Construction options of sessions. */
typedef struct {
    /** Fill in the Hello of this process, except for the version and the sync
     * status. Its strings must remain valid after the call. */
    void (*fill_hello)(void *user, Gw__Wire__Hello *hello);
    /** Fill in the sync status of this process, initialised to revision 0,
     * epoch 0 and negative ages. May be NULL: it is sent like that. */
    void (*fill_sync_status)(void *user, GwSyncStatus *sync_status);
    const GwSessionOps *ops;
    void *user;
    GwCounters *counters;
    GwTime ping_interval;   /**< ping interval; 0: 1 s */
    GwTime silence_timeout; /**< silence timeout; 0: 3 s */
} GwSessionOptions;

/** Connect to @p address; @p options is copied. on_ready or on_closed is
 * called later, from the loop. */
GwSession *GwSession_Connect(GwLoop *loop, const GwAddress *address,
                             const GwSessionOptions *options);
/** Queue @p frame for sending; ignored if the session is closed. */
void GwSession_Send(GwSession *session, const GwFrame *frame);
/** Send the sync status now, because of a change that clients would notice if
 * it reached the peer only with the next periodic heartbeat. The schedule of
 * the periodic heartbeats does not change. */
void GwSession_SendUrgentHeartbeat(GwSession *session);
/** Time when a part of a large frame (above 64 KiB) was last received; 0:
 * never. */
GwTime GwSession_LargeFrameProgressAt(const GwSession *session);
/** Whether the peer's Hello was accepted and the session is open. */
bool GwSession_IsReady(const GwSession *session);
/** Whether the peer's Hello was accepted; remains true after the close. */
bool GwSession_WasReady(const GwSession *session);
/** Close and free the session; no callback follows. NULL, or a session that is
 * already closed, is ignored. */
void GwSession_Close(GwSession *session);

/**
 * Accept sessions at @p address; all of them use @p options, which is copied.
 * @return NULL, with @p err set, if listening fails
 */
GwSessionServer *GwSessionServer_New(GwLoop *loop, const GwAddress *address,
                                     const GwSessionOptions *options,
                                     GwError *err);
/** Port that the server listens on. */
int GwSessionServer_Port(const GwSessionServer *server);
/** Close all sessions without callbacks, stop listening and free. */
void GwSessionServer_Delete(GwSessionServer *server);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
