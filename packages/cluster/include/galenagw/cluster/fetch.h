/**
 * @defgroup fetch Fetching a list from peers
 * @brief Decides when a process whose list is behind requests it from a peer.
 *
 * A list may be large in relation to the link. While a copy is being received
 * from the store or from a peer, a second copy would only slow the first one
 * down. So requests are sent only while nothing is being received, to one peer
 * at a time, and to the next peer after increasing delays. This module does no
 * input or output.
 * @{
 */
#ifndef GALENAGW_CLUSTER_FETCH_H
#define GALENAGW_CLUSTER_FETCH_H

#include <stdbool.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** State of the process's own read of a list from the store. */
typedef enum {
    GW_READ_INACTIVE = 0, /**< the reads fail, or no call is under way */
    GW_READ_WAITING, /**< a call is under way, and nothing was received lately
                      */
    GW_READ_RECEIVING, /**< part of an answer was received a moment ago */
    GW_READ_STATES
} GwReadState;

/** State of the fetch of one list; initialize with zeros. */
typedef struct {
    GwTime behind_since; /**< since when the list is behind; 0: it is not */
    GwTime requested_at; /**< time of the last request to a peer; 0: none */
    GwTime progress_at;  /**< when the copy from that peer last grew */
    bool is_pending;     /**< the last request has no complete answer yet */
    unsigned unanswered; /**< consecutive requests without a complete answer */
} GwFetch;

/** Set whether the list is behind that of a peer. */
void GwFetch_SetBehind(GwFetch *fetch, bool behind, GwTime now);
/** When to request the list from a peer. If that is later than @p now,
 * call this again no later than then. */
GwTime GwFetch_NextRequestAt(const GwFetch *fetch, GwReadState read_state,
                             GwTime now);
/** An urgent update was announced: the next request need not wait for the
 * interval between two requests. */
void GwFetch_SkipBackoff(GwFetch *fetch);
/** A request for the list was sent to a peer. */
void GwFetch_NoteRequest(GwFetch *fetch, GwTime now);
/** Bytes of the copy were received at @p at. */
void GwFetch_NoteProgress(GwFetch *fetch, GwTime at);
/** The answer to the last request is complete. */
void GwFetch_NoteComplete(GwFetch *fetch);
/** The peer that the list was requested from is disconnected. */
void GwFetch_NotePeerLost(GwFetch *fetch);

/**
 * State of a read from the store.
 * @param busy a call is under way
 * @param failing the last call failed
 * @param last_received_at when the last byte of the answer was received; 0:
 * none yet
 */
GwReadState GwReadState_Of(bool busy, bool failing, GwTime last_received_at,
                           GwTime now);
/**
 * For how long a call to the store may receive nothing, while peers
 * are ahead, before its connection is considered lost. Each consecutive call
 * that was cancelled before its first byte doubles the time, because on a
 * congested link an answer takes longer than the shortest time.
 * @param has_answer_begun part of the answer was received
 * @param silent_reopens consecutive calls that were cancelled before their
 * first byte
 */
GwTime GwReadState_SilenceTimeout(bool has_answer_begun,
                                  unsigned silent_reopens);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
