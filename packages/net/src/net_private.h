/* libwebsockets callbacks that the loop registers; private to this package. */
#ifndef GALENAGW_NET_PRIVATE_H
#define GALENAGW_NET_PRIVATE_H

#include <libwebsockets.h>

int GwHttpClient_Callback(struct lws *wsi, enum lws_callback_reasons reason,
                          void *user, void *in, size_t len);
int GwTcp_Callback(struct lws *wsi, enum lws_callback_reasons reason,
                   void *user, void *in, size_t len);
int GwTcpServer_Callback(struct lws *wsi, enum lws_callback_reasons reason,
                         void *user, void *in, size_t len);
int GwLoop_WakeCallback(struct lws *wsi, enum lws_callback_reasons reason,
                        void *user, void *in, size_t len);

#endif
