/* The platform that the programs run on, played by the soak: its store, model
 * engines and plain endpoints, all on the soak's loop. */
#ifndef GALENAGW_SOAK_PLATFORM_H
#define GALENAGW_SOAK_PLATFORM_H

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_httpd.h"
#include "galenagw/fakes/fake_store.h"
#include "ledger.h"
#include "proxy.h"

class Platform;

/* A body that ends each endpoint that runs it. */
constexpr char kFatal[] = "ends its endpoint";

/* The limit of account "loud", in requests, and how exactly it is kept. */
constexpr int kLoudRate = 20;
constexpr int kLoudBurst = 45;
constexpr GwTime kLoudWindow = 8 * GW_SECOND;
constexpr double kLoudOverage = 0.1;
constexpr double kLoudSlack = 15;

/* Events of a stream, and the length of a plain answer, follow from the
 * request's id: callers know what is whole. */
int EventsOf(const std::string &id);
std::string EventOf(const std::string &id, int n);
std::string BodyOf(const std::string &id);

/* Where things listen: one loopback address for each, equal ports. */
struct Ports {
    int base;
    GwAddress At(int group, int i, int port) const;
};
enum {
    kAgentPort = 0,
    kCallers = 2,
    kReady = 3,
    kControl = 4,
    kListed = 6,
    kServed = 7,
    kStore = 8
};
enum { kGateways = 0, kEngines = 1, kPlain = 2, kStorePaths = 3, kPaths = 4 };

/* One endpoint, behind the proxy that is its listed address. */
class Endpoint {
  public:
    Endpoint(Platform *platform, int number, bool is_engine);
    ~Endpoint();
    /* It goes at once, and comes back empty, as another incarnation: under
     * the id that it had, or a new one. */
    void Crash();
    void ComeBack();
    /* Somebody else writes a row: under its id or another key, which is
     * returned, with its address, and with one field spoiled. */
    std::string WriteForeign();
    /* It tells that it leaves, in its row and its answers or in these alone;
     * what comes afterwards is a broken promise. */
    void Drain(bool by_answers_alone);
    /* Set the rate limit that its answers name, in requests per second of all
     * gateways combined; negative: none. */
    void SetLimit(double rate);
    bool IsLimited() const;
    void List() const;
    void Unlist(const std::string &key) const;

    bool is_engine;
    bool up = true;
    double error_share = 0, reset_share = 0, full_share = 0;
    double garbled_share = 0; /* words of itself that are none */
    std::unique_ptr<Proxy> proxy;
    std::string id;

  private:
    struct Run;
    static void OnRequest(void *user, FakeExchange *x);
    static void OnGone(void *user, FakeExchange *x);
    static void OnEvent(void *user);
    static void OnLoaded(void *user);
    static void OnBack(void *user);
    void End();
    std::string Words();
    std::string LimitHeader() const;
    void CheckLimit();
    void Serve(FakeExchange *x);
    void Stream(FakeExchange *x, const std::string &request);
    void Order(FakeExchange *x);
    void Report(FakeExchange *x);
    void Decline(FakeExchange *x, int status);
    bool Check(FakeExchange *x) const;
    std::string Row() const;

    Platform *platform_;
    int number_;
    int ids_ = 0;
    int64_t born_ = 0; // of this life, in Unix milliseconds
    FakeHttpd *httpd_ = nullptr;
    int weights_ = 1, loading_ = 0, orders_ = 0;
    GwTimer loaded_;
    bool draining_ = false, row_tells_ = false;
    GwTime draining_since_ = 0;
    double limit_ = -1;
    GwTime limit_set_at_ = 0;
    std::deque<GwTime> arrivals_; /* of requests, in the last kLimitWindow */
    GwTimer back_;                /* after an end of its own */
};

class Platform {
  public:
    Platform(GwLoop *loop, uint64_t seed, const Ports &ports, int engines,
             int plain, Ledger *ledger);
    ~Platform();
    /* A new version with one route more. */
    void Configure();
    void NameWeights();
    /* Restores the last backup of the store and rewrites the current
     * configuration, weights and rows of running endpoints. Returns all other
     * keys ever listed; their rows, if restored, are stale. */
    std::vector<std::string> RestoreStore();

    GwLoop *loop;
    std::mt19937_64 random;
    Ports ports;
    Ledger *ledger;
    FakeStore *store;
    Disturbance store_disturbance;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::set<std::string> listed_keys; /* all ever written, even if removed */
    int version = 0;
    GwTime configured_at = 0;
    int weights = 1;
    std::string config; /* last written to the store */
    /* When endpoints ended under the fatal request, and came too late. */
    std::vector<GwTime> fatal_ends;
    int fatal_late = 0;
    /* Whether nothing but what a check is about was disturbed since then. */
    std::function<bool(GwTime)> is_calm;

  private:
    void PutWeights();
};

#endif
