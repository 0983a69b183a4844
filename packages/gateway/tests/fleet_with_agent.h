// A fleet with one agent, which is a GwPeers of the test.
#ifndef GALENAGW_GATEWAY_FLEET_WITH_AGENT_H
#define GALENAGW_GATEWAY_FLEET_WITH_AGENT_H

#include "galenagw/cluster/peers.h"
#include "galenagw/fakes/fleet.h"

// All engines of the fleet have this one agent, so all gateways connect to it.
struct FleetWithAgent {
    FleetWithAgent()
    {
        GwViewOptions options = {&ops, this, nullptr, &counters};

        view = GwView_New(&options);
        quarantine = GwQuarantine_New(&nothing);
        limits = GwLimitOwner_New(GwTime_Now() - GW_SECOND);
        StartAgent();
        f.agent_port = port = GwPeers_Port(agent);
        f.Configure(1);
        f.AddEndpoint("i-1", "model");
    }
    ~FleetWithAgent()
    {
        GwPeers_Delete(agent);
        GwQuarantine_Delete(quarantine);
        GwLimitOwner_Delete(limits);
        GwView_Delete(view);
    }
    void
    StartAgent()
    {
        GwPeersOptions options = {};
        GwError err = {};

        options.is_agent = true;
        options.name = "side-1";
        options.failure_domain = "d";
        options.listen = {"127.0.0.1", port};
        options.view = view;
        options.counters = &counters;
        options.quarantine = quarantine;
        options.agent_port = port;
        options.retry_slack = retry_slack;
        options.limit_owner = answers_limit_requests ? limits : nullptr;
        agent = GwPeers_New(f.loop, &options, &err);
        ASSERT_NE(agent, nullptr) << err.message;
    }
    void
    StopAgent()
    {
        GwPeers_Delete(agent);
        agent = nullptr;
        GwQuarantine_Delete(quarantine);
        quarantine = GwQuarantine_New(&nothing);
    }

    Fleet f;
    GwViewOps ops = {};
    GwCounters counters = {};
    GwView *view = nullptr;
    GwQuarantineOptions nothing = {};
    GwQuarantine *quarantine = nullptr;
    GwLimitOwner *limits = nullptr;
    GwRetrySlack *retry_slack = nullptr; // of the agent; borrowed
    bool answers_limit_requests =
        true; // false: limit requests are not answered
    GwPeers *agent = nullptr;
    int port = 0;
};

#endif
