/* The real programs, as processes that the soak starts and signals. */
#ifndef GALENAGW_SOAK_PROCESSES_H
#define GALENAGW_SOAK_PROCESSES_H

#include <sys/types.h>

#include <string>
#include <vector>

#include "ledger.h"

class Process {
  public:
    /* @p args begins with a program that lies beside this one; what it writes
     * is added to @p log. */
    Process(std::string name, std::vector<std::string> args, std::string log);
    ~Process();

    void Start();
    /* Send a signal to the process, if it runs. */
    void Signal(int number);
    /* Expect it to end: by SIGTERM, or at once by SIGKILL. */
    void Stop();
    void Kill();
    /* Collect it if it has ended. */
    void Reap(Ledger *ledger);

    bool
    IsRunning() const
    {
        return pid_ != 0;
    }
    bool
    IsStopping() const
    {
        return pid_ != 0 && expected_;
    }
    unsigned
    incarnation() const
    {
        return incarnation_;
    }
    const std::string name;
    Disturbance disturbance;

  private:
    std::vector<std::string> args_;
    std::string log_;
    pid_t pid_ = 0;
    bool expected_ = false; /* its end */
    unsigned incarnation_ = 0;
};

#endif
