#include "fake_http.h"

#include <string.h>

#define MAX_BODY_BYTES (16 * 1024 * 1024)
#define BODY_TIMEOUT (10 * GW_SECOND)

GwHttpServer *
FakeHttp_Listen(GwLoop *loop, const GwAddress *address,
                const GwHttpServerOps *ops, void *user, GwError *err)
{
    GwHttpServerOptions options = {
        .address = *address,
        .limits = {.max_body = MAX_BODY_BYTES, .body_timeout = BODY_TIMEOUT},
        .ops = ops,
        .user = user,
    };

    return GwHttpServer_New(loop, &options, err);
}

void
FakeHttp_Respond(GwHttpCall *call, int status, const char *text)
{
    GwHttpCall_SetUser(call, NULL);
    GwHttpCall_Respond(call, status, "application/json", text, strlen(text));
}
