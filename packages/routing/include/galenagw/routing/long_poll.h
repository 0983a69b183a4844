/**
 * @defgroup long_poll Long polling
 * @brief When a list that many processes follow is polled, and how long a call
 *   waits at the server.
 *
 * While a call waits for updates, a lost answer cannot be distinguished from
 * the absence of updates. If few processes follow the list, each call
 * therefore waits briefly. With more processes each call waits longer, because
 * a process that receives an update forwards it to the others; the calls of
 * all processes combined end as often as those of one. After a failure calls
 * do not wait, so that they detect soon when the list can be read again.
 * @{
 */
#ifndef GALENAGW_ROUTING_LONG_POLL_H
#define GALENAGW_ROUTING_LONG_POLL_H

#include <glib.h>
#include <stdbool.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** State of polling one list. Initialise with GwLongPoll_Init. */
typedef struct {
    GwTime bound;          /**< time within which a change must be known */
    unsigned cluster_size; /**< connected processes that exchange updates, this
                              one included */
    unsigned failures;     /**< failed calls in a row */
    bool is_current; /**< the last call was answered and the pending one is not
                        assumed lost */
    GwTime failing_since; /**< time of the first of these failures; 0: none */
} GwLongPoll;

/** One call. */
typedef struct {
    GwTime wait;    /**< maximum wait for updates at the server; 0: it answers
                       immediately */
    GwTime timeout; /**< time from sending after which the call is lost if
                       nothing was received */
} GwPollCall;

/** @param bound time within which a change must be known; 0:
 * GW_READ_BOUND_DEFAULT */
void GwLongPoll_Init(GwLongPoll *poll, GwTime bound);
/** Set the number of connected processes that follow the list, at least 1. */
void GwLongPoll_SetClusterSize(GwLongPoll *poll, unsigned cluster_size);
/** Returns the next call; @p full_read: it is part of a full read and does not
 * wait. */
GwPollCall GwLongPoll_Next(const GwLongPoll *poll, bool full_read,
                           GRand *rand);
/** Maximum wait of a call that is sent now. */
GwTime GwLongPoll_MaxWait(const GwLongPoll *poll);
/**
 * A call was answered.
 * @return time of the first failed call before it; 0: none failed
 */
GwTime GwLongPoll_Answered(GwLongPoll *poll);
/**
 * A call failed.
 * @return pause before the next call
 */
GwTime GwLongPoll_Failed(GwLongPoll *poll, GwTime now, GRand *rand);
/** Reset the failure count: other processes' calls were answered, so the
 * server was available. */
void GwLongPoll_ResetFailures(GwLongPoll *poll);
/** Treat the pending call as lost: the next one must not wait. */
void GwLongPoll_AssumeLost(GwLongPoll *poll);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
