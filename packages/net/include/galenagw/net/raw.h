/**
 * @defgroup raw Raw TCP
 * @brief Byte streams over libwebsockets' raw role, both directions.
 * @{
 */
#ifndef GALENAGW_NET_RAW_H
#define GALENAGW_NET_RAW_H

#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwRaw GwRaw;
typedef struct GwRawServer GwRawServer;

/** Callbacks of one stream. on_closed is the last. */
typedef struct {
    void (*on_open)(void *user);
    void (*on_data)(void *user, const uint8_t *data, size_t len);
    void (*on_closed)(void *user);
} GwRawOps;

/** Connect; on_open or on_closed follows from the loop. */
GwRaw *GwRaw_Connect(GwLoop *loop, const GwAddress *address,
                     const GwRawOps *ops, void *user);
/** Queue bytes. */
void GwRaw_Write(GwRaw *raw, const uint8_t *data, size_t len);
/** Bytes queued and not yet taken by the socket. */
size_t GwRaw_Pending(const GwRaw *raw);
/** Close; no further callback is made. Frees the stream. */
void GwRaw_Close(GwRaw *raw);
/** Set the callbacks of an accepted stream, inside on_accept. */
void GwRaw_SetOps(GwRaw *raw, const GwRawOps *ops, void *user);

/** Listen; @p on_accept gets each new stream and must call SetOps. */
GwRawServer *GwRawServer_New(GwLoop *loop, const GwAddress *address,
                             void (*on_accept)(void *user, GwRaw *raw),
                             void *user, GwError *err);
int GwRawServer_Port(const GwRawServer *server);
/** Stop listening and close what was accepted; on_closed comes for each. */
void GwRawServer_Delete(GwRawServer *server);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
