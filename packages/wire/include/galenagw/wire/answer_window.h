/**
 * @defgroup answer_window Window of an answer
 * @brief How much of an answer an agent sends before the entry acknowledges
 * it.
 *
 * Both sides count chunks and bytes. The entry acknowledges when either number
 * reaches its interval. So, once the entry has received everything that was
 * sent, less than an interval is unacknowledged, and an agent that waits for
 * less than GW_ANSWER_WINDOW_BYTES / 2 does not wait for ever.
 * @{
 */
#ifndef GALENAGW_WIRE_ANSWER_WINDOW_H
#define GALENAGW_WIRE_ANSWER_WINDOW_H

/** Chunks that an agent sends beyond the last acknowledged one. */
#define GW_ANSWER_WINDOW_CHUNKS 64
/** With more unacknowledged bytes than this, in GW_ANSWER_ACK_CHUNKS or more
 * chunks, an agent pauses reading from the endpoint. It resumes reading when
 * no more than half of the bytes, or fewer chunks, are left. */
#define GW_ANSWER_WINDOW_BYTES (256 * 1024)
/** The entry acknowledges at least once in this number of chunks. Must not
 * become smaller than 16, the interval of older versions, which count only
 * chunks. */
#define GW_ANSWER_ACK_CHUNKS (GW_ANSWER_WINDOW_CHUNKS / 4)
/** The entry acknowledges at least once in this number of bytes of data. */
#define GW_ANSWER_ACK_BYTES (GW_ANSWER_WINDOW_BYTES / 4)

/** @} */
#endif
