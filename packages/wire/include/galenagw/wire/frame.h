/**
 * @defgroup frame Frames
 * @brief The inner protocol's framing: a length, then one protobuf Frame.
 *
 * The length is four bytes, big-endian. A decoder takes a byte stream in
 * any pieces and yields whole frames; a length above GW_FRAME_MAX, or bytes
 * that do not parse, end the stream.
 * @{
 */
#ifndef GALENAGW_WIRE_FRAME_H
#define GALENAGW_WIRE_FRAME_H

#include <glib.h>

#include "galenagw/base/error.h"
#include "galenagw/wire/galenagw.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Version of the inner protocol, sent in Hello. */
#define GW_WIRE_VERSION 1
/** Largest frame, bytes. */
#define GW_FRAME_MAX (16u * 1024 * 1024)
#define GW_FRAME_HEAD 4

typedef Gw__Wire__Frame GwFrame;

/** Declare frame @p name holding a message of @p Type in field @p field. */
#define GW_FRAME(name, msg, TYPE, Type, field)                                \
    Gw__Wire__##Type msg = GW__WIRE__##TYPE##__INIT;                          \
    GwFrame name = GW__WIRE__FRAME__INIT;                                     \
    name.body_case = GW__WIRE__FRAME__BODY_##TYPE;                            \
    name.field = &msg

/** Append the encoded @p frame to @p out. */
void GwFrame_Encode(const GwFrame *frame, GByteArray *out);

typedef struct GwFrameDecoder GwFrameDecoder;

GwFrameDecoder *GwFrameDecoder_New(void);
void GwFrameDecoder_Delete(GwFrameDecoder *decoder);
/** Add received bytes. */
void GwFrameDecoder_Push(GwFrameDecoder *decoder, const uint8_t *data,
                         size_t len);
/** Length of the frame of which a part has come; 0: none. After Pop. */
size_t GwFrameDecoder_Partial(const GwFrameDecoder *decoder);
/**
 * Take the next whole frame, which the caller frees by GwFrame_Free.
 * @return NULL when more bytes are needed, or with @p err set when the
 * stream is broken and must be closed.
 */
GwFrame *GwFrameDecoder_Pop(GwFrameDecoder *decoder, GwError *err);
void GwFrame_Free(GwFrame *frame);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
