/* gw-soak: runs the real programs under random faults and checks that they
 * keep their promises. */
#include <glib/gstdio.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include "fatal_phases.h"
#include "faults.h"
#include "galenagw/base/log.h"
#include "options.h"
#include "resource_monitor.h"

namespace {

/* Fault phases alternate with phases of planned work. Between the two, all
 * faults end and the system gets time to recover. */
constexpr GwTime kFaultPhaseTime = 5 * GW_SECOND;
constexpr GwTime kPlannedWorkTime = 7 * GW_SECOND;
/* Duration of the phase in which endpoints depart. */
constexpr GwTime kDeparturePhaseTime = 22 * GW_SECOND;
/* Duration of the phase in which software changes, and the least number of
 * engines for it. One of so many seeds runs one version only. */
constexpr GwTime kSoftwarePhaseTime = 14 * GW_SECOND;
constexpr int64_t kMinVersionedEngines = 8;
constexpr uint64_t kSeedsPerOneVersion = 5;
/* Duration of the phase with load, half of it without faults: longer than the
 * bound of outdated weights. Callers of an account during its surge, as a
 * multiple of all others; limit of each account in requests per second and
 * caller, about 1.8 times the usual rate. */
constexpr GwTime kLoadPhaseTime = 26 * GW_SECOND;
constexpr int kSurgeFactor = 2;
constexpr double kAccountRatePerCaller = 9;
/* In the final phase, after recovery, at least kMinAnsweredShare of the
 * callers' requests must be answered. */
constexpr GwTime kFinalPhaseTime = 2 * GW_SECOND;
constexpr double kMinAnsweredShare = 0.95;
/* Phase in which all endpoints announce rate limits: its duration and the
 * number of times that a gateway is stopped. */
constexpr GwTime kLimitPhaseTime = 12 * GW_SECOND;
constexpr int kLimitPhaseStops = 4;
/* Request rate of account "loud" as a multiple of its limit, and the share of
 * the limit that the account must at least be able to use in the final
 * phase. */
constexpr int kLoudRateFactor = 4;
constexpr double kMinLoudShare = 0.5;
/* Grace times of processes that are stopped, in seconds: from less than the
 * deadline of requests to more. */
constexpr int kMinGraceSeconds = 4;
constexpr uint64_t kGraceVariants = 5;
/* Interval of the check for processes that ended. */
constexpr GwTime kReapInterval = 50 * GW_MILLISECOND;
/* Time that the processes get to start before callers connect. */
constexpr GwTime kProcessStartTime = 2 * GW_SECOND;

/* One run: starts the simulated platform, the proxies and the processes, and
 * runs all phases. */
class Soak {
  public:
    Soak(const Options &options, uint64_t seed)
        : options_(options),
          engines_((int)std::max(options.engines, options.versions
                                                      ? kMinVersionedEngines
                                                      : options.engines)),
          seed_(seed),
          run_dir_(std::string(options.logs) + "/" + std::to_string(seed) +
                   "-" + std::to_string(getpid()))
    {
        GwError err = {};
        GwLoopOptions loop = {ResourceMonitor::MaxDescriptors()};
        /* All loopback addresses use the same ports. They depend on the
         * process id, so that several soaks can run at the same time. */
        Ports ports = {20000 + (int)(getpid() % 3000) * 10};

        g_mkdir_with_parents(run_dir_.c_str(), 0755);
        loop_ = GwLoop_New(&loop, &err);
        resource_monitor_ =
            std::make_unique<ResourceMonitor>(loop_, loop.max_connections);
        platform_ = std::make_unique<Platform>(loop_, seed, ports, engines_, 2,
                                               &ledger_);
        if (options.load)
            platform_->weights_bound = kWeightsBoundWithLoad;
        platform_->is_settled_since = [this](GwTime since) {
            return AllSettledSince(since);
        };
        platform_->is_sender_in_touch = [this](const std::string &request) {
            return IsInTouch(ledger_.GatewayOf(request));
        };
        platform_->is_sidecar_in_touch = [this](int engine) {
            return IsProcessInTouch(*sidecars_[(size_t)engine],
                                    gateways_.size() + (size_t)engine);
        };
        log_.open(run_dir_ + "/faults.log");
        for (int i = 0; i < options.gateways; i++)
            AddGateway(i);
        for (int i = 0; i < engines_; i++)
            AddSidecar(i);
        platform_->takes_up_streams = options.versions != 0;
        if (options.load)
            SetUpLoad();
        faults_ = std::make_unique<Faults>(
            FaultOptions{seed, options.restores != 0, options.limits != 0,
                         platform_.get(), &gateways_, &sidecars_,
                         &store_proxies_},
            [this](const std::string &what) { Log(what); });
        GwTimer_Init(&reap_timer_, loop_, OnReapTimer, this);
        OnReapTimer(this);
    }
    ~Soak()
    {
        faults_.reset();
        resource_monitor_.reset();
        loud_senders_.clear();
        callers_.clear();
        GwTimer_Stop(&reap_timer_);
        gateways_.clear();
        sidecars_.clear();
        store_proxies_.clear();
        platform_.reset();
        GwLoop_Delete(loop_);
    }

