/* Simulates the platform that the programs run on: its store, model engines
 * and plain endpoints, all on the event loop of the soak. */
#ifndef GALENAGW_SOAK_PLATFORM_H
#define GALENAGW_SOAK_PLATFORM_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "answer_sender.h"
#include "galenagw/fakes/fake_store.h"
#include "ledger.h"
#include "prefill_queue.h"
#include "proxy.h"
#include "retry_judge.h"
#include "streams.h"

class Platform;

/* Body of the fatal request, which terminates each endpoint that runs it. */
constexpr char kFatalBody[] = "ends its endpoint";

/* Id of the part of prompts that terminates each engine that begins to answer
 * on it. */
constexpr char kFatalPart[] = "fa7a1";

/* Limit of account "loud", which sends more than its limit: requests per
 * second, burst in requests, and the window, share and number of requests by
 * which the gateways may exceed it. */
constexpr int kLoudRate = 20;
constexpr int kLoudBurst = 45;
constexpr GwTime kLoudWindow = 8 * GW_SECOND;
constexpr double kLoudOverage = 0.1;
constexpr double kLoudSlack = 15;

/* Time after which no request may begin on weights older than a named version,
 * with load and without. With load, it is enough for the engines of a group,
 * about six, to switch one after the other twice. */
constexpr GwTime kWeightsBound = 8 * GW_SECOND;
constexpr GwTime kWeightsBoundWithLoad = 18 * GW_SECOND;

/* The body of a plain answer is a function of the request's id, so that
 * callers can check whether an answer is complete. */
std::string AnswerBodyOf(const std::string &id);

std::string FormatAddress(const GwAddress &a);

/* A header of the request; empty: it has none. */
std::string HeaderValue(const FakeExchange *exchange, const char *name);

/* Listening addresses: each process, proxy and endpoint has its own loopback
 * address; ports of the same kind have the same number. */
struct Ports {
    int base;
    /* The address of member @p i of @p group, with the port base + @p port. */
    GwAddress At(int group, int i, int port) const;
};
/* Offsets from Ports::base. */
enum {
    kAgentPort = 0,
    kCallerPort = 2, /* requests, at a gateway and its proxy */
    kReadyPort = 3,
    kControlPort = 4,
    kListedPort = 6, /* an endpoint's proxy, the address in its row */
    kServedPort = 7, /* an endpoint itself */
    kStorePort = 8   /* a process's proxy to the store */
};
/* Groups of loopback addresses. */
enum {
    kGatewayGroup = 0,
    kEngineGroup = 1,
    kPlainGroup = 2,
    kStoreProxyGroup = 3,
    kGatewayProxyGroup = 4
};

/* How an endpoint announces its departure. */
enum class Departure {
    kRowAndAnswers,
    kRow,
    kAnswers,
    kRemoval /* its row is removed, while it continues to serve */
};

/* When an engine sends the head of a stream. */
enum class HeadTime { kWithFirstToken, kAtOnce, kAtOnceWithComment };

/* One endpoint. Its row in the store has the address of its proxy. */
class Endpoint {
  public:
    Endpoint(Platform *platform, int number, bool is_engine);
    ~Endpoint();
    /* Terminate at once, and reset all connections. */
    void Crash();
    /* Crash, and restart after a fixed time. */
    void TerminateForAWhile();
    /* Start as a new incarnation without requests, under the same id or a new
     * one, unless it is running. @p software: its version, if not empty. */
    void Restart(const std::string &software = "");
    /* Whether it has served for @p time, and accepts new requests. */
    bool HasServedFor(GwTime time) const;
    /* Write a row with the address of this endpoint and one invalid field, as
     * another writer could, under its id or another key. Returns the key. */
    std::string WriteInvalidRow();
    /* Announce the departure. Requests that arrive more than
     * kMaxDrainPropagation later break a promise. */
    void Depart(Departure departure);
    bool IsDeparting() const;
    /* Set the rate limit that the answers announce, in requests per second of
     * all gateways combined; negative: none. */
    void SetRateLimit(double rate);
    bool HasRateLimit() const;
    /* Write the endpoint's row to the store, as its heartbeat, or remove it if
     * the endpoint departs by removal. */
    void WriteRow() const;
    void RemoveRow(const std::string &key) const;
    /* Hash of the address in its row. */
    uint64_t AddressHash() const;
    bool
    IsLoadingWeights() const
    {
        return is_running && loading_version_ != 0;
    }
    int
    weights_version() const
    {
        return weights_version_;
    }
    int
    number() const
    {
        return number_;
    }

