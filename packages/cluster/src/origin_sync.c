#include "origin_sync.h"

static unsigned known_versions_(const GwOriginSync *sync,
                                const GwInstances *instances,
                                const char *service);
static void on_timer_(void *user);
static bool remove_asked_(GwOriginAsk *ask, const GwSession *session);
static void decide_soon_(GwOriginAsk *ask, GwOriginAnswer answer,
                         uint64_t software);

void
GwOriginSync_Wait(GwOriginSync *sync, GwLoop *loop, GwOriginAsk *ask)
{
    GwTimer_Init(&ask->timer, loop, on_timer_, ask);
    GwTimer_Start(&ask->timer, ask->n_asked > 0 ? GW_ORIGIN_ASK_TIMEOUT : 0);
    LIST_INSERT_HEAD(&sync->asks, ask, link);
    ask->is_waiting = true;
}

void
GwOriginAsk_Cancel(GwOriginAsk *ask)
{
    if (!ask->is_waiting)
        return;
    ask->is_waiting = false;
    GwTimer_Stop(&ask->timer);
    LIST_REMOVE(ask, link);
}

void
GwOriginSync_Init(GwOriginSync *sync, bool is_agent)
{
    LIST_INIT(&sync->asks);
    sync->origins =
        is_agent ? GwStreamOrigins_New(GW_STREAM_ORIGINS_MAX) : NULL;
    sync->started_at = GwTime_Now();
}

void
GwOriginSync_Stop(GwOriginSync *sync)
{
    while (!LIST_EMPTY(&sync->asks))
        GwOriginAsk_Cancel(LIST_FIRST(&sync->asks));
    GwStreamOrigins_Delete(sync->origins);
    sync->origins = NULL;
}

void
GwOriginSync_OnTell(GwOriginSync *sync, const Gw__Wire__StreamOriginTell *msg)
{
    if (sync->origins != NULL)
        GwStreamOrigins_Store(sync->origins, msg->stream, msg->software,
                              GwTime_Now());
}

void
GwOriginSync_OnAsk(GwOriginSync *sync, const GwInstances *instances,
                   GwSession *session, const Gw__Wire__StreamOriginAsk *msg)
{
    GW_FRAME(frame, answer, STREAM_ORIGIN_ANSWER, StreamOriginAnswer,
             stream_origin_answer);

    if (sync->origins == NULL)
        return;
    answer.stream = msg->stream;
    answer.software =
        GwStreamOrigins_Find(sync->origins, msg->stream, GwTime_Now());
    answer.versions = known_versions_(sync, instances, msg->service);
    GwSession_Send(session, &frame);
}

void
GwOriginSync_OnAnswer(GwOriginSync *sync, const GwSession *session,
                      const Gw__Wire__StreamOriginAnswer *msg)
{
    GwOriginAsk *ask;

    LIST_FOREACH(ask, &sync->asks, link)
    {
        if (ask->stream != msg->stream || !remove_asked_(ask, session) ||
            ask->software != 0)
            continue;
        ask->versions = MAX(ask->versions, msg->versions);
        ask->n_answers++;
        if (msg->software != 0)
            decide_soon_(ask, GW_ORIGIN_KNOWN, msg->software);
        else if (ask->n_asked == 0)
            decide_soon_(
                ask, ask->has_failed ? GW_ORIGIN_NO_ANSWER : GW_ORIGIN_UNKNOWN,
                0);
    }
}

void
GwOriginSync_OnClosed(GwOriginSync *sync, const GwSession *session)
{
    GwOriginAsk *ask;

    LIST_FOREACH(ask, &sync->asks, link)
    {
        if (!remove_asked_(ask, session))
            continue;
        ask->has_failed = true;
        if (ask->n_asked == 0 && ask->software == 0)
            decide_soon_(ask, GW_ORIGIN_NO_ANSWER, 0);
    }
}

// A process that started a short time ago has not seen versions that departed
// before. Several versions are certain nevertheless.
static unsigned
known_versions_(const GwOriginSync *sync, const GwInstances *instances,
                const char *service)
{
    GwTime now = GwTime_Now();
    uint64_t only;
    unsigned n = GwInstances_SoftwareVersions(instances, service, now, &only);

    return n > 1 || now - sync->started_at >= GW_STREAM_LIFETIME ? n : 0;
}

// The query is decided, or an agent did not answer in time.
static void
on_timer_(void *user)
{
    GwOriginAsk *ask = user;

    GwOriginAsk_Cancel(ask);
    ask->on_decided(ask, ask->answer, ask->software);
}

// Removes the session from those that have not answered yet. Returns whether
// it was one of them.
static bool
remove_asked_(GwOriginAsk *ask, const GwSession *session)
{
    for (unsigned i = 0; i < ask->n_asked; i++) {
        if (ask->asked[i] == session) {
            ask->asked[i] = ask->asked[--ask->n_asked];
            return true;
        }
    }
    return false;
}

// The callback may cancel other queries and change sessions, so it is called
// from the timer and not from within the caller.
static void
decide_soon_(GwOriginAsk *ask, GwOriginAnswer answer, uint64_t software)
{
    ask->answer = answer;
    ask->software = software;
    GwTimer_Start(&ask->timer, 0);
}
