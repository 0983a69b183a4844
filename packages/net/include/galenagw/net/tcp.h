/**
 * @defgroup tcp TCP streams
 * @brief Non-blocking byte streams on the loop, incoming and outgoing.
 *
 * The sockets belong to this module and are registered with libwebsockets as
 * plain descriptors. The raw role of libwebsockets reports an orderly close
 * and a reset in the same way, but a reader of HTTP must distinguish them: an
 * answer without a length is complete after an orderly close and truncated
 * after a reset.
 * @{
 */
#ifndef GALENAGW_NET_TCP_H
#define GALENAGW_NET_TCP_H

#include "galenagw/base/settings.h"
#include "galenagw/net/tcp_types.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Connect to @p address, an IPv4 address. on_open or on_closed follows from
 * the loop.
 */
GwTcp *GwTcp_Connect(GwLoop *loop, const GwAddress *address,
                     const GwTcpOps *ops, void *user);
/** Send bytes; those that the socket does not take at once are queued. */
void GwTcp_Write(GwTcp *tcp, const uint8_t *data, size_t len);
/** Number of queued bytes that are not yet written to the socket. */
size_t GwTcp_Pending(const GwTcp *tcp);
/**
 * Close the stream if its peer acknowledges no bytes for @p timeout, or keeps
 * its window closed for so long; the default is 3 s. For peers that may read
 * slowly.
 */
void GwTcp_SetAckTimeout(GwTcp *tcp, GwTime timeout);
/** Pause or resume reading, for a receiver that is slower than the peer. */
void GwTcp_Pause(GwTcp *tcp, bool pause);
/**
 * Close the connection and drop queued bytes; no further callback. Frees the
 * stream.
 */
void GwTcp_Close(GwTcp *tcp);
/**
 * Write the queued bytes, as long as the peer takes them, then close the
 * connection in an orderly way. Bytes that the peer still sends are read and
 * dropped until then: a close with unread bytes would reset the connection,
 * and the peer could lose the end of the answer. No further callback.
 */
void GwTcp_Finish(GwTcp *tcp);
/**
 * Close by a reset, so that the peer cannot mistake a truncated answer for a
 * complete one. No further callback.
 */
void GwTcp_Reset(GwTcp *tcp);
/**
 * From now on, any close of the established stream is a reset, also that by
 * the end of the process, unless GwTcp_Finish has written all queued bytes.
 * For an answer whose end is the end of the connection.
 */
void GwTcp_ResetUnlessFinished(GwTcp *tcp);
/** Set the callbacks of an accepted stream; call it inside on_accept. */
void GwTcp_SetOps(GwTcp *tcp, const GwTcpOps *ops, void *user);

/**
 * For a stream whose peer waits for answers: drop the received bytes if the
 * peer has closed the connection while the loop was stalled, because nobody
 * waits for the answers any longer.
 */
void GwTcp_DropAbandoned(GwTcp *tcp);

/**
 * Listen on @p address. @p on_accept receives each new stream and must call
 * GwTcp_SetOps.
 * @return NULL with @p err
 */
GwTcpServer *GwTcpServer_New(GwLoop *loop, const GwAddress *address,
                             void (*on_accept)(void *user, GwTcp *tcp),
                             void *user, GwError *err);
/** Whether bytes for a peer of an accepted stream are queued, also in an
 * orderly close. */
bool GwTcpServer_HasUnsent(const GwTcpServer *server);
/** The port in use, also if @p address named port 0. */
int GwTcpServer_Port(const GwTcpServer *server);
/**
 * Stop listening and close all accepted streams; on_closed is called for each.
 */
void GwTcpServer_Delete(GwTcpServer *server);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
