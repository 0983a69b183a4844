// The whole system in one process, on one loop and real sockets, for tests.
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
#include "galenagw/net/http_client.h"

// A caller's request and what came back.
struct Call {
    GwHttpRequest *request = nullptr;
    int status = 0;
    std::string body;
    bool done = false;
    GwHttpOutcome outcome = GW_HTTP_NOT_SENT;

    std::string Code() const; // error code of a refusal, or ""
    std::string Ran() const;  // its `ran`
    bool Complete() const;    // a stream with its end marker
    std::string Text() const; // text of a stream or whole answer
};

struct AgentNode {
    std::string name, pool;
    bool plain = false;
    GwAgent *agent = nullptr;
    FakeHop *hop = nullptr; // between entries and the agent
    FakeEngine *engine = nullptr;
    FakeService *service = nullptr;
    bool drained = false;
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

    // Step the loop until `done`; false after ten seconds.
    bool Until(const std::function<bool()> &done);
    void Publish(const char *yaml); // as one change on the present revision
    AgentNode *AddEngine(const FakeEngineOptions &options);
    AgentNode *AddService(const FakeServiceOptions &options);
    AgentNode *AddServiceAgent(FakeService *service); // beside the same one
    EntryNode *AddEntry();
    void KillService(AgentNode *node); // its port is closed
    void StartAgent(AgentNode *node);
    void StopAgent(AgentNode *node); // at once, like a kill
    void StopEntry(EntryNode *node);
    // Wait until an entry has configuration and all agents are connected.
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
    void Hangup(Call *call);
    // The text that the stand-in engine gives for `question`.
    static std::string Expect(const char *question, int tokens);
    static FakeEngineOptions FastEngine();

    GwLoop *loop = nullptr;
    FakePlatform *platform = nullptr;
    std::vector<std::unique_ptr<AgentNode>> agents;
    std::vector<std::unique_ptr<EntryNode>> entries;
    GwTime silent_after = 300 * GW_MILLISECOND;
    GwTime progress_timeout = 2 * GW_SECOND;
    uint64_t snapshot_every = 0;
    // Agents are reached through hops only where this is set.
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
