// Case 7: a tenant becomes isolated; other tenants go on using the KV cache
// that its requests made before. See claim.txt.
#include <cstdlib>
#include <cstring>

#include <unistd.h>

#include "../standins-2/engine.h"

namespace {

constexpr int64_t kConfigApplyMs = 2000; // of the settings
constexpr int kRounds = 5;

std::string
Config(int version, bool is_isolated)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"chat\",\"host\":\"desk\","
           "\"path_prefix\":\"/chat/\",\"route_type\":\"streaming\","
           "\"resumable\":false,\"sticky\":true,\"timeout_ms\":5000,"
           "\"target_latency_ms\":400,\"gap_aim_ms\":300,\"max_attempts\":1,"
           "\"priority\":0,\"service\":\"model\"}],"
           "\"services\":[{\"name\":\"model\",\"max_conns\":360,"
           "\"engine\":{\"slots\":64,\"kv_token_bytes\":163840,"
           "\"link_mbps\":370000}}],"
           "\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000},"
           "\"tenants\":[{\"name\":\"clinic\",\"api_keys\":[\"key-clinic\"],"
           "\"isolated\":" +
           (is_isolated ? "true" : "false") +
           "},{\"name\":\"other\",\"api_keys\":[\"key-other\"],"
           "\"isolated\":false}]}";
}

std::string
Request(const std::string &id, const std::string &key)
{
    return "POST /chat/1 HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id +
           "\r\nX-Key: " + key +
           "\r\nX-Model: m\r\nX-Token-Usage: 1000,4\r\n"
           "X-Prefix-Hash: 5c1e07a2:600,91bd3f06:300," +
           id +
           ":100\r\nX-Deadline-Ms: 5000\r\nContent-Length: 8\r\n\r\n"
           "question";
}

} // namespace

// Arguments: folder of the steps, record, address of the gateway, its port,
// whether with the disruption.
int
main(int argc, char **argv)
{
    if (argc != 6)
        return 2;
    world::Steps steps(argv[1]);
    world::Record record(argv[2]);
    bool trouble = strcmp(argv[5], "0") != 0;
    world::Store store;
    world::Engine engine({"i-1", "127.0.0.11", "m", 1, &record});
    std::atomic<bool> is_isolated(false);
    std::atomic<int> shared(0);
    int sent = 0;
    int served = 0;
    auto ask = [&](const std::string &key) {
        std::string id = std::to_string(1000 + sent++);
        auto c = world::Connection::Open(argv[3], atoi(argv[4]));
        world::Message answer;

        record.Line("client sends %s with %s", id.c_str(), key.c_str());
        c->Send(Request(id, key));
        c->ReadAnswer(&answer, 6000);
        record.Line("client gets %d for %s, %s", answer.Status(), id.c_str(),
                    answer.is_complete ? "complete" : "not complete");
        served += answer.Status() == 200 && answer.is_complete;
        world::SleepMs(100);
    };

    engine.on_use = [&](const world::PartUse &use) {
        if (use.account == use.maker_account || !is_isolated)
            return;
        shared++;
        record.Line("WALL: a request of '%s' uses part %s, which a request "
                    "of '%s' made",
                    use.account.c_str(), use.part.c_str(),
                    use.maker_account.c_str());
    };
    store.Put("keyed.op", "config", Config(1, false));
    store.Put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
    store.Put("keyed.servers", "i-1", engine.Entry());
    steps.Reached("world", "store=" + store.Address() +
                               "\nengine=" + engine.Address() + "\n");
    steps.Wait("ready");
    world::SleepMs(1000);
    for (int i = 0; i < kRounds; i++)
        ask("key-clinic");
    if (trouble) {
        store.Put("keyed.op", "config", Config(2, true));
        record.Line("the store acknowledges version 2: 'clinic' is isolated");
    }
    // Requests count from twice the bound after the acknowledgement on.
    world::SleepMs(2 * kConfigApplyMs);
    is_isolated = trouble;
    for (int i = 0; i < kRounds; i++) {
        ask("key-other");
        ask("key-clinic");
    }
    record.Line("%d of %d requests served, %d uses of another tenant's part "
                "while one of the two is isolated",
                served, sent, shared.load());
    fflush(nullptr);
    // Threads still use the objects above.
    _exit(shared > 0 ? 1 : served == sent ? 0 : 2);
}
