#include "galenagw/routing/first_token_wait.h"

/* A wait counts for one to two windows: queues change within seconds. */
#define WINDOW (1500 * GW_MILLISECOND)

static void move_window_(GwFirstTokenWait *w, GwTime now);

void
GwFirstTokenWait_Sent(GwFirstTokenWait *w, GwTime now)
{
    if (w->waiting++ == 0)
        w->progress_at = now;
}

void
GwFirstTokenWait_Received(GwFirstTokenWait *w, GwTime waited, GwTime now)
{
    GwFirstTokenWait_Ended(w);
    move_window_(w, now);
    w->progress_at = now;
    w->longest = MAX(w->longest, waited);
}

void
GwFirstTokenWait_Ended(GwFirstTokenWait *w)
{
    if (w->waiting > 0)
        w->waiting--;
}

GwTime
GwFirstTokenWait_Longest(const GwFirstTokenWait *w, GwTime now)
{
    GwFirstTokenWait current = *w;
    GwTime stalled = w->waiting > 0 ? now - w->progress_at : 0;

    move_window_(&current, now);
    return MAX(MAX(current.longest, current.longest_before), stalled);
}

static void
move_window_(GwFirstTokenWait *w, GwTime now)
{
    GwTime elapsed = now - w->window_at;

    if (elapsed < WINDOW)
        return;
    w->longest_before = elapsed < 2 * WINDOW ? w->longest : 0;
    w->longest = 0;
    w->window_at = now;
}
