// Case 6: a gateway that was cut off goes on using a worker that has left,
// until the worker's end takes accepted requests with it. See claim.txt.
#include <cstdlib>
#include <cstring>
#include <set>
#include <thread>

#include <unistd.h>

#include "../standins-2/engine.h"

namespace {

const char kConfig[] =
    "{\"version\":1,\"routes\":[{\"name\":\"hold\",\"host\":\"desk\","
    "\"path_prefix\":\"/hold/\",\"route_type\":\"non_idempotent\","
    "\"timeout_ms\":1000,\"target_latency_ms\":100,\"max_attempts\":1,"
    "\"priority\":2,\"service\":\"booking\"},"
    "{\"name\":\"chat\",\"host\":\"desk\",\"path_prefix\":\"/chat/\","
    "\"route_type\":\"streaming\",\"resumable\":false,\"sticky\":true,"
    "\"timeout_ms\":5000,\"target_latency_ms\":400,\"gap_aim_ms\":300,"
    "\"max_attempts\":1,\"priority\":0,\"service\":\"model\"}],"
    "\"services\":[{\"name\":\"booking\",\"max_conns\":100},"
    "{\"name\":\"model\",\"max_conns\":360,\"engine\":{\"slots\":64,"
    "\"kv_token_bytes\":163840,\"link_mbps\":370000}}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"desk\",\"api_keys\":[\"key\"]}]}";

constexpr int kWorkers = 3;
constexpr int kEngines = 3;
constexpr int kClients = 24;
constexpr int64_t kWorkMs = 15;
constexpr int64_t kThinkMs = 20;
// Of the settings.
constexpr int64_t kContactMs = 3000;
constexpr int64_t kDrainMs = 2000;
// A worker serves on for drain_ms "and a little longer".
constexpr int64_t kLittleLongerMs = 250;
constexpr int64_t kCutMs = 6000; // the sheet: node_cut, up to 12 s
// The worker leaves this long after the gateway reads the list again.
constexpr int64_t kLeavesAfterMs = 200;

// A link of the gateway. While it is cut, no byte passes; connections that
// sent any meanwhile are silent for good, new ones work afterwards.
struct Links {
    std::atomic<bool> is_cut{false};
    std::atomic<int> list_calls{0}; // for the workers, that passed
    std::atomic<int> lost_calls{0}; // that were lost
    std::vector<std::unique_ptr<world::Listener>> listeners;

    void
    Pump(world::Connection *from, world::Connection *to,
         std::atomic<bool> *is_dead)
    {
        std::string bytes;

        while (from->ReadSome(&bytes)) {
            if (is_cut)
                *is_dead = true;
            bool is_list_call =
                bytes.find("topic=keyed.servers") != std::string::npos;

            if (*is_dead) {
                lost_calls += is_list_call;
                continue;
            }
            list_calls += is_list_call;
            if (!to->Send(bytes))
                break;
        }
        if (!*is_dead)
            to->ShutDown();
    }

    int
    Add(const std::string &host, int port, const std::string &to_host,
        int to_port)
    {
        listeners.push_back(std::make_unique<world::Listener>(
            host, port, [this, to_host, to_port](world::Connection *c) {
                auto to = world::Connection::Open(to_host, to_port);
                std::atomic<bool> is_dead(is_cut.load());
                std::thread back([&] { Pump(to.get(), c, &is_dead); });

                Pump(c, to.get(), &is_dead);
                to->ShutDown();
                back.join();
            }));
        return listeners.back()->Port();
    }
};

struct Run {
    int64_t reached_at;
    int worker;
    bool is_answered = false;
};

// What happened to each request.
struct Ledger {
    std::mutex mutex;
    world::History history;
    std::map<std::string, Run> runs;
    std::map<std::string, int> statuses; // that the clients got; 0: none
};

class Worker {
  public:
    Worker(int n, Ledger *ledger) : n_(n), ledger_(ledger)
    {
        listener_ = std::make_unique<world::Listener>(
            "127.0.0.2" + std::to_string(n), 0,
            [this](world::Connection *c) { Serve(c); });
    }

    std::string
    Entry() const
    {
        return "{\"service\":\"booking\",\"address\":\"" +
               listener_->Address() +
               "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":6,"
               "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}";
    }
    std::string
    Id() const
    {
        return "i-w" + std::to_string(n_);
    }
    // The process ends: its connections are reset, and new ones are too.
    void
    Exit()
    {
        std::lock_guard<std::mutex> lock(mutex_);

        has_ended_ = true;
        for (world::Connection *c : connections_)
            c->ShutDown();
    }

  private:
    void
    Serve(world::Connection *c)
    {
        world::Message m;

        {
            std::lock_guard<std::mutex> lock(mutex_);
            connections_.insert(c);
        }
        while (!has_ended_ && c->ReadRequest(&m)) {
            std::string id = m.Get("X-Request-Id");

            {
                std::lock_guard<std::mutex> lock(ledger_->mutex);
                ledger_->runs[id] = {world::NowMs(), n_, false};
                ledger_->history.Run(id, Id());
            }
            world::SleepMs(kWorkMs);
            if (has_ended_)
                break;
            {
                std::lock_guard<std::mutex> lock(ledger_->mutex);
                ledger_->runs[id].is_answered = true;
            }
            if (!c->Send(world::Answer(
                    200,
                    "X-Request-Id: " + id + "\r\nX-Response-Signature: sig-" +
                        id + "\r\nKeep-Alive: timeout=5\r\n",
                    "done " + id)))
                break;
        }
        std::lock_guard<std::mutex> lock(mutex_);
        connections_.erase(c);
        if (has_ended_)
            c->Reset();
    }

