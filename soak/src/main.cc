/* gw-soak: the real programs under random faults, held to their promises. */
#include <glib/gstdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include "faults.h"
#include "galenagw/base/log.h"
#include "repeater.h"
#include "strain.h"

namespace {

struct Options {
    int64_t seed = 0; /* 0: draw one */
    int64_t seeds = 1;
    int64_t seconds = 20;
    int64_t gateways = 3;
    int64_t engines = 4;
    int64_t callers = 24;
    int64_t restores = 0;
    int64_t limits = 0;
    const char *regressions = nullptr;
    const char *logs = "/tmp/gw-soak";
};

#define FIELD(name) offsetof(Options, name)

const GwSetting settings[] = {
    {"seed", "N", "Seed of the first run (default: a fresh one)",
     GW_SETTING_INT, FIELD(seed), 0, INT64_MAX, false},
    {"seeds", "N", "How many runs, by seeds that follow each other",
     GW_SETTING_INT, FIELD(seeds), 1, 10000, false},
    {"seconds", "S", "Length of a run", GW_SETTING_INT, FIELD(seconds), 10,
     86400, false},
    {"gateways", "N", "Gateways", GW_SETTING_INT, FIELD(gateways), 2, 64,
     false},
    {"engines", "N", "Engines, each with a sidecar", GW_SETTING_INT,
     FIELD(engines), 1, 200, false},
    {"callers", "N", "Connections of callers", GW_SETTING_INT, FIELD(callers),
     1, 2000, false},
    {"restores", nullptr, "The store is restored from older copies, too",
     GW_SETTING_FLAG, FIELD(restores), 0, 1, false},
    {"limits", nullptr, "Endpoints name rate limits, too", GW_SETTING_FLAG,
     FIELD(limits), 0, 1, false},
    {"regressions", "FILE", "Play the seeds of a file", GW_SETTING_TEXT,
     FIELD(regressions), 0, 0, false},
    {"logs", "DIR", "Where logs of runs that broke a promise stay",
     GW_SETTING_TEXT, FIELD(logs), 0, 0, false},
    {nullptr, nullptr, nullptr, GW_SETTING_INT, 0, 0, 0, false},
};

/* A fault phase, the settling behind it, and planned work on a calm system. */
constexpr GwTime kFaults = 5 * GW_SECOND;
constexpr GwTime kPlanned = 7 * GW_SECOND;
/* At the end, after the settling: what is asked then is served. */
constexpr GwTime kCalm = 2 * GW_SECOND;
constexpr double kServed = 0.95;
/* Some seconds to be found out, and then some to come again. */
constexpr GwTime kFatalTime = 8 * GW_SECOND;
/* Ends that an answer which was lost on its way may cost. */
constexpr int kFatalLate = 3;
constexpr GwTime kFatalPause = 150 * GW_MILLISECOND;
/* The phase in which all endpoints name rate limits: its length, and how many
 * times a gateway is stopped. */
constexpr GwTime kLimitPhaseTime = 12 * GW_SECOND;
constexpr int kLimitPhaseStops = 4;
/* What the loud account asks for, as a multiple of its limit; and the share of
 * the limit that it gets at the end, when all is calm. */
constexpr int kLoudTimes = 4;
constexpr double kLoudUsed = 0.5;
constexpr GwTime kTick = 50 * GW_MILLISECOND;
constexpr GwTime kStart = 2 * GW_SECOND;
/* Connections of the soak at most: each gateway keeps some to each engine, and
 * three descriptors of ours belong to each. */
constexpr int kRoom = 16384;

class Soak {
  public:
    Soak(const Options &options, uint64_t seed)
        : options_(options), seed_(seed),
          dir_(std::string(options.logs) + "/" + std::to_string(seed) + "-" +
               std::to_string(getpid()))
    {
        GwError err = {};
        GwLoopOptions loop = {Room()};
        /* The same on all addresses; other soaks take other ones. */
        Ports ports = {20000 + (int)(getpid() % 3000) * 10};

        g_mkdir_with_parents(dir_.c_str(), 0755);
        loop_ = GwLoop_New(&loop, &err);
        strain_ = std::make_unique<Strain>(loop_, loop.max_connections);
        platform_ = std::make_unique<Platform>(
            loop_, seed, ports, (int)options.engines, 2, &ledger_);
        platform_->is_calm = [this](GwTime since) { return IsCalm(since); };
        log_.open(dir_ + "/faults.log");
        for (int i = 0; i < options.gateways; i++)
            AddGateway(i);
        for (int i = 0; i < options.engines; i++)
            AddSidecar(i);
        faults_ = std::make_unique<Faults>(
            World{seed, options.restores != 0, options.limits != 0,
                  platform_.get(), &gateways_, &sidecars_, &store_paths_},
            [this](const std::string &what) { Log(what); });
        GwTimer_Init(&tick_, loop_, OnTick, this);
        OnTick(this);
    }
    ~Soak()
    {
        faults_.reset();
        strain_.reset();
        loud_.clear();
        callers_.clear();
        GwTimer_Stop(&tick_);
        gateways_.clear();
        sidecars_.clear();
        store_paths_.clear();
        platform_.reset();
        GwLoop_Delete(loop_);
    }

