/* Phases in which requests terminate the endpoints that run them. */
#ifndef GALENAGW_SOAK_FATAL_PHASES_H
#define GALENAGW_SOAK_FATAL_PHASES_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform.h"
#include "repeater.h"

/* Text of the request with this id that is sent to this gateway. */
using RequestText = std::function<std::string(const std::string &gateway,
                                              const std::string &id)>;

struct FatalPhaseOptions {
    Platform *platform;
    Ledger *ledger;
    /* Start one sender for each gateway, which sends in this interval. */
    std::function<std::vector<std::unique_ptr<Repeater>>(
        GwTime interval, const char *prefix, const RequestText &request)>
        start_senders;
    std::function<void(GwTime time)> run_loop_for;
    std::function<void(const std::string &what)> log;
};

/* Both phases return a summary for the report. */
class FatalPhases {
  public:
    explicit FatalPhases(FatalPhaseOptions options);
    /* Repeats a request that terminates each endpoint that runs it, at all
     * gateways. Gateways must quarantine it, so that the callers' requests in
     * the final phase are served. */
    std::string RunRequestPhase();
    /* Sends prompts that have only one part in common, which terminates each
     * engine that begins to answer on it, while engines are terminated by
     * other causes as well. Gateways must refuse them, and serve prompts with
     * the same account and other parts. */
    std::string RunPartPhase();

  private:
    std::string PromptWithFatalPart(const std::string &id);
    void TerminateRandomEngine();
    /* Checks how many endpoints terminated later than kContactTime after the
     * n-th. */
    std::string CheckTerminations(const char *promise, size_t n);

    FatalPhaseOptions options_;
};

#endif
