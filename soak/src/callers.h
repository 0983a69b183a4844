/* Callers: each uses one connection for many requests, until it ends. */
#ifndef GALENAGW_SOAK_CALLERS_H
#define GALENAGW_SOAK_CALLERS_H

#include <memory>
#include <string>
#include <vector>

#include "galenagw/http/message.h"
#include "platform.h"
#include "processes.h"

/* A gateway as callers reach it. */
struct Gateway {
    std::unique_ptr<Process> process;
    std::unique_ptr<Proxy> path;
    /* Newest configuration that it was seen to use, and in which life. */
    int seen_version = 0;
    unsigned seen_incarnation = 0;
};

class Caller {
  public:
    Caller(Platform *platform, std::vector<std::unique_ptr<Gateway>> *gateways,
           int number);
    ~Caller();

    /* Of all callers; whoever sets them to zero counts from there. */
    static int asked, answered;

  private:
    static void OnTimer(void *user);
    static void OnData(void *user, const uint8_t *data, size_t len);
    static void OnClosed(void *user, GwTcpEnd end);
    static bool OnHead(void *user, const GwHttpHead *head);
    static bool OnBody(void *user, const char *data, size_t len);
    void Connect();
    void Ask();
    void Finish(const std::string &outcome);
    void Judge();
    void JudgeSuccess();
    void JudgeMissingRoute();
    void Disconnect();
    GwTime Draw(GwTime least, GwTime most);

    Platform *platform_;
    std::vector<std::unique_ptr<Gateway>> *gateways_;
    int number_, asked_ = 0;
    Gateway *gateway_ = nullptr;
    unsigned incarnation_ = 0;
    GwTcp *tcp_ = nullptr;
    GwHttpReader *reader_ = nullptr;
    GwTimer timer_;
    /* The request under way; its id is empty between two. */
    std::string id_, body_, signature_, answered_id_;
    Kind kind_ = Kind::kIdempotent;
    int added_ = 0; /* version whose route it asks for; 0: none */
    GwTime sent_at_ = 0, deadline_ = 0;
    bool leaves_ = false, head_ = false, retry_after_ = false, keep_ = false;
    int status_ = 0;
};

#endif
