// The platform's deployment in one process, on one loop and real sockets: a
// store, endpoints that do what a test tells them, gateways and callers.
#ifndef GALENAGW_FAKES_FLEET_H
#define GALENAGW_FAKES_FLEET_H

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_httpd.h"
#include "galenagw/fakes/fake_store.h"
#include "galenagw/gateway/gateway.h"
#include "galenagw/sidecar/sidecar.h"

// An endpoint: by default it answers 200 with its id as the body.
struct Endpoint {
    std::string id, service, failure_domain;
    int64_t born = 0; // of its life under this id; 0: its rows do not tell
    FakeHttpd *httpd = nullptr;
    GwAddress address = {};
    std::vector<std::string> seen; // request lines and headers, as text
    std::vector<std::string> bodies;
    std::function<void(Endpoint *, FakeExchange *)> serve;
    int gone = 0; // connections that ended

    // A whole answer, signed, to the request's id.
    static void Answer(FakeExchange *x, int status, const std::string &body,
                       const std::string &headers = "");
    // Statement that nothing was run.
    static void Decline(FakeExchange *x, int status = 503);
    static std::string RequestId(FakeExchange *x);
    static std::string Header(FakeExchange *x, const char *name);
};

// A caller's connection: writes bytes, collects what comes back.
class Caller {
  public:
    Caller(GwLoop *loop, int port);
    ~Caller();
    void Send(const std::string &bytes);
    void Close();
    int Status() const; // of the first answer; 0: none yet
    // Whether so many answers are there, whole.
    bool Has(int answers) const;
    std::string Header(const char *name) const; // of the first answer

    std::string received;
    bool closed = false;
    GwTcpEnd end = GW_TCP_RESET;
    GwTcp *tcp = nullptr;
};

class Fleet {
  public:
    Fleet();
    ~Fleet();

    // Step the loop until `done`; false after ten seconds.
    bool Until(const std::function<bool()> &done);
    void Wait(GwTime time);
    // Routes /plain/, /once/, /stream/ and /resume/ of host "h" to services
    // plain, plain, model and model; key "key" belongs to account acme, key
    // "try" to a trial account.
    void Configure(int version, const std::string &more_routes = "");
    Endpoint *AddEndpoint(const char *id, const char *service,
                          bool draining = false,
                          const char *failure_domain = "d");
    void ListEndpoint(const Endpoint *e, const char *state, int weights = 1);
    void RemoveEndpoint(const Endpoint *e);
    // Any bytes under any key of the endpoints' list.
    void PutRow(const char *key, const std::string &value);
    void NameWeights(int version);
    GwDeployment Deployment(const char *name);
    GwGateway *AddGateway(const char *name = "gateway-1");
    // All endpoints and routes are known to all gateways.
    bool Ready();
    std::shared_ptr<Caller> Call(GwGateway *g, const std::string &bytes);
    // A request for `path` with the usual headers.
    static std::string Request(const char *method, const char *path,
                               const std::string &body = "",
                               const std::string &headers = "");

    GwLoop *loop = nullptr;
    FakeStore *store = nullptr;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<GwGateway *> gateways;
    std::vector<GwDeployment> deployments;
    int stopped = 0;
    int timeout_ms = 3000;
    std::string acme_limit; // fields of account acme, as ",\"rate_per_s\":9"
    // Where all agents listen: by default one that says nothing, as a refused
    // connection would tell that an agent has ended, and void what a test puts
    // in its mouth.
    FakeHttpd *agents = nullptr;
    int agent_port = 0;
    // Stores of KV cache.
    struct KvStoreRow {
        int port;
        std::string failure_domain = "d";
        int max_followers = 8;
    };
    std::vector<KvStoreRow> kv_stores;
};

#endif