    int n_;
    Ledger *ledger_;
    std::mutex mutex_;
    std::set<world::Connection *> connections_;
    std::atomic<bool> has_ended_{false};
    std::unique_ptr<world::Listener> listener_;
};

std::string
Request(const std::string &id)
{
    return "POST /hold/1 HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id +
           "\r\nX-Key: key\r\nX-Deadline-Ms: 1000\r\nContent-Length: 5\r\n\r\n"
           "cabin";
}

} // namespace

// Arguments: folder of the steps, record, address of the gateway, its port,
// whether with the disruption, the port at which the gateway looks for
// sidecars, that at which they listen.
int
main(int argc, char **argv)
{
    if (argc != 8)
        return 2;
    world::Steps steps(argv[1]);
    world::Record record(argv[2]);
    bool trouble = strcmp(argv[5], "0") != 0;
    world::Store store;
    Links links;
    Ledger ledger;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<world::Engine>> engines;
    std::vector<std::thread> clients;
    std::atomic<int> last_id(0);
    std::atomic<bool> is_over(false);
    std::string addresses;
    std::string host = store.Address().substr(0, store.Address().find(':'));
    int store_port = atoi(store.Address().c_str() + host.size() + 1);
    int calls;
    int64_t restored_at;
    int64_t left_at;
    int64_t ended_at;
    int late = 0;
    int lost = 0;

    store.Put("keyed.op", "config", kConfig);
    store.Put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
    for (int i = 1; i <= kWorkers; i++) {
        workers.push_back(std::make_unique<Worker>(i, &ledger));
        store.Put("keyed.servers", workers.back()->Id(),
                  workers.back()->Entry());
    }
    for (int i = 1; i <= kEngines; i++) {
        std::string n = std::to_string(i);

        engines.push_back(std::make_unique<world::Engine>(world::EngineOptions{
            "i-" + n, "127.0.0.1" + n, "m", 1, nullptr, 0}));
        store.Put("keyed.servers", "i-" + n, engines.back()->Entry());
        addresses += "engine" + n + "=" + engines.back()->Address() + "\n";
        links.Add("127.0.0.1" + n, atoi(argv[6]), "127.0.0.1" + n,
                  atoi(argv[7]));
    }
    addresses += "link=127.0.0.1:" +
                 std::to_string(links.Add("127.0.0.1", 0, host, store_port)) +
                 "\n";
    steps.Reached("world", "store=" + store.Address() + "\n" + addresses);
    steps.Wait("ready");
    world::SleepMs(2000);
    for (int i = 0; i < kClients; i++)
        clients.emplace_back([&] {
            auto c = world::Connection::Open(argv[3], atoi(argv[4]));

            while (!is_over) {
                std::string id = std::to_string(100000 + last_id++);
                world::Message answer;

                ledger.history.Sent(id);
                if (!c->Send(Request(id)) || !c->ReadAnswer(&answer, 1500) ||
                    answer.Get("Connection") == "close")
                    c = world::Connection::Open(argv[3], atoi(argv[4]));
                {
                    std::lock_guard<std::mutex> lock(ledger.mutex);
                    ledger.statuses[id] = answer.Status();
                    ledger.history.Answered(id, answer.Status());
                }
                world::SleepMs(kThinkMs);
            }
        });
    world::SleepMs(2000);
    links.is_cut = trouble;
    record.Line("the gateway's links to the store and to the sidecars are %s",
                trouble ? "cut" : "not cut");
    world::SleepMs(kCutMs);
    // A little longer, until a call of the gateway has just been lost.
    calls = links.lost_calls;
    while (trouble && links.lost_calls == calls)
        world::SleepMs(1);
    calls = links.list_calls;
    links.is_cut = false;
    restored_at = world::NowMs();
    record.Line("the links are as before");
    while (links.list_calls == calls && world::NowMs() < restored_at + 5000)
        world::SleepMs(1);
    record.Line("the gateway reads the list of workers");
    world::SleepMs(kLeavesAfterMs);
    store.Put("keyed.servers", "i-w1", "");
    left_at = world::NowMs();
    record.Line("the store acknowledges that i-w1 is gone; it serves on for "
                "%d ms",
                static_cast<int>(kDrainMs + kLittleLongerMs));
    world::SleepMs(kDrainMs + kLittleLongerMs);
    ended_at = world::NowMs();
    workers[0]->Exit();
    record.Line("i-w1 ends");
    world::SleepMs(3000);
    is_over = true;
    for (auto &c : clients)
        c.join();
    for (const auto &r : ledger.runs) {
        int status = ledger.statuses[r.first];

        if (r.second.worker != 1 ||
            r.second.reached_at <= left_at + kDrainMs ||
            r.second.reached_at < restored_at + kContactMs)
            continue;
        late++;
        lost += !r.second.is_answered;
        record.Line(
            "DRAIN: %s reached i-w1 %d ms after it was gone, %d ms "
            "after the links were as before; the client got %d%s",
            r.first.c_str(), static_cast<int>(r.second.reached_at - left_at),
            static_cast<int>(r.second.reached_at - restored_at), status,
            r.second.is_answered ? "" : ": accepted, run and lost");
    }
    record.Line("%d requests; %d reached i-w1 over %d ms after it was gone, "
                "up to its end %d ms after it; %d of these were lost with it",
                last_id.load(), late, static_cast<int>(kDrainMs),
                static_cast<int>(ended_at - left_at), lost);
    ledger.history.Write(&record);
    fflush(nullptr);
    // Threads still use the objects above.
    _exit(late > 0 ? 1 : 0);
}
