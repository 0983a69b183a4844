#include "call.h"

/* A plain service does not report how many requests it runs at once. */
#define PLAIN_SERVICE_SLOTS 32

typedef struct {
    GwLoop *loop;
    GwEndpointOptions options;
    const GwEndpointWatchOps *watch;
    void *watch_user;
    GwTimer timer;
} PlainService;

static GwEndpointCall *start_call_(void *impl,
                                   const GwEndpointRequest *request,
                                   const GwEndpointCallOps *ops, void *user);
static void set_watch_ops_(void *impl, const GwEndpointWatchOps *ops,
                           void *user);
static void report_state_(void *user);
static void delete_plain_service_(void *impl);

static const GwEndpointOps plain_service_ops = {
    start_call_,    Call_Cancel, Call_Pause,
    set_watch_ops_, NULL,        delete_plain_service_,
};

GwEndpoint
GwPlainService_New(GwLoop *loop, const GwEndpointOptions *options)
{
    PlainService *s = g_new0(PlainService, 1);

    s->loop = loop;
    s->options = *options;
    GwTimer_Init(&s->timer, loop, report_state_, s);
    return (GwEndpoint){&plain_service_ops, s};
}

static GwEndpointCall *
start_call_(void *impl, const GwEndpointRequest *request,
            const GwEndpointCallOps *ops, void *user)
{
    PlainService *s = impl;

    return Call_Start(s->loop, &s->options, request, request->body,
                      request->body_len, false, ops, user);
}

static void
set_watch_ops_(void *impl, const GwEndpointWatchOps *ops, void *user)
{
    PlainService *s = impl;

    s->watch = ops;
    s->watch_user = user;
    GwTimer_Start(&s->timer, 0);
}

static void
report_state_(void *user)
{
    PlainService *s = user;
    GwEndpointReport report = {1, PLAIN_SERVICE_SLOTS, 0, "", false};

    s->watch->on_report(s->watch_user, &report);
}

static void
delete_plain_service_(void *impl)
{
    PlainService *s = impl;

    GwTimer_Stop(&s->timer);
    g_free(s);
}
