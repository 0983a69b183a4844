// For tests: the complete system in one process, on one event loop and real
// sockets.
#ifndef GALENAGW_FAKES_WORLD_H
#define GALENAGW_FAKES_WORLD_H

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "galenagw/agent/agent.h"
#include "galenagw/config/store.h"
#include "galenagw/entry/entry.h"
#include "galenagw/fakes/fake_engine.h"
#include "galenagw/fakes/fake_hop.h"
#include "galenagw/fakes/fake_platform.h"
#include "galenagw/fakes/fake_service.h"
#include "galenagw/http/client.h"

// A caller's request and its answer.
struct Call {
    GwHttpRequest *request = nullptr;
    int status = 0;
    std::string body;
    bool done = false;
    GwHttpOutcome outcome = GW_HTTP_NOT_SENT;

    std::string Code() const; // error code of an error answer, or ""
    std::string Ran() const;  // field `ran` of an error answer, or ""
    bool Complete() const;    // whether a stream ended with its end marker
    std::string Text() const; // generated text of the answer
};

struct AgentNode {
    std::string name, pool;
    bool plain = false; // beside a plain service, not an engine
    GwAgent *agent = nullptr;
    FakeHop *hop = nullptr; // between entries and the agent
    FakeEngine *engine = nullptr;
    FakeService *service = nullptr;
    bool drained = false; // on_drained was called
};

struct EntryNode {
    std::string name;
    GwEntry *entry = nullptr;
    int port = 0;
    bool drained = false;
};

class World {
  public:
    World();
    ~World();

    // Runs the loop until `done`. Returns false after 10 s.
    bool Until(const std::function<bool()> &done);
    // Appends the configuration as one change to the current revision.
    void Publish(const char *yaml);
    AgentNode *AddEngine(const FakeEngineOptions &options);
    AgentNode *AddService(const FakeServiceOptions &options);
    // Adds one more agent beside a service that has an agent already.
    AgentNode *AddServiceAgent(FakeService *service);
    EntryNode *AddEntry();
    void KillService(AgentNode *node); // closes its port
    void StartAgent(AgentNode *node);
    void StopAgent(AgentNode *node); // without draining, like a kill
    void StopEntry(EntryNode *node);
    // Waits until all entries have sessions to all agents and all agents have
    // a configuration and an endpoint that answers.
    bool Ready();

    std::shared_ptr<Call> Chat(EntryNode *entry, const char *key,
                               const char *question, int tokens,
                               bool stream = true,
                               const char *system = "rules");
    std::shared_ptr<Call> Book(EntryNode *entry, const char *id,
                               const char *key = nullptr);
    std::shared_ptr<Call> Send(int port, const char *method, const char *path,
                               const char *bearer, const std::string &body,
                               const char *header = nullptr,
                               const char *value = nullptr);
    void Hangup(Call *call); // cancels the request
    // Returns the text that the stand-in engine generates for `question`.
    static std::string Expect(const char *question, int tokens);
    static FakeEngineOptions FastEngine();

    GwLoop *loop = nullptr;
    FakePlatform *platform = nullptr;
    std::vector<std::unique_ptr<AgentNode>> agents;
    std::vector<std::unique_ptr<EntryNode>> entries;
    // Options of agents and entries that are started later.
    GwTime silence_timeout = 300 * GW_MILLISECOND;
    GwTime progress_timeout = 2 * GW_SECOND;
    uint64_t snapshot_every = 0;
    // Whether agents that are started later get a FakeHop before their port.
    bool with_hops = false;

  private:
    void List(AgentNode *node, bool leaving);
    AgentNode *AddNode(const char *pool, bool plain);

    std::vector<std::shared_ptr<Call>> calls_;
    std::vector<FakeEngine *> engines_;
    std::vector<FakeService *> services_;
};

extern const char kTestConfig[];

#endif
