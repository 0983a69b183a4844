// Endpoints that terminate under certain requests, and gateways.
#ifndef GALENAGW_GATEWAY_FATAL_FLEET_H
#define GALENAGW_GATEWAY_FATAL_FLEET_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "fleet_with_agent.h"

// A request of account acme with this body terminates the endpoint that runs
// it.
inline constexpr char kFatal[] = "ends its endpoint";

// Four gateways, and endpoints of one service in three failure domains.
struct FatalFleet {
    FatalFleet(const char *service, int n)
    {
        // The engine to whose agent all gateways are connected.
        a.f.endpoints[0]->serve = [this](Endpoint *at, FakeExchange *x) {
            Serve(at, x);
        };
        for (int i = 0; i < n; i++) {
            std::string id = std::string(service) + std::to_string(i);
            std::string domain = "d" + std::to_string(i % 3);
            Endpoint *e =
                a.f.AddEndpoint(id.c_str(), service, false, domain.c_str());

            e->serve = [this](Endpoint *at, FakeExchange *x) { Serve(at, x); };
        }
        for (int i = 0; i < 4; i++)
            a.f.AddGateway(("gateway-" + std::to_string(i)).c_str());
    }
    void
    Serve(Endpoint *at, FakeExchange *x)
    {
        if (is_fatal(at, x))
            Terminate(at);
        else
            Endpoint::AnswerId(at, x);
    }
    static bool
    HasFatalBody(Endpoint *at, FakeExchange *x)
    {
        return at->bodies.back().rfind(kFatal, 0) == 0 &&
               Endpoint::Header(x, "X-Tenant-Id") == "acme";
    }
    // Terminates @p at: resets its connections and closes its port.
    void
    Terminate(Endpoint *at)
    {
        n_terminated++;
        FakeHttpd_Delete(at->httpd);
        at->httpd = nullptr;
        Reserve(at->address);
        if (at->service == "model")
            down_engines.push_back(at->id);
    }
    // Binds the port without listening, so that no other program on the
    // machine can take it and answer in the endpoint's place.
    void
    Reserve(const GwAddress &address)
    {
        struct sockaddr_in bound = {};
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        int on = 1;

        bound.sin_family = AF_INET;
        bound.sin_port = htons((uint16_t)address.port);
        inet_pton(AF_INET, address.host, &bound.sin_addr);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        EXPECT_EQ(bind(fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
        reserved.push_back(fd);
    }
    // Broadcasts the terminations of engines, as their agents do with the next
    // report.
    void
    BroadcastDown()
    {
        for (const std::string &id : down_engines) {
            GwEngineState state = {};

            state.instance = id.c_str();
            state.weights = 1;
            state.down = true;
            GwPeers_BroadcastEngineState(a.agent, &state);
        }
        down_engines.clear();
        a.f.Wait(20 * GW_MILLISECOND);
    }
    static std::string
    WithKey(std::string text, const char *key)
    {
        std::string before = "X-Key: key";

        return text.replace(text.find(before), before.size(),
                            std::string("X-Key: ") + key);
    }
    // Sends a request with @p body. @return the status of the answer; 0: none
    int
    SendRequest(GwGateway *g, const char *path,
                const std::string &body = kFatal, const char *key = "key")
    {
        last_caller =
            a.f.Call(g, WithKey(Fleet::Request("POST", path, body), key));
        EXPECT_TRUE(a.f.Until(
            [&] { return last_caller->Has(1) || last_caller->closed; }));
        BroadcastDown();
        return last_caller->Status();
    }

    // Terminates all processes at the same time, as when the power fails, and
    // starts them again.
    void
    RestartAll()
    {
        for (GwGateway *g : a.f.gateways)
            GwGateway_Delete(g);
        a.f.gateways.clear();
        a.StopAgent();
        a.StartAgent();
        for (int i = 0; i < 4; i++)
            a.f.AddGateway(("gateway-" + std::to_string(i)).c_str());
    }

    ~FatalFleet()
    {
        for (int fd : reserved)
            close(fd);
    }

    // Whether the request terminates the endpoint that runs it.
    std::function<bool(Endpoint *, FakeExchange *)> is_fatal = HasFatalBody;
    FleetWithAgent a;
    std::vector<int> reserved; // sockets, see Reserve
    std::vector<std::string> down_engines;
    std::shared_ptr<Caller> last_caller;
    int n_terminated = 0;
};

#endif
