/**
 * @defgroup http_server HTTP server
 * @brief Calls of an HTTP/1.1 server on the loop, whole or streamed.
 *
 * A call is handed over once its body has arrived in full. The callee
 * answers it by GwHttpCall_Respond, or by Begin, Write and End. When the
 * caller goes away first, `on_gone` is the last use of the call.
 * @{
 */
#ifndef GALENAGW_NET_HTTP_SERVER_H
#define GALENAGW_NET_HTTP_SERVER_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwHttpServer GwHttpServer;
typedef struct GwHttpCall GwHttpCall;

/** What an HTTP server asks of its user. */
typedef struct {
    /** The whole request is there. Must not be NULL. */
    void (*on_call)(void *user, GwHttpCall *call);
    /** The caller left before the answer's end; @p call ends here. */
    void (*on_gone)(void *user, GwHttpCall *call);
    /** Output fell below half of the bound; more may be written. */
    void (*on_drained)(void *user, GwHttpCall *call);
    /** A request was refused before on_call; @p status says why. */
    void (*on_refused)(void *user, int status);
} GwHttpServerOps;

/** Construction options. */
typedef struct {
    GwAddress address;   /**< Port 0 takes a free one. */
    size_t max_body;     /**< Bytes; larger bodies get 413. */
    GwTime body_timeout; /**< For a slow caller's body. */
    const GwHttpServerOps *ops;
    void *user;
} GwHttpServerOptions;

/** Listen. @return NULL with @p err. Delete it before the loop. */
GwHttpServer *GwHttpServer_New(GwLoop *loop,
                               const GwHttpServerOptions *options,
                               GwError *err);
/** Close all its connections without callbacks; frees the server. */
void GwHttpServer_Delete(GwHttpServer *server);
/** The port in use, also when 0 was asked for. */
int GwHttpServer_Port(const GwHttpServer *server);
/** Answer further calls with `Connection: close`. */
void GwHttpServer_CloseIdle(GwHttpServer *server);

const char *GwHttpCall_Method(const GwHttpCall *call);
/** Path with query, as sent. */
const char *GwHttpCall_Path(const GwHttpCall *call);
/** Value of @p name (lower case) if it is one of the kept headers. */
const char *GwHttpCall_Header(const GwHttpCall *call, const char *name);
const char *GwHttpCall_Body(const GwHttpCall *call, size_t *len);
/** The user's own pointer for this call. */
void GwHttpCall_SetUser(GwHttpCall *call, void *user);
void *GwHttpCall_User(const GwHttpCall *call);
/** Add a response header; before Respond or Begin. */
void GwHttpCall_AddHeader(GwHttpCall *call, const char *name,
                          const char *value);
/** Answer in one piece. The call must not be used afterwards. */
void GwHttpCall_Respond(GwHttpCall *call, int status, const char *type,
                        const char *body, size_t len);
/** Start a streamed answer (chunked transfer coding). */
void GwHttpCall_Begin(GwHttpCall *call, int status, const char *type);
void GwHttpCall_Write(GwHttpCall *call, const char *data, size_t len);
/** End a streamed answer. The call must not be used afterwards. */
void GwHttpCall_End(GwHttpCall *call);
/** Break the connection off: the answer is visibly incomplete. */
void GwHttpCall_Abort(GwHttpCall *call);
/** Bytes written but not yet taken by the socket. */
size_t GwHttpCall_Pending(const GwHttpCall *call);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
