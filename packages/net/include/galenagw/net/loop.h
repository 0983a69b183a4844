/**
 * @defgroup loop Loop
 * @brief The event loop of a process, on one thread, based on libwebsockets.
 *
 * All servers, clients and timers of a process belong to one GwLoop. No
 * function here blocks, and no callback may block.
 * @{
 */
#ifndef GALENAGW_NET_LOOP_H
#define GALENAGW_NET_LOOP_H

#include <libwebsockets.h>
#include <stdbool.h>

#include "galenagw/base/clock.h"
#include "galenagw/base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Time after which libwebsockets closes a connection whose peer has not sent
 * its first byte, in seconds. No timeout of this project may be longer.
 */
#define GW_LIBRARY_TIMEOUT_SECONDS 120

typedef struct GwLoop GwLoop;

/** Construction options of a loop; zero means the default. */
typedef struct {
    /** Size of the table of file descriptors; default 4096. */
    int max_connections;
} GwLoopOptions;

/** @return a new loop, or NULL with @p err; free with GwLoop_Delete. */
GwLoop *GwLoop_New(const GwLoopOptions *options, GwError *err);

/** Close every connection and free the loop. */
void GwLoop_Delete(GwLoop *loop);

/**
 * Run until GwLoop_Stop. Must be called on the thread that created the loop.
 */
void GwLoop_Run(GwLoop *loop);

/**
 * Wait for events and handle one round of them.
 * @return false after GwLoop_Stop or a failure of the library
 */
bool GwLoop_Step(GwLoop *loop);

/** Make GwLoop_Run return after the current callback. */
void GwLoop_Stop(GwLoop *loop);

/**
 * Call @p fn on the loop when the process receives SIGTERM or SIGINT. It is
 * called again for a repeated signal and must be idempotent.
 */
void GwLoop_OnTerminate(GwLoop *loop, void (*fn)(void *user), void *user);

/** Call @p fn on the loop when the process receives SIGHUP. */
void GwLoop_OnHangup(GwLoop *loop, void (*fn)(void *user), void *user);

/** The context of libwebsockets; for the other modules of this package. */
struct lws_context *GwLoop_Context(GwLoop *loop);
/**
 * The virtual host that all descriptors and outgoing connections belong to;
 * for the other modules of this package.
 */
struct lws_vhost *GwLoop_ClientHost(GwLoop *loop);
/**
 * Record that a socket is about to be read.
 * @return whether the loop may have been stalled recently, so that the input
 * may be old
 */
bool GwLoop_WasStalled(GwLoop *loop);

/**
 * A one-shot timer; embed it in a struct and initialize it with GwTimer_Init.
 *
 * The timers of libwebsockets are not used: its poll counts whole milliseconds
 * and spins through the last one before each timer, which cost more processor
 * time than everything else (docs/MEASUREMENTS.md). One timerfd wakes the loop
 * instead.
 */
typedef struct {
    GwLoop *loop;
    /** position in the loop's list of armed timers; NULL: not armed */
    GSequenceIter *place;
    GwTime due; /**< when it fires */
    void (*fn)(void *user);
    void *user;
} GwTimer;

/** Initialize @p timer to call @p fn with @p user; it is not armed yet. */
void GwTimer_Init(GwTimer *timer, GwLoop *loop, void (*fn)(void *user),
                  void *user);
/** Arm, or arm again, to fire once @p delay microseconds from now. */
void GwTimer_Start(GwTimer *timer, GwTime delay);
/** Disarm; has no effect if not armed. */
void GwTimer_Stop(GwTimer *timer);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