    bool is_engine;
    bool is_running = true;
    bool is_unlisted = false; /* departs by removal of its row */
    /* Shares of requests that are answered with 500, reset, or rejected with
     * 503. */
    double error_share = 0, reset_share = 0, overload_share = 0;
    double invalid_header_share = 0; /* of answers with an invalid header */
    double silent_share = 0; /* of requests that run and get no answer */
    double broken_stream_share = 0; /* of streams that are broken off */
    double endless_share = 0; /* of requests rejected with a body that does not
                                 end */
    double late_order_share = 0; /* of load orders that get no answer and are
                                    carried out late */
    HeadTime head_time = HeadTime::kWithFirstToken; /* under load */
    std::unique_ptr<Proxy> proxy;
    PrefillQueue prefills; /* used under load */
    std::string id;
    std::string software = "v1"; /* version */

  private:
    static void OnRequest(void *user, FakeExchange *x);
    static void OnConnectionClosed(void *user, FakeExchange *x);
    static void OnLoadTimer(void *user);
    static void OnRestartTimer(void *user);
    static void OnFatalAnswerTimer(void *user);
    void TerminateByFatalRequest();
    /* Begin an answer, and terminate soon after it has been sent. */
    void BeginFatalAnswer(FakeExchange *x);
    /* Headers in which the endpoint announces its departure and rate limit. */
    std::string StatusHeaders();
    std::string LimitHeader() const;
    /* An answer to a gateway or to the sidecar announces the departure. */
    void NoteAnnounced(bool is_receiver_in_touch);
    void CheckDeparture(const std::string &request) const;
    void CheckRateLimit();
    void ServeRequest(FakeExchange *x);
    void BeginRun(FakeExchange *x);
    void AnswerRequest(FakeExchange *x);
    /* The first token of this request is sent on weights_version_. */
    void CheckWeights(const std::string &request) const;
    void SendPlainAnswer(FakeExchange *x, const std::string &head,
                         const std::string &request);
    void StartStream(FakeExchange *x, const std::string &head,
                     const std::string &request);
    /* Before each piece of a stream: check that its caller did not abandon it
     * too long ago. */
    void CheckAbandoned(const std::string &request, bool *is_recorded) const;
    struct Order {
        int version = 0;
        int expected_count = -1; /* of previous orders; negative: any */
    };
    static void OnLateOrderTimer(void *user);
    void OnLoadOrder(FakeExchange *x);
    /* Whether the engine has the version that the order asks for. */
    bool AlreadyHolds(const Order &order) const;
    /* Start to load weights, unless a load is running or the order was sent
     * for another number of previous orders. Returns whether it started. */
    bool StartLoad(const Order &order);
    /* Send the head of the answer before its prompt has been prefilled. */
    void SendHeadEarly(FakeExchange *x);
    /* Like Reject, but the answer does not end. */
    void RejectWithoutEnd(FakeExchange *x);
    /* Answer with the engine's report. */
    void SendReport(FakeExchange *x);
    /* Answer that the request has not run and will not run. */
    void Reject(FakeExchange *x, int status);
    /* Check the promises on a request that arrived. Returns whether it expects
     * another version of weights than this engine has. */
    bool CheckRequest(FakeExchange *x) const;
    std::string RowText() const; /* JSON */

