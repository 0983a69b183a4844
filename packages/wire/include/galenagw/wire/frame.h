/**
 * @defgroup frame Frames
 * @brief Framing of the protocol between galenagw processes.
 *
 * A frame is its length (four bytes, big-endian), followed by a protobuf
 * message of type Frame. A decoder receives a byte stream in pieces of any
 * size and returns complete frames. A length above GW_FRAME_MAX, or bytes that
 * are no valid message, are protocol errors, after which the connection must
 * be closed.
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

/** Version of the protocol, sent in Hello. */
#define GW_WIRE_VERSION 1
/** Largest protobuf message of a frame, bytes. */
#define GW_FRAME_MAX (16u * 1024 * 1024)
/** Size of the length field of a frame, bytes. */
#define GW_FRAME_LENGTH_BYTES 4

/** A frame as protobuf message. */
typedef Gw__Wire__Frame GwFrame;

/**
 * Declare a frame variable @p name that contains an empty message.
 * @param msg name of the variable declared for the message
 * @param TYPE type of the message, in the spelling of constants: BODY_##TYPE
 * @param Type type of the message, in the spelling of the C type
 * @param field member of the frame that points to the message
 */
#define GW_FRAME(name, msg, TYPE, Type, field)                                \
    Gw__Wire__##Type msg = GW__WIRE__##TYPE##__INIT;                          \
    GwFrame name = GW__WIRE__FRAME__INIT;                                     \
    name.body_case = GW__WIRE__FRAME__BODY_##TYPE;                            \
    name.field = &msg

/** Append @p frame, encoded with its length, to @p out. */
void GwFrame_Encode(const GwFrame *frame, GByteArray *out);

/** Splits a received byte stream into frames. */
typedef struct GwFrameDecoder GwFrameDecoder;

GwFrameDecoder *GwFrameDecoder_New(void);
void GwFrameDecoder_Delete(GwFrameDecoder *decoder);
/** Add received bytes. */
void GwFrameDecoder_Push(GwFrameDecoder *decoder, const uint8_t *data,
                         size_t len);
/**
 * Length, bytes, of the frame that is only received in part. Valid after
 * GwFrameDecoder_Pop has returned NULL without an error.
 * @return 0 if its length field is not complete
 */
size_t GwFrameDecoder_PartialFrameSize(const GwFrameDecoder *decoder);
/**
 * Remove the next complete frame, which the caller frees with GwFrame_Free.
 * @return NULL if more bytes are needed, or if the stream violates the
 * protocol and must be closed; @p err is set only in the latter case
 */
GwFrame *GwFrameDecoder_Pop(GwFrameDecoder *decoder, GwError *err);
/** Free a frame returned by GwFrameDecoder_Pop. */
void GwFrame_Free(GwFrame *frame);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
