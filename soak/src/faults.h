/* Injects faults into processes, connections, endpoints and the store. A seed
 * determines the sequence of faults; faults may overlap. */
#ifndef GALENAGW_SOAK_FAULTS_H
#define GALENAGW_SOAK_FAULTS_H

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "callers.h"

/* Seed and kinds of faults, and the parts of the system that they are injected
 * into. */
struct FaultOptions {
    uint64_t seed; /* of the faults only, so that callers do not affect them */
    bool restores; /* whether the store is restored from older backups */
    bool limits;   /* whether endpoints announce rate limits */
    Platform *platform;
    std::vector<std::unique_ptr<Gateway>> *gateways;
    std::vector<std::unique_ptr<Process>> *sidecars;
    std::vector<std::unique_ptr<Proxy>> *store_proxies;
};

/* Delay of the answers of a slow store: a hundred times its usual latency. */
constexpr GwTime kSlowStoreDelay = 400 * GW_MILLISECOND;

/* Duration of the phase in which engines fail most requests: more than two
 * windows of the retry budget. */
constexpr GwTime kRetryPhaseTime = 24 * GW_SECOND;

/* Duration of the phase in which weights are outdated: longer than the bound
 * and the time until restarted processes are in touch again. */
constexpr GwTime kWeightsPhaseTime = 17 * GW_SECOND;

class Faults {
  public:
    Faults(const FaultOptions &options,
           std::function<void(const std::string &)> log);
    ~Faults();
    /* Start to inject random faults, until EndAll is called. */
    void StartRandomFaults();
    /* End all active faults and planned work at once. */
    void EndAll();
    /* Start planned work, in turn: stop a gateway, write a configuration,
     * drain an endpoint, release weights. Planned work is no fault: the system
     * must keep all promises meanwhile. */
    void StartPlannedWork();
    /* Start to let endpoints depart, many of them around the end of an outage
     * or a restart of a machine, until EndAll is called. */
    void StartDepartures();
    /* Divide the engines between two versions of software, or run one version
     * on all of them. Some engines wait for the next release. */
    void DivideSoftware(bool one_version);
    /* Start to release software, to kill gateways and to restart engines, also
     * with other software, while streams are broken off, until EndAll is
     * called. */
    void StartSoftwareChanges();
    /* Start to load engines of unequal speed that changes: callers send in
     * bursts, an account sends several times its usual rate, and versions of
     * weights are named in quick series, until EndAll is called. */
    void StartLoad();
    /* Let most engines fail their requests, and kill and suspend gateways and
     * sidecars in series, until EndAll is called. */
    void StartRetries();
    /* Load engines that leave open what the protocol does (when they send
     * heads, whether they drop what is closed, when they carry out orders),
     * name versions while some of them are away, and restart all processes
     * around the bound. For kWeightsPhaseTime, until EndAll is called. */
    void StartWeights();
    /* Make all endpoints, or a random third of them, announce rate limits
     * until EndAll is called. */
    void LimitEndpoints(bool all);
    /* Stop a random gateway, if it is running and is not the only one that
     * is. */
    void StopGateway();

