#include "fake_engine_events.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "fake_http.h"

/* Cache events that are retained; older ones are deleted. */
#define EVENTS_MAX 4096
/* Most blocks in one cache event. */
#define BLOCKS_PER_EVENT 64

static bool answer_events_(FakeEngine *e, GwHttpCall *call, uint64_t from,
                           bool allow_empty);
static void on_event_poll_timeout_(void *user);

void
FakeEngineEvents_Add(FakeEngine *e, const char *kind, const uint64_t *blocks,
                     size_t n)
{
    for (size_t at = 0; at < n; at += BLOCKS_PER_EVENT) {
        GString *text = g_string_new(NULL);
        Event *ev = g_new0(Event, 1);

        ev->seq = e->next_seq++;
        ev->visible_at = GwTime_Now() + e->options.event_delay;
        g_string_printf(text, "{\"seq\":%" PRIu64 ",\"kind\":\"%s\"", ev->seq,
                        kind);
        g_string_append(text, ",\"blocks\":[");
        for (size_t i = at; i < MIN(n, at + BLOCKS_PER_EVENT); i++)
            g_string_append_printf(text, "%s\"%016" PRIx64 "\"",
                                   i > at ? "," : "", blocks[i]);
        g_string_append(text, "]}");
        ev->json = g_string_free(text, FALSE);
        e->events_made++;
        if (e->options.drop_events > 0 &&
            e->events_made % (uint64_t)e->options.drop_events == 0) {
            g_free(ev->json);
            g_free(ev);
            continue;
        }
        g_queue_push_tail(&e->events, ev);
        if (g_queue_get_length(&e->events) > EVENTS_MAX) {
            ev = g_queue_pop_head(&e->events);
            g_free(ev->json);
            g_free(ev);
        }
    }
    GwTimer_Start(&e->event_timer, e->options.event_delay + GW_MILLISECOND);
}

void
FakeEngineEvents_Serve(FakeEngine *e, GwHttpCall *call)
{
    const char *path = GwHttpCall_Path(call);
    const char *from = strstr(path, "from=");
    uint64_t seq = from != NULL ? g_ascii_strtoull(from + 5, NULL, 10) : 0;
    EventPoll *w;

    if (answer_events_(e, call, seq, false))
        return;
    w = g_new0(EventPoll, 1);
    w->engine = e;
    w->call = call;
    w->from = seq;
    GwTimer_Init(&w->timer, e->loop, on_event_poll_timeout_, w);
    GwTimer_Start(&w->timer, GW_SECOND);
    TAILQ_INSERT_TAIL(&e->event_polls, w, link);
}

static bool
answer_events_(FakeEngine *e, GwHttpCall *call, uint64_t from,
               bool allow_empty)
{
    g_autoptr(GString) text = g_string_new(NULL);
    GwTime now = GwTime_Now();
    bool any = false;

    g_string_printf(text, "{\"incarnation\":%" PRIu64 ",\"events\":[",
                    e->incarnation);
    for (GList *l = e->events.head; l != NULL; l = l->next) {
        const Event *ev = l->data;

        if (ev->seq < from || ev->visible_at > now)
            continue;
        g_string_append_printf(text, "%s%s", any ? "," : "", ev->json);
        any = true;
    }
    if (!any && !allow_empty)
        return false;
    g_string_append(text, "]}");
    FakeHttp_Respond(call, 200, text->str);
    return true;
}

static void
on_event_poll_timeout_(void *user)
{
    EventPoll *w = user;
    FakeEngine *e = w->engine;
    GwHttpCall *call = w->call;
    uint64_t from = w->from;

    FakeEngineEvents_DeletePoll(w);
    answer_events_(e, call, from, true);
}

void
FakeEngineEvents_OnTimer(void *user)
{
    FakeEngine *e = user;
    EventPoll *w;
    EventPoll *next;

    for (w = TAILQ_FIRST(&e->event_polls); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (answer_events_(e, w->call, w->from, false))
            FakeEngineEvents_DeletePoll(w);
    }
}

void
FakeEngineEvents_DeletePoll(EventPoll *w)
{
    TAILQ_REMOVE(&w->engine->event_polls, w, link);
    GwTimer_Stop(&w->timer);
    g_free(w);
}