    // Runs all phases and prints the report. Returns whether no promise was
    // broken.
    bool
    RunPhases()
    {
        GwTime end = GwTime_Now() + options_.seconds * GW_SECOND;

        if (options_.versions)
            faults_->DivideSoftware(seed_ % kSeedsPerOneVersion == 0);
        RunLoopFor(kProcessStartTime);
        for (int i = 0; i < CallerCount(); i++)
            callers_.push_back(
                std::make_unique<Caller>(platform_.get(), &gateways_, i));
        StartLoudSenders();
        RunLoopFor(GW_SECOND);
        while (GwTime_Now() < end - kSettleTime - kFinalPhaseTime) {
            faults_->StartRandomFaults();
            RunLoopFor(kFaultPhaseTime);
            EndFaultsAndSettle();
            if (options_.departures) {
                faults_->StartDepartures();
                RunLoopFor(kDeparturePhaseTime);
                EndFaultsAndSettle();
            }
            if (options_.load) {
                faults_->StartLoad();
                RunLoopFor(kLoadPhaseTime / 2);
                faults_->StartRandomFaults();
                RunLoopFor(kLoadPhaseTime / 2);
                EndFaultsAndSettle();
            }
            if (options_.retries) {
                faults_->StartRetries();
                RunLoopFor(kRetryPhaseTime);
                EndFaultsAndSettle();
            }
            if (options_.weights) {
                faults_->StartWeights();
                RunLoopFor(kWeightsPhaseTime);
                EndFaultsAndSettle();
            }
            if (options_.versions) {
                faults_->StartSoftwareChanges();
                RunLoopFor(kSoftwarePhaseTime);
                EndFaultsAndSettle();
            }
            if (GwTime_Now() >
                end - kSettleTime - kFinalPhaseTime - kPlannedWorkTime)
                break;
            faults_->StartPlannedWork();
            RunLoopFor(kPlannedWorkTime);
        }
        EndFaultsAndSettle();
        FatalPhases fatal_phases(FatalPhaseOptionsOfRun());
        fatal_summary_ = fatal_phases.RunRequestPhase();
        if (options_.parts)
            fatal_summary_ += fatal_phases.RunPartPhase();
        if (options_.limits)
            StopGatewaysUnderLimits();
        RunLoopFor(kSettleTime);
        Caller::requests_sent = Caller::requests_answered = 0;
        RunLoopFor(kFinalPhaseTime);
        if (Caller::requests_answered <
            kMinAnsweredShare * Caller::requests_sent)
            ledger_.RecordViolation(
                "service recovers after faults",
                std::to_string(Caller::requests_answered) + " of " +
                    std::to_string(Caller::requests_sent) +
                    " requests were answered in the final phase");
        CheckLoudAccount();
        platform_->streams.Judge(&ledger_);
        platform_->engine_retries.Judge(&ledger_);
        platform_->plain_retries.Judge(&ledger_);
        if (resource_monitor_->IsOutOfDescriptors())
            ledger_.RecordViolation(
                "the soak itself works",
                "gw-soak ran out of descriptors: run fewer processes or "
                "raise the limit of open files (ulimit -n)");
        return PrintReport();
    }

