#include "engine.h"

#include <cstdarg>
#include <cstdlib>

namespace world {

namespace {

constexpr int64_t kPrefillMs = 10;
constexpr int kEvents = 4;

std::string
Chunk(const std::string &bytes)
{
    char size[16];

    snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

Engine::Engine(const EngineOptions &options) : options_(options)
{
    listener_ = std::make_unique<Listener>(
        options.host, 0, [this](Connection *c) { Serve(c); });
}

std::string
Engine::Entry() const
{
    return "{\"service\":\"model\",\"address\":\"" + Address() +
           "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":64,"
           "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1,"
           "\"stage\":\"unified\",\"models\":[{\"name\":\"" +
           options_.model +
           "\",\"version\":" + std::to_string(options_.version) +
           ",\"adapters\":[]}]}";
}

void
Engine::Note(const char *format, ...)
{
    char line[1024];
    va_list args;

    if (options_.record == nullptr)
        return;
    va_start(args, format);
    vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    options_.record->Line("%s", line);
}

void
Engine::Serve(Connection *c)
{
    Message call;

    while (c->ReadRequest(&call) && ServeCall(c, call))
        ;
}

bool
Engine::ServeCall(Connection *c, const Message &call)
{
    std::string target = call.Target();

    if (target == "/galenagw/report")
        return c->Send(
            Answer(200, "Content-Type: application/json\r\n", Report()));
    if (target.find("/galenagw/kv-events") == 0) {
        SleepMs(atoll(call.Get("Wait-Ms").c_str()));
        return c->Send(Answer(200, "Content-Type: application/json\r\n",
                              "{\"boot_epoch\":1,\"next_token\":0,"
                              "\"lost\":false,\"events\":[]}"));
    }
    if (target == "/galenagw/kv-list")
        return c->Send(Answer(200, "Content-Type: application/json\r\n",
                              "{\"boot_epoch\":1,\"next_token\":0,"
                              "\"held\":[]}"));
    if (target == "/galenagw/order")
        return c->Send(Answer(200, "", ""));
    return ServeRun(c, call);
}

std::string
Engine::Report()
{
    std::lock_guard<std::mutex> lock(mutex_);

    return "{\"stage\":\"unified\",\"models\":[{\"name\":\"" + options_.model +
           "\",\"version\":" + std::to_string(options_.version) +
           ",\"adapters\":[]}],\"busy\":false,\"seq\":" +
           std::to_string(orders_) +
           ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":260975,"
           "\"handles\":0}";
}

bool
Engine::ServeRun(Connection *c, const Message &call)
{
    std::string id = call.Get("X-Request-Id");
    std::string echo =
        "X-Request-Id: " + id + "\r\nX-Instance-Id: " + options_.id + "\r\n";
    std::string expected = call.Get("X-Expect-Instance");
    std::string version = call.Get("X-Expect-Version");
    std::string salt = call.Get("X-Cache-Salt");
    std::string account = call.Get("X-Tenant-Id");
    std::string parts = call.Get("X-Prefix-Hash");
    bool is_leading = true;
    std::string out;

    if ((!expected.empty() && expected != options_.id) ||
        (!version.empty() && atoi(version.c_str()) != options_.version)) {
        Note("engine %s declines %s with 421", options_.id.c_str(),
             id.c_str());
        return c->Send(Answer(421, echo + "X-Not-Executed: 1\r\n", ""));
    }
    if (options_.history != nullptr)
        options_.history->Run(id, options_.id);
    Note("engine %s runs %s: X-Tenant-Id '%s', X-Cache-Salt '%s', "
         "X-Expect-Version '%s', X-Prefix-Hash %s",
         options_.id.c_str(), id.c_str(), account.c_str(), salt.c_str(),
         version.c_str(), parts.c_str());
    while (!parts.empty()) {
        size_t end = parts.find(',');
        std::string part = parts.substr(0, parts.find(':'));
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = parts_.find(salt + "/" + part);

        is_leading = is_leading && found != parts_.end();
        if (is_leading && on_use)
            on_use({part, account, found->second.account, options_.version,
                    found->second.version, salt});
        if (found == parts_.end())
            parts_[salt + "/" + part] = {account, options_.version};
        parts = end == std::string::npos ? "" : parts.substr(end + 1);
    }
    SleepMs(kPrefillMs);
    out = "HTTP/1.1 200 OK\r\n" + echo + "X-Response-Signature: sig-" + id +
          "\r\nX-Weight-Versions: " + std::to_string(options_.version) +
          "\r\nContent-Type: text/event-stream\r\n"
          "Keep-Alive: timeout=5\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 1; i <= kEvents; i++) {
        out += Chunk("id: " + std::to_string(i) + "\ndata: piece " +
                     std::to_string(i) + " of " + id + "\n\n");
        if (options_.event_pause_ms == 0)
            continue;
        if (!c->Send(out))
            return false;
        out.clear();
        SleepMs(options_.event_pause_ms);
    }
    return c->Send(out + "0\r\n\r\n");
}

} // namespace world
