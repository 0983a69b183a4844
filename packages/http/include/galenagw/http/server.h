/**
 * @defgroup http_server HTTP server
 * @brief An HTTP/1.1 server on the loop, with complete or streamed answers.
 *
 * A call, which is one request and its answer, is delivered once its body was
 * received completely; further requests of the connection wait until it is
 * answered. The callee answers with GwHttpCall_Respond, with GwHttpCall_Begin,
 * GwHttpCall_Write and GwHttpCall_End, or with bytes that it encodes itself,
 * by GwHttpCall_Send and GwHttpCall_Done. If the client closes the connection
 * first, `on_gone` is the last use of the call.
 * @{
 */
#ifndef GALENAGW_HTTP_SERVER_H
#define GALENAGW_HTTP_SERVER_H

#include "galenagw/http/server_types.h"

#ifdef __cplusplus
extern "C" {
#endif

extern const char *const GwHttpRefusal_Names[GW_HTTP_REFUSALS];

/** The reason that is sent to clients and counted in the metrics. */
GwRefusal GwHttpRefusal_Reason(GwHttpRefusal refusal);

/**
 * Listen. Delete the server before the loop.
 * @return NULL with @p err
 */
GwHttpServer *GwHttpServer_New(GwLoop *loop,
                               const GwHttpServerOptions *options,
                               GwError *err);
/** Close all connections without callbacks and free the server. */
void GwHttpServer_Delete(GwHttpServer *server);
/** Whether bytes of answers are queued for callers, also for those whose
 * connection is being closed. */
bool GwHttpServer_HasUnsent(const GwHttpServer *server);
/** The port in use, also if port 0 was requested. */
int GwHttpServer_Port(const GwHttpServer *server);
/** Set the limits of requests that are received from now on. */
void GwHttpServer_SetLimits(GwHttpServer *server, const GwHttpLimits *limits);
/** Answer all further calls with `Connection: close`. */
void GwHttpServer_Drain(GwHttpServer *server);
/** Close the connections on which no request is being received or served,
 * except those that were just accepted and have received nothing yet. */
void GwHttpServer_CloseIdle(GwHttpServer *server);

const char *GwHttpCall_Method(const GwHttpCall *call);
/** Path and query, as received. */
const char *GwHttpCall_Path(const GwHttpCall *call);
/** The first value of header @p name, in any case; NULL if absent. */
const char *GwHttpCall_Header(const GwHttpCall *call, const char *name);
/** The head; NULL if the request was refused before the end of its head. */
const GwHttpHead *GwHttpCall_Head(const GwHttpCall *call);
/** The body; it is followed by a NUL that @p len does not count. */
const char *GwHttpCall_Body(const GwHttpCall *call, size_t *len);
/** Set a pointer that the callee associates with this call. */
void GwHttpCall_SetUser(GwHttpCall *call, void *user);
void *GwHttpCall_User(const GwHttpCall *call);
/**
 * Add a response header; call it before GwHttpCall_Respond or
 * GwHttpCall_Begin.
 */
void GwHttpCall_AddHeader(GwHttpCall *call, const char *name,
                          const char *value);
/** Send a complete answer. The call must not be used afterwards. */
void GwHttpCall_Respond(GwHttpCall *call, int status, const char *type,
                        const char *body, size_t len);
/**
 * Start a streamed answer: with chunked transfer coding, or, for a client of
 * HTTP/1.0, which does not know it, ended by the end of the connection.
 */
void GwHttpCall_Begin(GwHttpCall *call, int status, const char *type);
/**
 * For an answer without length and chunks, before its first byte: it ends with
 * its connection. Until GwHttpCall_Done or GwHttpCall_End, any close of the
 * connection is a reset, so that a truncated answer cannot be mistaken for a
 * complete one.
 */
void GwHttpCall_EndWithConnection(GwHttpCall *call);
/** Send a piece of a streamed answer; an empty one is ignored. */
void GwHttpCall_Write(GwHttpCall *call, const char *data, size_t len);
/** End a streamed answer. The call must not be used afterwards. */
void GwHttpCall_End(GwHttpCall *call);
/** Send bytes of an answer that the callee encodes itself. */
void GwHttpCall_Send(GwHttpCall *call, const char *data, size_t len);
/**
 * Whether the connection will close after this answer. The head of an answer
 * that the callee encodes itself must then contain `Connection: close`.
 */
bool GwHttpCall_MustClose(const GwHttpCall *call);
/**
 * The answer was sent completely; @p close closes the connection. The call
 * must not be used afterwards.
 */
void GwHttpCall_Done(GwHttpCall *call, bool close);
/**
 * Close the connection before the end of the answer, so that the answer is
 * recognizably incomplete. The call must not be used afterwards.
 */
void GwHttpCall_Abort(GwHttpCall *call);
/** Number of bytes that are queued and not yet written to the socket. */
size_t GwHttpCall_Pending(const GwHttpCall *call);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
