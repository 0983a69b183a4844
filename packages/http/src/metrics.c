#include "galenagw/http/metrics.h"

/* Maximum size of the body of a request, which is ignored. */
#define MAX_BODY_BYTES 1024

static void on_call_(void *user, GwHttpCall *call);

static const GwHttpServerOps ops = {.on_call = on_call_};

GwHttpServer *
GwMetrics_Serve(GwLoop *loop, const GwAddress *address, GwCounters *counters,
                GwError *err)
{
    GwHttpServerOptions options = {
        .address = *address,
        .limits = {.max_body = MAX_BODY_BYTES},
        .ops = &ops,
        .user = counters,
    };

    return GwHttpServer_New(loop, &options, err);
}

static void
on_call_(void *user, GwHttpCall *call)
{
    g_autoptr(GString) out = g_string_new(NULL);

    GwCounters_Print(user, out);
    GwHttpCall_Respond(call, 200, "text/plain", out->str, out->len);
}
