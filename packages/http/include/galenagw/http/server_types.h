/**
 * @defgroup http_server_types HTTP server types
 * @brief Callbacks, limits and construction options of GwHttpServer.
 * @{
 */
#ifndef GALENAGW_HTTP_SERVER_TYPES_H
#define GALENAGW_HTTP_SERVER_TYPES_H

#include "galenagw/base/reason.h"
#include "galenagw/base/settings.h"
#include "galenagw/http/message.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwHttpServer GwHttpServer;
/** One request and its answer. */
typedef struct GwHttpCall GwHttpCall;

/** Reason for the refusal of a request that was not received completely. */
typedef enum {
    GW_HTTP_REFUSED_MALFORMED = 0,
    GW_HTTP_REFUSED_HEAD_TOO_LONG,
    GW_HTTP_REFUSED_BODY_TOO_LONG,
    GW_HTTP_REFUSED_TOO_SLOW, /**< it was not received in time */
    /** the bodies of all calls exceed max_bodies */
    GW_HTTP_REFUSED_NO_MEMORY,
    GW_HTTP_REFUSALS
} GwHttpRefusal;

/** Limits of requests; zero means the default. */
typedef struct {
    size_t max_head;     /**< bytes; default 16 KiB */
    size_t max_body;     /**< bytes; default 4 MiB */
    GwTime head_timeout; /**< from its first byte; default 5 s */
    GwTime body_timeout; /**< without received bytes; default 15 s */
    GwTime idle_timeout; /**< between requests; default 60 s */
} GwHttpLimits;

/** Callbacks of a server; all but on_call may be NULL. */
typedef struct {
    /** A complete request was received. Must not be NULL. */
    void (*on_call)(void *user, GwHttpCall *call);
    /**
     * The client closed the connection before the end of the answer. The call
     * is freed afterwards.
     */
    void (*on_gone)(void *user, GwHttpCall *call);
    /** All output was written to the socket; more may be written. */
    void (*on_drained)(void *user, GwHttpCall *call);
    /**
     * A request was refused before on_call. The callee may send an answer with
     * GwHttpCall_Send; otherwise a plain one is sent. The connection closes
     * after the answer.
     */
    void (*on_refused)(void *user, GwHttpCall *call, GwHttpRefusal why);
} GwHttpServerOps;

/** Construction options. */
typedef struct {
    GwAddress address; /**< Port 0 selects a free one. */
    GwHttpLimits limits;
    size_t max_bodies; /**< bytes of the bodies of all calls; default 64 MiB */
    const GwHttpServerOps *ops;
    void *user;
} GwHttpServerOptions;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
