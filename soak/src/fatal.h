/* A caller whose request ends each endpoint that runs it. */
#ifndef GALENAGW_SOAK_FATAL_H
#define GALENAGW_SOAK_FATAL_H

#include "galenagw/net/tcp.h"

/* Sends it to one gateway, each time on a new connection and with a new id. */
class FatalCaller {
  public:
    FatalCaller(GwLoop *loop, const GwAddress &gateway, bool to_engines);
    ~FatalCaller();

  private:
    static void OnTimer(void *user);
    static void OnData(void *user, const uint8_t *data, size_t len);
    static void OnClosed(void *user, GwTcpEnd end);
    void Send();

    GwLoop *loop_;
    GwAddress gateway_;
    bool to_engines_;
    int sent_ = 0;
    GwTcp *tcp_ = nullptr;
    GwTimer timer_;
};

#endif
