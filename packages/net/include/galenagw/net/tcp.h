/**
 * @defgroup tcp TCP streams
 * @brief Non-blocking byte streams on the loop, both directions.
 *
 * The sockets are ours and hang on libwebsockets' loop as plain descriptors.
 * Its own raw role reports an orderly end and a reset alike, and a reader of
 * HTTP must tell them apart: an answer without a length is whole after the
 * first and cut after the second.
 * @{
 */
#ifndef GALENAGW_NET_TCP_H
#define GALENAGW_NET_TCP_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwTcp GwTcp;
typedef struct GwTcpServer GwTcpServer;

/** How a stream ended. */
typedef enum {
    GW_TCP_FINISHED = 0, /**< the peer sent its end */
    GW_TCP_RESET,        /**< reset, timed out, or the socket failed */
    GW_TCP_UNREACHABLE,  /**< never opened: no byte was sent */
    GW_TCP_ENDS
} GwTcpEnd;

extern const char *const GwTcpEnd_Names[GW_TCP_ENDS];

/** Callbacks of one stream; on_closed is the last. Any but on_data and
 * on_closed may be NULL. */
typedef struct {
    void (*on_open)(void *user);
    void (*on_data)(void *user, const uint8_t *data, size_t len);
    void (*on_closed)(void *user, GwTcpEnd end);
    /** All queued bytes were taken by the socket. */
    void (*on_drained)(void *user);
} GwTcpOps;

/** Connect; on_open or on_closed follows from the loop. */
GwTcp *GwTcp_Connect(GwLoop *loop, const GwAddress *address,
                     const GwTcpOps *ops, void *user);
/** Queue bytes; written at once when the socket takes them. */
void GwTcp_Write(GwTcp *tcp, const uint8_t *data, size_t len);
/** Bytes queued and not yet taken by the socket. */
size_t GwTcp_Pending(const GwTcp *tcp);
/** Stop or go on reading, for a slower side behind. */
void GwTcp_Pause(GwTcp *tcp, bool pause);
/** Close; no further callback is made. Frees the stream. */
void GwTcp_Close(GwTcp *tcp);
/**
 * Write what is queued, then close in order. What the peer still sends is
 * read and dropped for a while: closing with unread bytes would reset the
 * connection, and take the last answer with it. No further callback.
 */
void GwTcp_Finish(GwTcp *tcp);
/** Close by a reset, so that the peer cannot take a cut answer for whole. */
void GwTcp_Reset(GwTcp *tcp);
/** Set the callbacks of an accepted stream, inside on_accept. */
void GwTcp_SetOps(GwTcp *tcp, const GwTcpOps *ops, void *user);

/**
 * Of a stream whose peer waits for answers: what it sent before it closed is
 * dropped if our loop stood still meanwhile, as nobody waits any more.
 */
void GwTcp_DropAbandoned(GwTcp *tcp);

/** Listen; @p on_accept gets each new stream and must call SetOps. */
GwTcpServer *GwTcpServer_New(GwLoop *loop, const GwAddress *address,
                             void (*on_accept)(void *user, GwTcp *tcp),
                             void *user, GwError *err);
int GwTcpServer_Port(const GwTcpServer *server);
/** Stop listening and close what was accepted; on_closed comes for each. */
void GwTcpServer_Delete(GwTcpServer *server);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
