/* Callers: clients of the gateways. Each sends one request after the other on
 * one connection, opens a new one when that is closed, and checks the answers.
 */
#ifndef GALENAGW_SOAK_CALLERS_H
#define GALENAGW_SOAK_CALLERS_H

#include <memory>
#include <string>
#include <vector>

#include "galenagw/http/message.h"
#include "platform.h"
#include "processes.h"

/* A gateway process and the proxy between it and the callers. */
struct Gateway {
    std::unique_ptr<Process> process;
    std::unique_ptr<Proxy> caller_proxy;
    /* Newest version of the configuration that an answer showed to be in use,
     * and the incarnation of the process that used it. */
    int newest_seen_version = 0;
    unsigned seen_incarnation = 0;
};

class Caller {
  public:
    Caller(Platform *platform, std::vector<std::unique_ptr<Gateway>> *gateways,
           int number);
    ~Caller();

    /* Requests of all callers since the soak last set these to zero. */
    static int requests_sent, requests_answered;
    /* Those of them that have prompts. */
    static int prompts_sent, prompts_answered;

  private:
    static void OnTimer(void *user);
    static void OnData(void *user, const uint8_t *data, size_t len);
    static void OnClosed(void *user, GwTcpEnd end);
    static bool OnHead(void *user, const GwHttpHead *head);
    static bool OnBody(void *user, const char *data, size_t len);
    void Connect();
    void SendRequest();
    /* Whether the caller sends only during a surge of its account. */
    bool IsSurgeCaller() const;
    std::string PromptHeaders(bool is_burst);
    /* Headers of a request that takes up stream_, and draws how the caller
     * names it. */
    std::string TakeUpHeaders();
    /* Count the outcome and schedule the next request. */
    void FinishRequest(const std::string &outcome);
    void CheckAnswer();
    void CheckSuccess();
    /* Read and record the events of the answer. */
    void ReadEvents();
    /* Record what became of stream_ and whether the caller takes it up. */
    void FinishStream(const std::string &outcome);
    void CheckMissingRoute();
    void Disconnect();
    /* A random number from @p least to @p most, both included. */
    GwTime Draw(GwTime least, GwTime most);

    Platform *platform_;
    std::vector<std::unique_ptr<Gateway>> *gateways_;
    int number_, sent_count_ = 0;
    Gateway *gateway_ = nullptr;
    /* Incarnation of the gateway when the connection was opened. */
    unsigned incarnation_ = 0;
    GwTcp *tcp_ = nullptr;
    GwHttpReader *reader_ = nullptr;
    GwTimer timer_;
    /* State of the current request. Its id is empty while there is none. */
    std::string request_id_, answer_body_, signature_, answer_request_id_;
    StreamState stream_;
    StreamName stream_name_ = StreamName::kKnown;
    /* Number of the event that the answer begins with. */
    int first_event_ = 1;
    /* Whether the gateway was undisturbed and endpoints of the stream's
     * software served when the request was sent. */
    bool must_go_on_ = false;
    GwTime retry_after_ = 0;
    RequestKind kind_ = RequestKind::kIdempotent;
    /* Version of the configuration that added the requested route; 0: the
     * route is in all versions. */
    int route_version_ = 0;
    GwTime sent_at_ = 0, deadline_ = 0;
    /* abandons_: whether the caller closes the connection before the answer;
     * has_head_: whether the head of the answer was received */
    bool abandons_ = false, has_head_ = false, has_retry_after_ = false,
         keeps_connection_ = false;
    int answer_status_ = 0;
};

#endif
