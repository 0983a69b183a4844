#include "request_end.h"

#include "request_load.h"
#include "request_software.h"

void
GwRequestEnd_ReleaseInstance(GwRequest *r)
{
    GwTimer_Stop(&r->silence_timer);
    GwTimer_Stop(&r->unusable_timer);
    GwTimer_Stop(&r->withdrawal_timer);
    if (r->instance == NULL)
        return;
    // in_flight counts attempts, for the selection; -1 removes the request
    // from the load that the engine's agent is sent.
    r->instance->in_flight--;
    if (!r->has_started)
        GwFirstTokenWait_Ended(&r->instance->first_token_wait);
    GwRequestLoad_Add(r, -(int64_t)r->prefill_tokens, -1);
    r->prefill_tokens = 0;
    GwInstance_Unref(GwView_Instances(r->gateway->view), r->instance);
    r->instance = NULL;
}

// The request is freed first, because GwHttpCall_Done frees the call, of which
// the request uses the head and the body, and may parse the next request on
// the caller's connection, which must not find this one in progress. With
// false, the connection is closed only if the headers require it.
void
GwRequestEnd_Done(GwRequest *r)
{
    GwHttpCall *call = r->call;

    GwRequestEnd_Free(r);
    GwHttpCall_Done(call, false);
}

void
GwRequestEnd_Abort(GwRequest *r)
{
    GwHttpCall *call = r->call;

    GwRequestSoftware_Interrupted(r);
    GwRequestEnd_Free(r);
    GwHttpCall_Abort(call);
}

void
GwRequestEnd_Free(GwRequest *r)
{
    GwGateway *g = r->gateway;

    // NULL if the answer of the endpoint has ended.
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    GwLimitShare_CancelWait(&r->limit_waiter);
    GwOriginAsk_Cancel(&r->origin_ask);
    GwRequestEnd_ReleaseInstance(r);
    // GwRequestEnd_ReleaseInstance has stopped the last three already.
    GwTimer_Stop(&r->deadline_timer);
    GwTimer_Stop(&r->silence_timer);
    GwTimer_Stop(&r->unusable_timer);
    GwTimer_Stop(&r->withdrawal_timer);
    TAILQ_REMOVE(&g->requests, r, link);
    GwHttpHead_Free(r->reply_head);
    if (r->held_body != NULL)
        g_string_free(r->held_body, TRUE);
    GwEventSplitter_Clear(&r->event_splitter);
    GwRoutes_Unref(r->routes);
    g_free(r->cache_scope);
    g_free(r->identity);
    g_free(r);
    GwGateway_RequestEnded(g);
}