    bool
    Play()
    {
        GwTime end = GwTime_Now() + options_.seconds * GW_SECOND;

        Wait(kStart);
        for (int i = 0; i < options_.callers; i++)
            callers_.push_back(
                std::make_unique<Caller>(platform_.get(), &gateways_, i));
        BeLoud();
        Wait(GW_SECOND);
        while (GwTime_Now() < end - kSettle - kCalm) {
            faults_->Run();
            Wait(kFaults);
            Calm();
            if (GwTime_Now() > end - kSettle - kCalm - kPlanned)
                break;
            faults_->Plan();
            Wait(kPlanned);
        }
        Calm();
        Fatal();
        if (options_.limits)
            StopGatewaysUnderLimits();
        Wait(kSettle);
        Caller::asked = Caller::answered = 0;
        Wait(kCalm);
        if (Caller::answered < kServed * Caller::asked)
            ledger_.Broken("service comes back",
                           std::to_string(Caller::answered) + " of " +
                               std::to_string(Caller::asked) +
                               " were answered at the end");
        JudgeLoud();
        if (strain_->IsFull())
            ledger_.Broken("the soak keeps up",
                           "it ran out of descriptors: fewer processes, or "
                           "more open files (ulimit -n)");
        return Report();
    }

  private:
    void
    AddGateway(int i)
    {
        const Ports &p = platform_->ports;
        auto g = std::make_unique<Gateway>();
        std::string ip = p.At(kGateways, i, 0).host;
        std::string name = "gateway" + std::to_string(i + 1);
        std::string seeds;

        for (int k = 0; k < std::min<int>((int)options_.gateways, 3); k++)
            seeds += (k ? "," : "") + Text(p.At(kGateways, k, kControl));
        std::string file = Settings(
            name, ip, i,
            "listen.front=" + Text(p.At(kGateways, i, kCallers)) +
                "\nlisten.ready_addr=" + Text(p.At(kGateways, i, kReady)) +
                "\nlisten.control=" + Text(p.At(kGateways, i, kControl)) +
                "\nseeds=" + seeds + "\n");
        g->process = std::make_unique<Process>(
            name,
            std::vector<std::string>{"galenagw", "gateway",
                                     "--settings=" + file},
            dir_ + "/" + name + ".log");
        g->path = std::make_unique<Proxy>(loop_, p.At(kPaths, i, kCallers),
                                          p.At(kGateways, i, kCallers));
        gateways_.push_back(std::move(g));
    }
    void
    AddSidecar(int i)
    {
        const Ports &p = platform_->ports;
        std::string name = "sidecar" + std::to_string(i + 1);
        std::string file = Settings(
            name, p.At(kEngines, i, 0).host, (int)options_.gateways + i,
            "app=" + Text(p.At(kEngines, i, kListed)) + "\nservice=model\n");

        sidecars_.push_back(std::make_unique<Process>(
            name,
            std::vector<std::string>{"galenagw-agent", "sidecar",
                                     "--settings=" + file},
            dir_ + "/" + name + ".log"));
    }
    // A settings file; the process has its own path to the store.
    std::string
    Settings(const std::string &name, const std::string &ip, int path,
             const std::string &more)
    {
        const Ports &p = platform_->ports;
        GwAddress store = {"127.0.0.1", FakeStore_Port(platform_->store)};
        std::string file = dir_ + "/" + name + ".conf";

        store_paths_.push_back(std::make_unique<Proxy>(
            loop_, p.At(kStorePaths, path, kStore), store));
        std::ofstream(file)
            << "node_name=" << name << "\nzone=d\nip=" << ip
            << "\nport_range=" << p.base << "," << p.base + 1
            << "\nplatform.address=" << Text(p.At(kStorePaths, path, kStore))
            << "\nbounds.retry_ratio=0.2\nbounds.retry_slack=54"
            << "\nbounds.quota_window_s=" << kLoudWindow / GW_SECOND
            << "\nbounds.quota_overage=" << kLoudOverage
            << "\nbounds.quota_slack=" << kLoudSlack << "\n"
            << more;
        return file;
    }
    static int
    Room()
    {
        rlimit limit = {};

        getrlimit(RLIMIT_NOFILE, &limit);
        return (int)std::min<rlim_t>(limit.rlim_cur, kRoom);
    }
    static std::string
    Text(const GwAddress &a)
    {
        return std::string(a.host) + ":" + std::to_string(a.port);
    }
    bool
    IsCalm(GwTime since) const
    {
        bool calm = platform_->store_disturbance.CalmSince(since);

        for (auto &g : gateways_)
            calm = calm && g->process->disturbance.CalmSince(since) &&
                   g->path->disturbance.CalmSince(since);
        for (auto &s : sidecars_)
            calm = calm && s->disturbance.CalmSince(since);
        for (auto &s : store_paths_)
            calm = calm && s->disturbance.CalmSince(since);
        for (auto &e : platform_->endpoints)
            calm = calm && e->proxy->disturbance.CalmSince(since);
        return calm;
    }
    // The platform starts what has ended again.
    static void
    OnTick(void *user)
    {
        Soak *s = static_cast<Soak *>(user);

        for (auto &g : s->gateways_)
            s->Keep(g->process.get());
        for (auto &p : s->sidecars_)
            s->Keep(p.get());
        GwTimer_Start(&s->tick_, kTick);
    }
    void
    Keep(Process *process)
    {
        process->Reap(&ledger_);
        if (!process->IsRunning())
            process->Start();
    }
    void
    Calm()
    {
        faults_->Heal();
        Log("calm");
        // News at the moment of the store's return: a read that it swallowed
        // must be found to be lost before the news are due.
        platform_->Configure();
        Wait(kSettle + 500 * GW_MILLISECOND);
    }
    // A request that ends each endpoint that runs it comes again and again, at
    // any gateway. What the callers ask at the end must be served all the
    // same.
    void
    Fatal()
    {
        bool on_engines = platform_->random() % 2 == 0;
        auto senders =
            Repeat(kFatalPause, "fatal", [on_engines](const std::string &id) {
                return std::string("POST ") +
                       (on_engines ? "/resume/9" : "/plain/9") +
                       " HTTP/1.1\r\nHost: h\r\nX-Key: key\r\n"
                       "X-Deadline-Ms: 4000\r\nX-Request-Id: " +
                       id +
                       (on_engines ? "\r\nX-Model: m\r\nX-Token-Usage: 9,5"
                                   : "") +
                       "\r\nContent-Length: " +
                       std::to_string(strlen(kFatal)) + "\r\n\r\n" + kFatal;
            });

        Log(std::string("fatal request to ") +
            (on_engines ? "engines" : "plain endpoints"));
        Wait(kFatalTime);
        senders.clear();
        Log("fatal request ended " +
            std::to_string(platform_->fatal_ends.size()) + " endpoints, " +
            std::to_string(platform_->fatal_late) + " of them late");
        if (platform_->fatal_late > kFatalLate)
            ledger_.Broken("a fatal request is found out",
                           std::to_string(platform_->fatal_late) +
                               " endpoints ended late under it");
        if (platform_->fatal_ends.size() < 3)
            ledger_.Broken("the soak keeps up",
                           "the fatal request reached no three endpoints");
    }
    // All endpoints name rate limits while gateways stop and are restarted:
    // limits must not be exceeded when the number of gateways changes.
    void
    StopGatewaysUnderLimits()
    {
        Wait(kSettle);
        Log("all endpoints name rate limits");
        faults_->LimitEndpoints(true);
        for (int i = 0; i < kLimitPhaseStops; i++) {
            Wait(kLimitPhaseTime / kLimitPhaseStops);
            faults_->StopGateway();
        }
        faults_->Heal();
    }
    // One sender at each gateway.
    std::vector<std::unique_ptr<Repeater>>
    Repeat(GwTime pause, const char *prefix,
           const std::function<std::string(const std::string &id)> &request)
    {
        std::vector<std::unique_ptr<Repeater>> senders;

        for (auto &g : gateways_)
            senders.push_back(std::make_unique<Repeater>(
                loop_,
                Repeater::Options{g->path->address, pause, prefix, request}));
        return senders;
    }
    // An account at many times its limit, at all gateways and all the time.
    void
    BeLoud()
    {
        GwTime pause = GW_SECOND * options_.gateways / kLoudTimes / kLoudRate;

        loud_ = Repeat(pause, "loud", [this](const std::string &id) {
            ledger_.Sent(id, Kind::kIdempotent);
            return "GET /plain/7 HTTP/1.1\r\nHost: h\r\nX-Key: loud\r\n"
                   "X-Deadline-Ms: 4000\r\nX-Request-Id: " +
                   id + "\r\n\r\n";
        });
    }
    void
    JudgeLoud()
    {
        double most =
            (kLoudRate * (double)kLoudWindow / GW_SECOND + kLoudBurst) *
                (1 + kLoudOverage) +
            kLoudSlack;
        int worst = ledger_.MostUses(kLoudWindow);
        int calm = ledger_.UsesSince(GwTime_Now() - kCalm);

        Log("the loud account used " + std::to_string(worst) +
            " in a window, " + std::to_string(calm) + " at the end");
        if (worst > most)
            ledger_.Broken("an account keeps to its limit",
                           std::to_string(worst) + " of " +
                               std::to_string((int)most) + " in a window");
        if (calm < kLoudUsed * kLoudRate * (double)kCalm / GW_SECOND)
            ledger_.Broken("an account's limit is there to be used",
                           std::to_string(calm) + " at the end");
    }
    void
    Wait(GwTime time)
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
    bool
    Report()
    {
        printf("seed %lu: %zu requests,", seed_, ledger_.requests());
        for (auto &o : ledger_.outcomes)
            printf(" %s %d", o.first.c_str(), o.second);
        printf(", %zu ends under the fatal one, %d late, %zu promises broken\n"
               "the soak itself: %s\n",
               platform_->fatal_ends.size(), platform_->fatal_late,
               ledger_.broken().size(), strain_->Text().c_str());
        if (ledger_.broken().empty()) {
            for (const char *name : {"gateway", "sidecar"})
                for (int i = 0; i < 300; i++)
                    for (const char *end : {".log", ".conf"})
                        g_unlink(
                            (dir_ + "/" + name + std::to_string(i + 1) + end)
                                .c_str());
            g_unlink((dir_ + "/faults.log").c_str());
            g_rmdir(dir_.c_str());
            return true;
        }
        std::ofstream broken(dir_ + "/broken.log");
        for (auto &b : ledger_.broken())
            broken << b << "\n";
        broken << "the soak itself: " << strain_->Text() << "\n";
        printf("logs: %s\n", dir_.c_str());
        return false;
    }

