#include "galenagw/cluster/fetch.h"

#include <glib.h>

/* While a call to the store is under way, the list is requested from a peer
 * only if it is behind for longer than this: a peer may receive a change one
 * round trip earlier. */
#define STORE_ANSWER_GRACE (100 * GW_MILLISECOND)
/* Least interval between two requests, of which the first was answered. */
#define REQUEST_INTERVAL (400 * GW_MILLISECOND)
/* The list is requested from the next peer if no byte of the answer is
 * received within this time. The time doubles with each request, up to
 * RETRY_DOUBLINGS_MAX times, because each of the peers may still send a
 * complete copy. */
#define REQUEST_RETRY_DELAY (400 * GW_MILLISECOND)
#define RETRY_DOUBLINGS_MAX 3
/* A copy that does not grow for this long is considered stopped; the time is
 * longer than the retransmission of a lost packet takes. */
#define PROGRESS_TIMEOUT (1 * GW_SECOND)
/* Delay before the next check while an answer of the store is received. */
#define RECEIVING_RECHECK_DELAY (300 * GW_MILLISECOND)
/* Silence timeout of a call without a byte of its answer, doubled up to
 * SILENCE_DOUBLINGS_MAX times, and of a call with part of its answer. */
#define SILENCE_BEFORE_ANSWER (300 * GW_MILLISECOND)
#define SILENCE_WITHIN_ANSWER (1 * GW_SECOND)
#define SILENCE_DOUBLINGS_MAX 3

void
GwFetch_SetBehind(GwFetch *f, bool behind, GwTime now)
{
    if (!behind) {
        f->behind_since = 0;
        f->unanswered = 0;
        f->is_pending = false;
    }
    else if (f->behind_since == 0) {
        f->behind_since = now;
    }
}

GwTime
GwFetch_NextRequestAt(const GwFetch *f, GwReadState read_state, GwTime now)
{
    GwTime at = f->behind_since;
    unsigned doublings;

    if (read_state == GW_READ_RECEIVING)
        return now + RECEIVING_RECHECK_DELAY;
    if (read_state == GW_READ_WAITING)
        at += STORE_ANSWER_GRACE;
    if (f->requested_at == 0)
        return at;
    if (!f->is_pending)
        return MAX(at, f->requested_at + REQUEST_INTERVAL);
    if (f->progress_at > f->requested_at)
        return MAX(at, f->progress_at + PROGRESS_TIMEOUT);
    doublings = MIN(f->unanswered - 1, RETRY_DOUBLINGS_MAX);
    return MAX(at, f->requested_at + (REQUEST_RETRY_DELAY << doublings));
}

void
GwFetch_SkipBackoff(GwFetch *f)
{
    if (!f->is_pending)
        f->requested_at = 0;
}

void
GwFetch_NoteRequest(GwFetch *f, GwTime now)
{
    f->requested_at = now;
    f->is_pending = true;
    f->unanswered++;
}

void
GwFetch_NoteProgress(GwFetch *f, GwTime at)
{
    f->progress_at = MAX(f->progress_at, at);
}

void
GwFetch_NoteComplete(GwFetch *f)
{
    f->is_pending = false;
    f->unanswered = 0;
}

void
GwFetch_NotePeerLost(GwFetch *f)
{
    f->is_pending = false;
}

GwReadState
GwReadState_Of(bool busy, bool failing, GwTime last_received_at, GwTime now)
{
    if (last_received_at > 0 && now - last_received_at < PROGRESS_TIMEOUT)
        return GW_READ_RECEIVING;
    return busy && !failing ? GW_READ_WAITING : GW_READ_INACTIVE;
}

GwTime
GwReadState_SilenceTimeout(bool has_answer_begun, unsigned silent_reopens)
{
    return has_answer_begun
               ? SILENCE_WITHIN_ANSWER
               : SILENCE_BEFORE_ANSWER
                     << MIN(silent_reopens, SILENCE_DOUBLINGS_MAX);
}
