/* Common functions of the stand-ins' HTTP servers; not installed. */
#ifndef GALENAGW_FAKES_FAKE_HTTP_H
#define GALENAGW_FAKES_FAKE_HTTP_H

#include "galenagw/http/server.h"

/* Starts an HTTP server with the limits of all stand-ins. */
GwHttpServer *FakeHttp_Listen(GwLoop *loop, const GwAddress *address,
                              const GwHttpServerOps *ops, void *user,
                              GwError *err);
/* Answers with JSON text and clears the user of the call. */
void FakeHttp_Respond(GwHttpCall *call, int status, const char *text);

#endif
