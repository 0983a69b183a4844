/**
 * @defgroup first_token_wait Wait for first tokens
 * @brief How long the requests of this process lately waited at an engine for
 * their first token.
 *
 * Estimates of an engine's queue assume that the engine works at its usual
 * speed, and that its agent's report is recent. An engine that is slow, has
 * stalled or has a queue that nobody reports shows it in this time.
 * @{
 */
#ifndef GALENAGW_ROUTING_FIRST_TOKEN_WAIT_H
#define GALENAGW_ROUTING_FIRST_TOKEN_WAIT_H

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Waits at one engine. All zero: none yet. The fields are for the functions
 * below. */
typedef struct {
    unsigned waiting;   /**< requests without a first token */
    GwTime progress_at; /**< last first token, or when `waiting` last rose from
                           0 */
    GwTime longest;     /**< in the current window */
    GwTime longest_before; /**< in the window before it */
    GwTime window_at;      /**< start of the current window */
} GwFirstTokenWait;

/** A request was sent. */
void GwFirstTokenWait_Sent(GwFirstTokenWait *wait, GwTime now);
/** The first token of a request came @p waited after it was sent. */
void GwFirstTokenWait_Received(GwFirstTokenWait *wait, GwTime waited,
                               GwTime now);
/** A request ended without a first token. */
void GwFirstTokenWait_Ended(GwFirstTokenWait *wait);
/** The longest wait of late. While requests wait and none gets its first
 * token, it grows; 0: nothing was observed. */
GwTime GwFirstTokenWait_Longest(const GwFirstTokenWait *wait, GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
