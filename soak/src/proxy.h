/* A TCP proxy on loopback whose connections misbehave on demand. */
#ifndef GALENAGW_SOAK_PROXY_H
#define GALENAGW_SOAK_PROXY_H

#include <deque>
#include <list>
#include <string>

#include "galenagw/net/tcp.h"
#include "ledger.h"

class Proxy {
  public:
    Proxy(GwLoop *loop, const GwAddress &listen, const GwAddress &target);
    ~Proxy();

    /* Bytes of both directions come this much later. */
    void SetDelay(GwTime delay);
    /* Bytes towards the target, or back, are held up until it is lifted. */
    void SetCut(bool forward, bool back);
    /* Open connections go silent for good; new ones work. */
    void SilenceOpen();
    void ResetAll();
    /* New connections are reset, open ones go on. */
    void SetRefusing(bool refuse);

    Disturbance disturbance;
    GwAddress address;

  private:
    struct Pair;
    struct Side {
        Pair *pair;
        GwTcp *tcp;
        bool to_target; /* what is read here goes to the target */
        std::deque<std::pair<GwTime, std::string>> late;
        GwTimer timer;
        bool ended = false;
        GwTcpEnd end = GW_TCP_FINISHED;
    };
    struct Pair {
        Proxy *proxy;
        Side caller, target;
        bool silent = false;
        std::list<Pair *>::iterator at;
    };

    static void OnAccept(void *user, GwTcp *tcp);
    static void OnOpen(void *user);
    static void OnData(void *user, const uint8_t *data, size_t len);
    static void OnClosed(void *user, GwTcpEnd end);
    static void OnLate(void *user);
    static Side *Other(Side *side);
    static void PassEnd(Side *side);
    void ApplyCut(Pair *pair);
    void Drop(Pair *pair);

    GwLoop *loop_;
    GwAddress target_;
    GwTcpServer *server_;
    GwTime delay_ = 0;
    bool cut_forward_ = false, cut_back_ = false, refusing_ = false;
    std::list<Pair *> pairs_;
};

#endif
