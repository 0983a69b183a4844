#include "galenagw/wire/frame.h"

#include <string.h>

/* Consumed bytes are removed from the buffer above this, or when all bytes are
 * consumed. */
#define COMPACT_THRESHOLD_BYTES (64 * 1024)

struct GwFrameDecoder {
    GByteArray *bytes; /* received */
    size_t consumed;   /* of these, already returned as frames */
};

static uint32_t read_length_(const uint8_t *p);

void
GwFrame_Encode(const GwFrame *frame, GByteArray *out)
{
    size_t len = gw__wire__frame__get_packed_size(frame);
    guint at = out->len;
    uint8_t head[GW_FRAME_LENGTH_BYTES] = {
        (uint8_t)(len >> 24),
        (uint8_t)(len >> 16),
        (uint8_t)(len >> 8),
        (uint8_t)len,
    };

    g_assert(len <= GW_FRAME_MAX);
    g_byte_array_append(out, head, GW_FRAME_LENGTH_BYTES);
    g_byte_array_set_size(out, at + GW_FRAME_LENGTH_BYTES + (guint)len);
    gw__wire__frame__pack(frame, out->data + at + GW_FRAME_LENGTH_BYTES);
}

GwFrameDecoder *
GwFrameDecoder_New(void)
{
    GwFrameDecoder *decoder = g_new0(GwFrameDecoder, 1);

    decoder->bytes = g_byte_array_new();
    return decoder;
}

void
GwFrameDecoder_Delete(GwFrameDecoder *decoder)
{
    if (decoder == NULL)
        return;
    g_byte_array_unref(decoder->bytes);
    g_free(decoder);
}

void
GwFrameDecoder_Push(GwFrameDecoder *decoder, const uint8_t *data, size_t len)
{
    g_byte_array_append(decoder->bytes, data, (guint)len);
}

GwFrame *
GwFrameDecoder_Pop(GwFrameDecoder *decoder, GwError *err)
{
    size_t available = decoder->bytes->len - decoder->consumed;
    const uint8_t *at = decoder->bytes->data + decoder->consumed;
    GwFrame *frame;
    uint32_t len;

    if (available >= GW_FRAME_LENGTH_BYTES) {
        len = read_length_(at);
        if (len > GW_FRAME_MAX) {
            GwError_Set(err, GW_ERROR_PROTOCOL,
                        "received a frame length of %u bytes, which exceeds "
                        "the limit; check that the peer uses this protocol",
                        len);
            return NULL;
        }
        if (available >= GW_FRAME_LENGTH_BYTES + len) {
            decoder->consumed += GW_FRAME_LENGTH_BYTES + len;
            frame =
                gw__wire__frame__unpack(NULL, len, at + GW_FRAME_LENGTH_BYTES);
            if (frame == NULL)
                GwError_Set(
                    err, GW_ERROR_PROTOCOL,
                    "received a frame that is not a valid message; check "
                    "that the peer uses this protocol");
            return frame;
        }
    }
    // All complete frames are consumed. Their bytes are removed here, so that
    // memory stays bounded.
    if (decoder->consumed == decoder->bytes->len ||
        decoder->consumed > COMPACT_THRESHOLD_BYTES) {
        g_byte_array_remove_range(decoder->bytes, 0, (guint)decoder->consumed);
        decoder->consumed = 0;
    }
    return NULL;
}

size_t
GwFrameDecoder_PartialFrameSize(const GwFrameDecoder *decoder)
{
    size_t available = decoder->bytes->len - decoder->consumed;

    return available >= GW_FRAME_LENGTH_BYTES
               ? read_length_(decoder->bytes->data + decoder->consumed)
               : 0;
}

void
GwFrame_Free(GwFrame *frame)
{
    gw__wire__frame__free_unpacked(frame, NULL);
}

static uint32_t
read_length_(const uint8_t *p)
{
    return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 |
           p[3];
}