    Platform *platform_;
    int number_;
    int id_count_ = 0;
    int64_t started_at_ms_ = 0; // Unix time of this incarnation
    GwTime started_at_ = 0;
    FakeHttpd *httpd_ = nullptr;
    /* loading_version_: 0 while no load is running; load_order_count_: orders
     * that this incarnation accepted */
    int weights_version_ = 1, loading_version_ = 0, load_order_count_ = 0;
    GwTimer load_timer_;
    GwTimer late_order_timer_;
    Order late_order_;
    std::set<FakeExchange *> early_heads_; /* of answers without a token */
    bool is_draining_ = false, row_shows_draining_ = false;
    GwTime departed_at_ = 0; /* when the store or a machine in touch
                                acknowledged the departure; 0: not yet */
    double rate_limit_ = -1; /* requests per second; negative: none */
    GwTime rate_limit_set_at_ = 0;
    std::deque<GwTime> arrivals_; /* of requests, in the last kLimitWindow */
    GwTimer restart_timer_;      /* after a termination by the fatal request */
    GwTimer fatal_answer_timer_; /* terminates the engine after its answer on
                                    the fatal part has begun */
};

class Platform {
  public:
    Platform(GwLoop *loop, uint64_t seed, const Ports &ports, int engines,
             int plain, Ledger *ledger);
    ~Platform();
    /* Write a new version of the configuration, with one more route. Its
     * client accounts are "acme" (isolated in some versions), "walled"
     * (isolated in most versions) and "loud" (limited). */
    void WriteNewConfig();
    /* Release the next version of the engines' weights. */
    void ReleaseWeights();
    /* Restores the last backup of the store and rewrites the current
     * configuration, version of weights and rows of running endpoints. Returns
     * all other keys ever listed; their rows, if restored, are stale. */
    std::vector<std::string> RestoreStore();
    /* The number of engines of this software that have served for
     * kContactTime. */
    int ServingEngines(const std::string &software) const;
    /* When the first version newer than this one was named; 0: none is. */
    GwTime OutdatedSince(int version) const;
    /* An engine begins to load weights: check that it is the only one of its
     * group in the schedule of switches. */
    void CheckSwitchSchedule(const Endpoint &engine) const;

    GwLoop *loop;
    std::mt19937_64 random;
    Ports ports;
    Ledger *ledger;
    FakeStore *store;
    FaultHistory store_fault_history;
    StreamJudge streams;
    RetryJudge engine_retries{"engines"}, plain_retries{"plain endpoints"};
    RetryJudge &
    RetriesTo(bool engines)
    {
        return engines ? engine_retries : plain_retries;
    }
    bool takes_up_streams = false; /* callers take up broken streams */
    /* Callers with this number and later ones send only while has_surge. */
    int usual_callers = 0;
    double account_rate = 0; /* limit of "acme" and "walled"; 0: none */
    GwTime weights_bound = kWeightsBound;
    /* has_load: engines prefill prompts, which are longer; bursts: number of
     * bursts that are going on; has_surge: "acme" sends several times its
     * usual rate */
    bool has_load = false, has_surge = false;
    int bursts = 0;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    /* Keys of all rows ever written, even if removed. */
    std::set<std::string> listed_keys;
    int config_version = 0;
    GwTime config_written_at = 0;
    int weights_version = 1;
    std::string config; /* last written to the store */
    /* Times at which the fatal request, or the fatal part, terminated an
     * endpoint. */
    std::vector<GwTime> fatal_terminations;
    /* Whether the effects of all faults had ended before the given time, so
     * that a check can require the promise without exceptions. */
    std::function<bool(GwTime)> is_settled_since;
    /* Whether the gateway that the request was sent to is in touch; see
     * kContactTime. */
    std::function<bool(const std::string &request)> is_sender_in_touch;
    /* The same for the sidecar of the engine with this number. */
    std::function<bool(int engine)> is_sidecar_in_touch;

    /* The accounts that the sender of the request must treat as isolated. */
    std::set<std::string> IsolatedAccounts(const std::string &request) const;

  private:
    void WriteReleasedWeights();
    /* Note whether the account is isolated from now on. Returns the field of
     * the configuration for it. */
    std::string IsolationField(const std::string &account, bool isolated);
    /* Whether neither the engine nor its sidecar nor their links had a fault
     * for kContactTime. */
    bool IsEngineInTouch(const Endpoint &engine) const;

    std::vector<GwTime> named_at_; /* of the versions from 2 on */
    /* Acknowledgement of the configuration that isolated the account. */
    std::map<std::string, GwTime> isolated_since_;
};

#endif
