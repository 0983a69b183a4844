/* Faults from outside the processes, in series and overlapping, by a seed. */
#ifndef GALENAGW_SOAK_FAULTS_H
#define GALENAGW_SOAK_FAULTS_H

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "callers.h"

/* What faults can be done to. */
struct World {
    uint64_t seed; /* of the faults alone: they do not depend on callers */
    bool restores; /* also restore the store from older backups */
    bool limits;   /* endpoints also name rate limits */
    Platform *platform;
    std::vector<std::unique_ptr<Gateway>> *gateways;
    std::vector<std::unique_ptr<Process>> *sidecars;
    std::vector<std::unique_ptr<Proxy>> *store_paths;
};

class Faults {
  public:
    Faults(const World &world, std::function<void(const std::string &)> log);
    ~Faults();
    /* Begin faults by themselves; or end all of them, at once. */
    void Run();
    void Heal();
    /* Planned work, one kind after the other; needs no healing. */
    void Plan();
    /* Make all endpoints, or a random third, name rate limits; Heal ends
     * them. */
    void LimitEndpoints(bool all);
    /* Stop a random gateway, if it is running and is not the only one. */
    void StopGateway();

  private:
    struct Active {
        Faults *faults;
        GwTimer timer;
        std::function<void()> undo;
    };
    static void OnNext(void *user);
    static void OnPlan(void *user);
    static void OnOver(void *user);
    void During(GwTime time, std::function<void()> undo);
    void Finish(Active *active);
    GwTime Draw(GwTime least, GwTime most);
    Process *AnyProcess();
    Proxy *AnyProxy();
    Endpoint *AnyEndpoint();
    void Harm();
    void HarmProcess(Process *process);
    void KillMany();
    void HarmProxy(Proxy *proxy);
    void WriteForeign(Endpoint *endpoint);
    void HarmEndpoint(Endpoint *endpoint);
    void HarmStore();
    void RestoreStore();
    void DrainEndpoint();

    World world_;
    std::function<void(const std::string &)> log_;
    std::list<std::unique_ptr<Active>> active_;
    std::mt19937_64 random_;
    /* Separate, so that restores and limits do not change the other faults of
     * a seed. */
    std::mt19937_64 restore_random_;
    std::mt19937_64 limit_random_;
    GwTimer next_, plan_;
    bool has_backup_ = false;
    int planned_ = 0;
};

#endif
