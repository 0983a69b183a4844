/* What the stand-ins' HTTP servers share; private to them. */
#ifndef GALENAGW_FAKES_FAKE_HTTP_H
#define GALENAGW_FAKES_FAKE_HTTP_H

#include "galenagw/http/server.h"

GwHttpServer *FakeHttp_Listen(GwLoop *loop, const GwAddress *address,
                              const GwHttpServerOps *ops, void *user,
                              GwError *err);
/* Answer with JSON text; the call has no user any more. */
void FakeHttp_Respond(GwHttpCall *call, int status, const char *text);

#endif
