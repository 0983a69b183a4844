/* A TCP proxy on loopback that injects faults into its connections. */
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

    /* Delay the bytes of both directions. */
    void SetDelay(GwTime delay);
    /* Stop reading bytes towards the target (@p forward) or from it (@p back)
     * on all connections, also later ones, until the next call. Bytes that
     * arrive meanwhile are forwarded afterwards. */
    void SetCut(bool forward, bool back);
    /* Forward no more bytes on the connections that are open now. New ones
     * work. */
    void StallOpenConnections();
    /* Reset all connections. */
    void ResetAll();
    /* Reset new connections at once; open ones continue. */
    void SetRefusing(bool refuse);

    FaultHistory fault_history;
    GwAddress address; /* listening */

  private:
    struct Pair;
    /* One of the two connections of a pair. */
    struct Side {
        Pair *pair;
        GwTcp *tcp;
        bool to_target; /* whether bytes read here go to the target */
        /* Bytes read here and not yet forwarded, with the time to forward
         * them. */
        std::deque<std::pair<GwTime, std::string>> delayed_bytes;
        GwTimer timer;
        bool is_closed = false;
        GwTcpEnd close_kind = GW_TCP_FINISHED; /* how the peer closed it */
    };
    /* An accepted connection and the connection to the target that belongs to
     * it. */
    struct Pair {
        Proxy *proxy;
        Side caller, target;
        bool is_stalled = false;
        std::list<Pair *>::iterator list_position; /* in pairs_ */
    };

    static void OnAccept(void *user, GwTcp *tcp);
    static void OnOpen(void *user);
    static void OnData(void *user, const uint8_t *data, size_t len);
    static void OnClosed(void *user, GwTcpEnd close_kind);
    static void OnDelayTimer(void *user);
    static Side *OtherSide(Side *side);
    /* Close the other side in the same way and remove the pair. */
    static void PropagateClose(Side *side);
    /* Pause or resume reading on both sides. */
    void ApplyCut(Pair *pair);
    void RemovePair(Pair *pair);

    GwLoop *loop_;
    GwAddress target_;
    GwTcpServer *server_;
    GwTime delay_ = 0;
    bool cut_forward_ = false, cut_back_ = false, is_refusing_ = false;
    std::list<Pair *> pairs_;
};

#endif
