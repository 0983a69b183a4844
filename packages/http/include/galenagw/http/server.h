/**
 * @defgroup http_server HTTP server
 * @brief Calls of an HTTP/1.1 server on the loop, whole or streamed.
 *
 * A call is handed over once its body has arrived in full; further requests
 * of its connection wait until it is answered. The callee answers it by
 * GwHttpCall_Respond, by Begin, Write and End, or by bytes of its own with
 * Send and Done. When the caller goes away first, `on_gone` is the last use
 * of the call.
 * @{
 */
#ifndef GALENAGW_HTTP_SERVER_H
#define GALENAGW_HTTP_SERVER_H

#include "galenagw/base/reason.h"
#include "galenagw/base/settings.h"
#include "galenagw/http/message.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwHttpServer GwHttpServer;
typedef struct GwHttpCall GwHttpCall;

/** Why a request was refused before it was whole. */
typedef enum {
    GW_HTTP_REFUSED_MALFORMED = 0,
    GW_HTTP_REFUSED_HEAD_TOO_LONG,
    GW_HTTP_REFUSED_BODY_TOO_LONG,
    GW_HTTP_REFUSED_TOO_SLOW,  /**< it did not arrive in time */
    GW_HTTP_REFUSED_NO_MEMORY, /**< bodies of all calls pass their bound */
    GW_HTTP_REFUSALS
} GwHttpRefusal;

extern const char *const GwHttpRefusal_Names[GW_HTTP_REFUSALS];

/** As what callers are told of it, and it is counted. */
GwRefusal GwHttpRefusal_Reason(GwHttpRefusal refusal);

/** What callers may send; zero means the default. */
typedef struct {
    size_t max_head;     /**< bytes; default 16 KiB */
    size_t max_body;     /**< bytes; default 4 MiB */
    GwTime head_timeout; /**< from its first byte; default 5 s */
    GwTime body_timeout; /**< without progress; default 15 s */
    GwTime idle_timeout; /**< between requests; default 60 s */
} GwHttpLimits;

/** What an HTTP server asks of its user. */
typedef struct {
    /** The whole request is there. Must not be NULL. */
    void (*on_call)(void *user, GwHttpCall *call);
    /** The caller left before the answer's end; @p call ends here. */
    void (*on_gone)(void *user, GwHttpCall *call);
    /** All output was taken by the socket; more may be written. */
    void (*on_drained)(void *user, GwHttpCall *call);
    /**
     * A request was refused before on_call. The callee may Send an answer;
     * else a plain one is sent. The connection closes behind it.
     */
    void (*on_refused)(void *user, GwHttpCall *call, GwHttpRefusal why);
} GwHttpServerOps;

/** Construction options. */
typedef struct {
    GwAddress address; /**< Port 0 takes a free one. */
    GwHttpLimits limits;
    size_t max_bodies; /**< bytes of all calls' bodies; default 64 MiB */
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
/** From the next request on. */
void GwHttpServer_SetLimits(GwHttpServer *server, const GwHttpLimits *limits);
/** Answer further calls with `Connection: close`. */
void GwHttpServer_Drain(GwHttpServer *server);
/** Close connections that carry no request and no part of one. */
void GwHttpServer_CloseIdle(GwHttpServer *server);

const char *GwHttpCall_Method(const GwHttpCall *call);
/** Path with query, as sent. */
const char *GwHttpCall_Path(const GwHttpCall *call);
/** The first value of header @p name, in any case; NULL if absent. */
const char *GwHttpCall_Header(const GwHttpCall *call, const char *name);
/** The whole head; NULL if the request was refused before its end. */
const GwHttpHead *GwHttpCall_Head(const GwHttpCall *call);
/** Ends with a NUL that @p len does not count. */
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
/** Send bytes of an answer that the callee encodes itself. */
void GwHttpCall_Send(GwHttpCall *call, const char *data, size_t len);
/** Whether the connection will close behind this answer, which its head
 * must tell. */
bool GwHttpCall_MustClose(const GwHttpCall *call);
/** The answer sent is whole. The call must not be used afterwards. */
void GwHttpCall_Done(GwHttpCall *call, bool close);
/**
 * Break the connection off: the answer is visibly incomplete. The call must
 * not be used afterwards.
 */
void GwHttpCall_Abort(GwHttpCall *call);
/** Bytes written but not yet taken by the socket. */
size_t GwHttpCall_Pending(const GwHttpCall *call);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
