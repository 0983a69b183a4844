#include "request_end.h"

#include "request_load.h"

void
GwRequestEnd_LeaveInstance(GwRequest *r)
{
    GwTimer_Stop(&r->patience);
    GwTimer_Stop(&r->withdrawal);
    if (r->instance == NULL)
        return;
    r->instance->in_flight--;
    GwRequestLoad_Add(r, -(int64_t)r->prefill, -1);
    r->prefill = 0;
    GwInstance_Unref(GwView_Instances(r->gateway->view), r->instance);
    r->instance = NULL;
}

// The connection may serve its next request from inside Done, so this one ends
// first.
void
GwRequestEnd_Done(GwRequest *r)
{
    GwHttpCall *call = r->call;

    GwRequestEnd_Free(r);
    GwHttpCall_Done(call, false);
}

void
GwRequestEnd_Break(GwRequest *r)
{
    GwHttpCall *call = r->call;

    GwRequestEnd_Free(r);
    GwHttpCall_Abort(call);
}

void
GwRequestEnd_Free(GwRequest *r)
{
    GwGateway *g = r->gateway;

    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    GwLimitShare_Leave(&r->limit_waiter);
    GwRequestEnd_LeaveInstance(r);
    GwTimer_Stop(&r->timer);
    GwTimer_Stop(&r->patience);
    GwTimer_Stop(&r->withdrawal);
    TAILQ_REMOVE(&g->requests, r, link);
    GwHttpHead_Free(r->reply_head);
    if (r->held != NULL)
        g_string_free(r->held, TRUE);
    GwEventSplitter_Clear(&r->events);
    GwRoutes_Unref(r->routes);
    g_free(r->scope);
    g_free(r);
    GwGateway_RequestEnded(g);
}
