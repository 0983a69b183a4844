/* Callbacks of the libwebsockets protocols that GwLoop_New registers; private
 * to this package. */
#ifndef GALENAGW_NET_PRIVATE_H
#define GALENAGW_NET_PRIVATE_H

#include <libwebsockets.h>

/* Events of the sockets of GwTcp. */
int GwTcp_Callback(struct lws *wsi, enum lws_callback_reasons reason,
                   void *user, void *in, size_t len);
/* Events of the listening sockets of GwTcpServer. */
int GwTcpServer_Callback(struct lws *wsi, enum lws_callback_reasons reason,
                         void *user, void *in, size_t len);
/* Events of the loop's timerfd and of the eventfd for signals. */
int GwLoop_WakeCallback(struct lws *wsi, enum lws_callback_reasons reason,
                        void *user, void *in, size_t len);

#endif