  private:
    void
    AddGateway(int i)
    {
        const Ports &p = platform_->ports;
        auto g = std::make_unique<Gateway>();
        std::string ip = p.At(kGatewayGroup, i, 0).host;
        std::string name = "gateway" + std::to_string(i + 1);
        std::string seeds;

        for (int k = 0; k < std::min<int>((int)options_.gateways, 3); k++)
            seeds += (k ? "," : "") +
                     FormatAddress(p.At(kGatewayGroup, k, kControlPort));
        std::string file = WriteSettings(
            name, ip, i,
            "listen.front=" +
                FormatAddress(p.At(kGatewayGroup, i, kCallerPort)) +
                "\nlisten.ready_addr=" +
                FormatAddress(p.At(kGatewayGroup, i, kReadyPort)) +
                "\nlisten.control=" +
                FormatAddress(p.At(kGatewayGroup, i, kControlPort)) +
                "\nseeds=" + seeds + "\n");
        g->process = std::make_unique<Process>(
            name,
            std::vector<std::string>{"galenagw", "gateway",
                                     "--settings=" + file},
            run_dir_ + "/" + name + ".log");
        g->caller_proxy = std::make_unique<Proxy>(
            loop_, p.At(kGatewayProxyGroup, i, kCallerPort),
            p.At(kGatewayGroup, i, kCallerPort));
        gateways_.push_back(std::move(g));
    }
    void
    AddSidecar(int i)
    {
        const Ports &p = platform_->ports;
        std::string name = "sidecar" + std::to_string(i + 1);
        std::string file = WriteSettings(
            name, p.At(kEngineGroup, i, 0).host, (int)options_.gateways + i,
            "app=" + FormatAddress(p.At(kEngineGroup, i, kListedPort)) +
                "\nservice=model\n");

        sidecars_.push_back(std::make_unique<Process>(
            name,
            std::vector<std::string>{"galenagw-agent", "sidecar",
                                     "--settings=" + file},
            run_dir_ + "/" + name + ".log"));
    }
    // Writes the settings file of a process and creates the proxy between this
    // process and the store. Returns the name of the file.
    std::string
    WriteSettings(const std::string &name, const std::string &ip, int path,
                  const std::string &additional_lines)
    {
        const Ports &p = platform_->ports;
        GwAddress store = {"127.0.0.1", FakeStore_Port(platform_->store)};
        std::string file = run_dir_ + "/" + name + ".conf";

        store_proxies_.push_back(std::make_unique<Proxy>(
            loop_, p.At(kStoreProxyGroup, path, kStorePort), store));
        std::ofstream(file)
            << "node_name=" << name << "\nzone=d\nip=" << ip
            << "\nport_range=" << p.base << "," << p.base + 1
            << "\nplatform.address="
            << FormatAddress(p.At(kStoreProxyGroup, path, kStorePort))
            << "\nbounds.grace_s="
            << kMinGraceSeconds + (int)(seed_ % kGraceVariants)
            << "\nbounds.version_ms="
            << platform_->weights_bound / GW_MILLISECOND
            << "\nbounds.retry_ratio=" << kRetryRatio
            << "\nbounds.retry_slack=" << kRetrySlack
            << "\nbounds.retry_window_s=" << kRetryWindow / GW_SECOND
            << "\nbounds.quota_window_s=" << kLoudWindow / GW_SECOND
            << "\nbounds.quota_overage=" << kLoudOverage
            << "\nbounds.quota_slack=" << kLoudSlack << "\n"
            << additional_lines;
        return file;
    }
    void
    SetUpLoad()
    {
        platform_->usual_callers = (int)options_.callers;
        platform_->account_rate =
            kAccountRatePerCaller * (double)options_.callers;
        platform_->WriteNewConfig();
    }
    // Includes those that send only during a surge.
    int
    CallerCount() const
    {
        return (int)options_.callers * (options_.load ? 1 + kSurgeFactor : 1);
    }
    // Whether the effects of all faults had ended before @p since.
    bool
    AllSettledSince(GwTime since) const
    {
        bool settled = platform_->store_fault_history.IsSettledSince(since);

        for (auto &g : gateways_)
            settled = settled &&
                      g->process->fault_history.IsSettledSince(since) &&
                      g->caller_proxy->fault_history.IsSettledSince(since);
        for (auto &s : sidecars_)
            settled = settled && s->fault_history.IsSettledSince(since);
        for (auto &s : store_proxies_)
            settled = settled && s->fault_history.IsSettledSince(since);
        for (auto &e : platform_->endpoints)
            settled = settled && e->proxy->fault_history.IsSettledSince(since);
        return settled;
    }
    // Whether a process and its link to the store, the store proxy of this
    // number, were without faults for kContactTime.
    bool
    IsProcessInTouch(const Process &process, size_t store_proxy) const
    {
        GwTime since = GwTime_Now() - kContactTime;

        return process.HasRunSince(since) &&
               process.fault_history.IsFaultFreeSince(since) &&
               store_proxies_[store_proxy]->fault_history.IsFaultFreeSince(
                   since);
    }
    // Whether the machine of a gateway was without faults for kContactTime.
    bool
    IsInTouch(const std::string &gateway) const
    {
        GwTime since = GwTime_Now() - kContactTime;

        for (size_t i = 0; i < gateways_.size(); i++) {
            const Gateway &g = *gateways_[i];

            if (g.process->name == gateway)
                return IsProcessInTouch(*g.process, i) &&
                       g.caller_proxy->fault_history.IsFaultFreeSince(since);
        }
        return false;
    }
    // The platform restarts processes that ended.
    static void
    OnReapTimer(void *user)
    {
        Soak *s = static_cast<Soak *>(user);

        for (auto &g : s->gateways_)
            s->ReapAndRestart(g->process.get());
        for (auto &p : s->sidecars_)
            s->ReapAndRestart(p.get());
        GwTimer_Start(&s->reap_timer_, kReapInterval);
    }
    void
    ReapAndRestart(Process *process)
    {
        process->Reap(&ledger_);
        if (!process->IsRunning())
            process->Start();
    }
    // Ends all faults and waits until the system must have recovered.
    void
    EndFaultsAndSettle()
    {
        faults_->EndAll();
        // This event marks the end of all faults.
        Log("calm");
        // Writes a configuration as soon as the store works again. Processes
        // whose pending read was lost in the store must detect that before the
        // configuration is due.
        platform_->WriteNewConfig();
        RunLoopFor(kSettleTime + 500 * GW_MILLISECOND);
    }
    // All endpoints announce rate limits while gateways are stopped and
    // restarted: the limits must not be exceeded when the number of gateways
    // changes.
    void
    StopGatewaysUnderLimits()
    {
        RunLoopFor(kSettleTime);
        Log("all endpoints announce rate limits");
        faults_->LimitEndpoints(true);
        for (int i = 0; i < kLimitPhaseStops; i++) {
            RunLoopFor(kLimitPhaseTime / kLimitPhaseStops);
            faults_->StopGateway();
        }
        faults_->EndAll();
    }
    FatalPhaseOptions
    FatalPhaseOptionsOfRun()
    {
        return {platform_.get(), &ledger_,
                [this](GwTime interval, const char *prefix,
                       const RequestText &request) {
                    return StartSenders(interval, prefix, request);
                },
                [this](GwTime time) { RunLoopFor(time); },
                [this](const std::string &what) { Log(what); }};
    }
    // Starts one sender for each gateway.
    std::vector<std::unique_ptr<Repeater>>
    StartSenders(GwTime interval, const char *prefix,
                 const RequestText &request)
    {
        std::vector<std::unique_ptr<Repeater>> senders;

        for (auto &g : gateways_)
            senders.push_back(std::make_unique<Repeater>(
                loop_,
                Repeater::Options{
                    g->caller_proxy->address, interval, prefix,
                    [request, name = g->process->name](const std::string &id) {
                        return request(name, id);
                    }}));
        return senders;
    }
    // Sends requests of account "loud" to all gateways during the whole run,
    // at kLoudRateFactor times the account's limit.
    void
    StartLoudSenders()
    {
        GwTime interval =
            GW_SECOND * options_.gateways / kLoudRateFactor / kLoudRate;

        loud_senders_ = StartSenders(
            interval, "loud",
            [this](const std::string &gateway, const std::string &id) {
                ledger_.RecordSent(id, RequestKind::kIdempotent, gateway);
                return "GET /plain/7 HTTP/1.1\r\nHost: h\r\nX-Key: loud\r\n"
                       "X-Deadline-Ms: 4000\r\nX-Request-Id: " +
                       id + "\r\n\r\n";
            });
    }
    // Checks that account "loud" never exceeded its limit and that it could
    // use the limit in the final phase.
    void
    CheckLoudAccount()
    {
        double allowed =
            (kLoudRate * (double)kLoudWindow / GW_SECOND + kLoudBurst) *
                (1 + kLoudOverage) +
            kLoudSlack;
        int max_uses = ledger_.MaxLoudUses(kLoudWindow);
        int final_uses = ledger_.LoudUsesSince(GwTime_Now() - kFinalPhaseTime);

        Log("account loud ran at most " + std::to_string(max_uses) +
            " requests in a window and " + std::to_string(final_uses) +
            " in the final phase");
        if (max_uses > allowed)
            ledger_.RecordViolation(
                "an account stays within its limit",
                std::to_string(max_uses) + " requests ran, allowed are " +
                    std::to_string((int)allowed) + " in a window");
        if (final_uses <
            kMinLoudShare * kLoudRate * (double)kFinalPhaseTime / GW_SECOND)
            ledger_.RecordViolation("an account can use its limit",
                                    std::to_string(final_uses) +
                                        " requests ran in the final phase");
    }
    // Runs the event loop for @p time.
    void
    RunLoopFor(GwTime time)
    {
        GwTime until = GwTime_Now() + time;

        while (GwTime_Now() < until)
            GwLoop_Step(loop_);
    }
    void
    Log(const std::string &what)
    {
        char at[32];

        snprintf(at, sizeof(at), "%.3f", (double)g_get_real_time() / 1e6);
        log_ << at << " " << what << std::endl;
    }
    // Prints the outcome of the run. Deletes its logs if no promise was
    // broken, else writes the broken promises to broken.log. Returns whether
    // none was broken.
    bool
    PrintReport()
    {
        printf("seed %lu: %zu requests,", seed_, ledger_.requests());
        for (auto &o : ledger_.outcomes)
            printf(" %s %d", o.first.c_str(), o.second);
        printf(", %s, %s", platform_->engine_retries.Describe().c_str(),
               platform_->plain_retries.Describe().c_str());
        printf("%s, %zu promises broken\nthe soak itself: %s\n",
               fatal_summary_.c_str(), ledger_.violations().size(),
               resource_monitor_->Describe().c_str());
        if (ledger_.violations().empty()) {
            for (const char *name : {"gateway", "sidecar"})
                for (int i = 0; i < 300; i++)
                    for (const char *end : {".log", ".conf"})
                        g_unlink((run_dir_ + "/" + name +
                                  std::to_string(i + 1) + end)
                                     .c_str());
            g_unlink((run_dir_ + "/faults.log").c_str());
            g_rmdir(run_dir_.c_str());
            return true;
        }
        std::ofstream violations(run_dir_ + "/broken.log");
        for (auto &b : ledger_.violations())
            violations << b << "\n";
        violations << "the soak itself: " << resource_monitor_->Describe()
                   << "\n";
        printf("logs: %s\n", run_dir_.c_str());
        return false;
    }

