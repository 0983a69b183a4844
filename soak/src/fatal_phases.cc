#include "fatal_phases.h"

#include <cstring>
#include <utility>

#include "callers.h"

/* Senders repeat the fatal request for this time: the first seconds are for
 * its detection, in the others gateways must reject it. */
static const GwTime kRequestPhaseTime = 8 * GW_SECOND;
/* Time between two fatal requests at each gateway. */
static const GwTime kFatalInterval = 150 * GW_MILLISECOND;
/* Late terminations that are tolerated, because the loss of an answer between
 * an endpoint and a gateway can cause some. */
static const int kMaxLateTerminations = 3;
/* Terminations that identify a fatal request, and a fatal part. Later than
 * kContactTime after them, gateways must no longer send it. */
static const size_t kRequestTerminations = 3;
static const size_t kPartTerminations = 5;
/* Duration of the phase with a fatal part until it must have been found, and
 * after that, when prompts without it must be served at least at
 * kMinServedShare. */
static const GwTime kPartFindTime = 3 * GW_SECOND + 2 * kContactTime;
static const GwTime kPartServeTime = 4 * GW_SECOND;
static const double kMinServedShare = 0.5;
/* Least number of prompts for a judgement. */
static const int kMinPrompts = 20;
/* Time between two terminations of engines that have another cause. */
static const GwTime kOtherCauseInterval = 900 * GW_MILLISECOND;

FatalPhases::FatalPhases(FatalPhaseOptions options)
    : options_(std::move(options))
{
}

std::string
FatalPhases::RunRequestPhase()
{
    bool on_engines = options_.platform->random() % 2 == 0;

    options_.log(std::string("fatal request to ") +
                 (on_engines ? "engines" : "plain endpoints"));
    options_.platform->fatal_terminations.clear();
    auto senders = options_.start_senders(
        kFatalInterval, "fatal",
        [on_engines](const std::string &, const std::string &id) {
            return std::string("POST ") +
                   (on_engines ? "/resume/9" : "/plain/9") +
                   " HTTP/1.1\r\nHost: h\r\nX-Key: key\r\n"
                   "X-Deadline-Ms: 4000\r\nX-Request-Id: " +
                   id +
                   (on_engines ? "\r\nX-Model: m\r\nX-Token-Usage: 9,5" : "") +
                   "\r\nContent-Length: " +
                   std::to_string(strlen(kFatalBody)) + "\r\n\r\n" +
                   kFatalBody;
        });
    options_.run_loop_for(kRequestPhaseTime);
    senders.clear();
    return CheckTerminations("a fatal request is quarantined",
                             kRequestTerminations);
}

std::string
FatalPhases::RunPartPhase()
{
    options_.log("prompts with a fatal part");
    options_.platform->fatal_terminations.clear();
    auto senders = options_.start_senders(
        kFatalInterval, "part",
        [this](const std::string &, const std::string &id) {
            return PromptWithFatalPart(id);
        });
    for (GwTime t = 0; t < kPartFindTime; t += kOtherCauseInterval) {
        options_.run_loop_for(kOtherCauseInterval);
        TerminateRandomEngine();
    }
    Caller::prompts_sent = Caller::prompts_answered = 0;
    options_.run_loop_for(kPartServeTime);
    senders.clear();
    options_.log(std::to_string(Caller::prompts_answered) + " of " +
                 std::to_string(Caller::prompts_sent) +
                 " prompts without the fatal part were answered");
    if (Caller::prompts_sent >= kMinPrompts &&
        Caller::prompts_answered < kMinServedShare * Caller::prompts_sent)
        options_.ledger->RecordViolation(
            "prompts without the fatal part are served",
            std::to_string(Caller::prompts_answered) + " of " +
                std::to_string(Caller::prompts_sent));
    return CheckTerminations("prompts with a fatal part are refused",
                             kPartTerminations);
}

// Has the callers' account, one or two of their parts, and a body and a last
// part of its own.
std::string
FatalPhases::PromptWithFatalPart(const std::string &id)
{
    uint64_t draw = options_.platform->random();
    std::string other = "a" + std::to_string(draw % 8) + ":700,";
    std::string fatal = std::string(kFatalPart) + ":300,";
    std::string last = "e" + std::to_string(draw % 1000000007) + ":200";
    std::string parts = draw / 8 % 2 == 0 ? fatal + other : other + fatal;

    return std::string("POST ") +
           (draw / 16 % 2 == 0 ? "/resume/1" : "/stream/1") +
           " HTTP/1.1\r\nHost: h\r\nX-Key: " +
           (draw / 32 % 4 == 0 ? "wall" : "key") +
           "\r\nX-Deadline-Ms: 4000\r\nX-Model: m\r\n"
           "X-Token-Usage: 1200,40\r\nX-Prefix-Hash: " +
           parts + last + "\r\nX-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" +
           id;
}

void
FatalPhases::TerminateRandomEngine()
{
    std::vector<Endpoint *> running;

    for (auto &e : options_.platform->endpoints) {
        if (e->is_engine && e->is_running)
            running.push_back(e.get());
    }
    if (running.size() < 2)
        return;
    running[options_.platform->random() % running.size()]
        ->TerminateForAWhile();
}

std::string
FatalPhases::CheckTerminations(const char *promise, size_t n)
{
    const std::vector<GwTime> &all = options_.platform->fatal_terminations;
    int late = 0;

    for (GwTime at : all)
        late += all.size() > n && at - all[n - 1] > kContactTime;
    std::string summary = std::to_string(all.size()) +
                          " endpoints terminated, " + std::to_string(late) +
                          " of them late";
    options_.log(summary);
    if (late > kMaxLateTerminations)
        options_.ledger->RecordViolation(promise, summary);
    if (all.size() < 3)
        options_.ledger->RecordViolation(
            "the soak itself works", std::string(promise) + ": " + summary);
    return std::string(", ") + promise + ": " + summary;
}
