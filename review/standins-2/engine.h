// A stand-in of a model engine. It keeps the parts of prompts that it has
// read, each with the request that made it.
#ifndef REVIEW_STANDINS_2_ENGINE_H
#define REVIEW_STANDINS_2_ENGINE_H

#include "world.h"

namespace world {

struct EngineOptions {
    std::string id;
    std::string host;
    std::string model = "m";
    int version = 1;
    Record *record = nullptr;   // nullptr: not recorded
    int64_t event_pause_ms = 0; // between the events of a stream
    History *history = nullptr; // nullptr: none
};

// A part that a request used, and the request that made it.
struct PartUse {
    std::string part;
    std::string account;       // that used it
    std::string maker_account; // that made it
    int version;               // on which it is used
    int maker_version;
    std::string salt;
};

class Engine {
  public:
    explicit Engine(const EngineOptions &options);

    // Its entry in the list of endpoints.
    std::string Entry() const;
    std::string
    Address() const
    {
        return listener_->Address();
    }
    const std::string &
    Id() const
    {
        return options_.id;
    }
    // Called for each part that is found instead of being read.
    std::function<void(const PartUse &)> on_use;

  private:
    struct Part {
        std::string account;
        int version;
    };

    void Note(const char *format, ...) __attribute__((format(printf, 2, 3)));
    void Serve(Connection *c);
    bool ServeCall(Connection *c, const Message &call);
    bool ServeRun(Connection *c, const Message &call);
    std::string Report();

    EngineOptions options_;
    std::mutex mutex_;
    std::map<std::string, Part> parts_; // by salt and id
    int orders_ = 0;
    std::unique_ptr<Listener> listener_;
};

} // namespace world

#endif