    const Options &options_;
    int engines_;
    uint64_t seed_;
    std::string run_dir_;
    std::ofstream log_;
    Ledger ledger_;
    GwLoop *loop_;
    std::unique_ptr<Platform> platform_;
    std::vector<std::unique_ptr<Proxy>> store_proxies_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Process>> sidecars_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::vector<std::unique_ptr<Repeater>> loud_senders_;
    std::unique_ptr<Faults> faults_;
    std::string fatal_summary_; /* of the phases with fatal requests */
    std::unique_ptr<ResourceMonitor> resource_monitor_;
    GwTimer reap_timer_;
};

// Returns whether the run broke no promise.
bool
RunSeed(const Options &options, uint64_t seed)
{
    Soak soak(options, seed);
    bool passed = soak.RunPhases();

    fflush(stdout);
    return passed;
}

// Runs each seed of a file and returns the number of failed runs. A line has
// seed, seconds, gateways and engines; the rest of the line is a comment.
int
RunSeedFile(Options options)
{
    std::ifstream file(options.regressions);
    std::string line;
    int failed = 0;

    while (std::getline(file, line)) {
        std::istringstream fields(line);
        uint64_t seed = 0;

        if (line.empty() || line[0] == '#' ||
            !(fields >> seed >> options.seconds >> options.gateways >>
              options.engines))
            continue;
        failed += !RunSeed(options, seed);
    }
    return failed;
}

} // namespace

int
main(int argc, char **argv)
{
    Options o;
    GwSettingsOptions parse = {};
    GwError err = {};
    int failed = 0;

    parse.table = kSettings;
    parse.doc = "Runs the real programs under random faults and checks their "
                "promises.";
    parse.target = &o;
    if (!GwSettings_Parse(&parse, argc, argv, &err) ||
        !GwLog_Init("warning", &err)) {
        fprintf(stderr, "gw-soak: %s\n", err.message);
        return 2;
    }
    if (o.regressions != nullptr)
        return RunSeedFile(o) != 0;
    if (o.seed == 0)
        o.seed = std::random_device()();
    for (int64_t i = 0; i < o.seeds; i++)
        failed += !RunSeed(o, (uint64_t)(o.seed + i));
    printf("%d passed, %d failed\n", (int)o.seeds - failed, failed);
    return failed != 0;
}
