/* A caller that repeats one request at a fixed interval. */
#ifndef GALENAGW_SOAK_REPEATER_H
#define GALENAGW_SOAK_REPEATER_H

#include <functional>
#include <string>

#include "galenagw/net/tcp.h"

/* Sends the request to one gateway, each time on a new connection and with a
 * new id. The answer is ignored. */
class Repeater {
  public:
    struct Options {
        GwAddress gateway;
        GwTime interval;    /* between two requests */
        std::string prefix; /* of the request ids */
        /* Returns the text of the request with this id. */
        std::function<std::string(const std::string &id)> request;
    };

    Repeater(GwLoop *loop, Options options);
    ~Repeater();

  private:
    static void OnTimer(void *user);
    static void OnData(void *user, const uint8_t *data, size_t len);
    static void OnClosed(void *user, GwTcpEnd end);
    void Send();

    GwLoop *loop_;
    Options options_;
    int sent_count_ = 0;
    GwTcp *tcp_ = nullptr;
    GwTimer timer_;
};

#endif