  private:
    /* An action that runs when its timer expires, or earlier in EndAll. Most
     * actions end a fault. */
    struct ScheduledAction {
        Faults *faults;
        GwTimer timer;
        std::function<void()> action;
    };
    static void OnNextFaultTimer(void *user);
    static void OnPlannedWorkTimer(void *user);
    static void OnDepartureTimer(void *user);
    static void OnSoftwareTimer(void *user);
    static void OnVersionTimer(void *user);
    static void OnLoadTimer(void *user);
    static void OnRetryTimer(void *user);
    static void OnActionTimer(void *user);
    /* Run @p action after @p time, or in EndAll if that is called earlier. */
    void ScheduleAction(GwTime time, std::function<void()> action);
    void RunAction(ScheduledAction *scheduled);
    /* A random number from @p least to @p most, both included. */
    static GwTime DrawFrom(std::mt19937_64 *random, GwTime least, GwTime most);
    /* The same, for random faults and planned work. */
    GwTime Draw(GwTime least, GwTime most);
    /* The same, for departures. */
    GwTime DrawForDeparture(GwTime least, GwTime most);
    /* The same, for versions of software and broken streams. */
    GwTime DrawForStreams(GwTime least, GwTime most);
    /* A random number in this range, for load. */
    double DrawFactor(double least, double most);
    Process *RandomProcess(std::mt19937_64 *random);
    Proxy *RandomProxy();
    Endpoint *RandomEndpoint(std::mt19937_64 *random);
    /* Inject a random fault into a random part of the system. */
    void InjectFault();
    void InjectProcessFault(Process *process);
    /* Kill all gateways, or all gateways and sidecars. */
    void KillProcesses();
    void InjectProxyFault(Proxy *proxy);
    void WriteInvalidRow(Endpoint *endpoint);
    void InjectEndpointFault(Endpoint *endpoint);
    void InjectStoreFault();
    void RestoreStore();
    void StallEndpoints();
    void DrainEndpoint();
    /* Let an endpoint depart around a disturbance of another part. */
    void DepartWhileGatewaysStart();
    void DepartAfterStoreIsolation();
    void DepartAfterIsolationOfAll();
    void DepartAfterInterruption();
    void DepartAfterRestart();
    /* Let the endpoint depart at @p time from now, in a random way, unless it
     * is the last one of its service. */
    void ScheduleDeparture(Endpoint *endpoint, GwTime time, GwTime drain_time);
    /* Let a random endpoint depart shortly before or after @p time from now.
     */
    void ScheduleDepartureAround(GwTime time);
    /* Let the endpoint depart and end, and start it again. */
    void DepartEndpoint(Endpoint *endpoint, Departure departure,
                        GwTime drain_time);
    /* Whether another endpoint of its service is neither departing nor down.
     */
    bool HasAlternative(const Endpoint *endpoint) const;
    /* Let streams of some engines break off for a while. */
    void BreakStreams();
    /* Slow a random engine down for a while. */
    void SlowEngineDown();
    void EndLoad();
    /* Draw what the engine does where the protocol leaves it open. */
    void VaryEngine(Endpoint *engine);
    void RestartAllProcesses();
    /* Let the engine fail most of its requests, in one of several ways. */
    void FailRequests(Endpoint *engine);
    /* Kill or suspend all gateways, or some, or kill some sidecars. */
    void LoseProcesses();
    /* Start the engines that wait with the next version, then replace the
     * oldest version, engine by engine. */
    void ReleaseSoftware();
    /* Drain the engine, then start it with this software. */
    void ScheduleReplacement(Endpoint *engine, GwTime time,
                             const std::string &software);
    void KillProcess(Process *process);
    /* Kill some agents one soon after the other, as when the machines of
     * engines are replaced. */
    void KillSidecars();
    /* Crash the endpoint and start it again at once. @p software: see
     * Endpoint::Restart. */
    static void RestartEndpoint(Endpoint *endpoint,
                                const std::string &software = "");
    /* The same for an engine, with a log line. */
    void RestartEngine(Endpoint *engine, const std::string &software);
    Endpoint *RandomEngine();
    /* Disconnect one process from the store until @p time from now. */
    void IsolateFromStore(size_t process, bool refuse, GwTime time);
    /* Kill or stop the process at @p time from now, or suspend it until then.
     */
    void ScheduleInterruption(Process *process, GwTime time);
    /* Suspend the process, which is running, for @p time. */
    void SuspendProcess(Process *process, GwTime time);
    void ScheduleKill(Process *process, GwTime time);

    FaultOptions options_;
    std::function<void(const std::string &)> log_;
    std::list<std::unique_ptr<ScheduledAction>> scheduled_actions_;
    std::mt19937_64 random_;
    /* Separate generators, so that restores, limits and departures do not
     * change the other faults of a seed. */
    std::mt19937_64 restore_random_;
    std::mt19937_64 limit_random_;
    std::mt19937_64 departure_random_;
    std::mt19937_64 stream_random_;
    std::mt19937_64 load_random_;
    std::mt19937_64 retry_random_;
    std::mt19937_64 weights_random_;
    std::mt19937_64 stop_random_;
    GwTimer next_fault_timer_, planned_work_timer_, departure_timer_,
        software_timer_, version_timer_, load_timer_, retry_timer_;
    int newest_software_ = 0; /* see SoftwareName */
    bool has_one_version_ = false;
    bool has_backup_ = false;     /* of the store */
    GwTime slow_store_until_ = 0; /* in a phase of departures */
    GwTime isolated_until_ = 0;   /* all processes, and until they are in touch
                                     again */
    int planned_count_ = 0;       /* planned work done so far */
};

#endif
