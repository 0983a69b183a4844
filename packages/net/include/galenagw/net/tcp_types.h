/**
 * @addtogroup tcp
 * @{
 */
#ifndef GALENAGW_NET_TCP_TYPES_H
#define GALENAGW_NET_TCP_TYPES_H

#include <stddef.h>
#include <stdint.h>

#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/** One TCP connection. */
typedef struct GwTcp GwTcp;
/** A listening socket and the connections that it has accepted. */
typedef struct GwTcpServer GwTcpServer;

/** Reason for the close of a stream. */
typedef enum {
    GW_TCP_FINISHED = 0, /**< orderly close by the peer */
    GW_TCP_RESET,        /**< reset, timeout or failure of the socket */
    /** the connection was not established: no byte was sent */
    GW_TCP_UNREACHABLE,
    GW_TCP_ENDS
} GwTcpEnd;

/** Names of the reasons, for logs. */
extern const char *const GwTcpEnd_Names[GW_TCP_ENDS];

/**
 * Callbacks of one stream; on_closed is the last. All but on_data and
 * on_closed may be NULL.
 */
typedef struct {
    /** The connection is established. */
    void (*on_open)(void *user);
    /** Bytes were received. */
    void (*on_data)(void *user, const uint8_t *data, size_t len);
    /**
     * The connection was closed, but not by a call of its user; the stream is
     * freed afterwards.
     */
    void (*on_closed)(void *user, GwTcpEnd end);
    /** All queued bytes were written to the socket. */
    void (*on_drained)(void *user);
} GwTcpOps;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