    const Options &options_;
    uint64_t seed_;
    std::string dir_;
    std::ofstream log_;
    Ledger ledger_;
    GwLoop *loop_;
    std::unique_ptr<Platform> platform_;
    std::vector<std::unique_ptr<Proxy>> store_paths_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Process>> sidecars_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::vector<std::unique_ptr<Repeater>> loud_;
    std::unique_ptr<Faults> faults_;
    std::unique_ptr<Strain> strain_;
    GwTimer tick_;
};

bool
PlayOne(const Options &options, uint64_t seed)
{
    Soak soak(options, seed);
    bool held = soak.Play();

    fflush(stdout);
    return held;
}

// Lines of: seed, seconds, gateways, engines; what follows is for readers.
int
PlayFile(Options options)
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
        failed += !PlayOne(options, seed);
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

    parse.table = settings;
    parse.doc = "Random faults on the real programs; their promises checked.";
    parse.target = &o;
    if (!GwSettings_Parse(&parse, argc, argv, &err) ||
        !GwLog_Init("warning", &err)) {
        fprintf(stderr, "gw-soak: %s\n", err.message);
        return 2;
    }
    if (o.regressions != nullptr)
        return PlayFile(o) != 0;
    if (o.seed == 0)
        o.seed = std::random_device()();
    for (int64_t i = 0; i < o.seeds; i++)
        failed += !PlayOne(o, (uint64_t)(o.seed + i));
    printf("%d passed, %d failed\n", (int)o.seeds - failed, failed);
    return failed != 0;
}
