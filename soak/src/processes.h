/* Runs the real programs as child processes of the soak. */
#ifndef GALENAGW_SOAK_PROCESSES_H
#define GALENAGW_SOAK_PROCESSES_H

#include <sys/types.h>

#include <string>
#include <vector>

#include "ledger.h"

class Process {
  public:
    /* @p args begins with the name of a program in the directory of this one.
     * Its output is appended to the file @p log. */
    Process(std::string name, std::vector<std::string> args, std::string log);
    ~Process();

    void Start();
    /* Send a signal to the process if it is running. */
    void Signal(int number);
    /* Terminate the process by SIGTERM. */
    void Stop();
    /* Terminate the process by SIGKILL. */
    void Kill();
    /* Collect the exit status if the process has ended. It is a violation if
     * the process was not stopped, or if Stop made it exit with an error. */
    void Reap(Ledger *ledger);

    bool
    IsRunning() const
    {
        return pid_ != 0;
    }
    bool
    IsStopping() const
    {
        return pid_ != 0 && is_end_expected_;
    }
    /* Whether the process has run since @p since and was not stopped. */
    bool
    HasRunSince(GwTime since) const
    {
        return pid_ != 0 && !is_end_expected_ && started_at_ < since;
    }
    unsigned
    incarnation() const
    {
        return incarnation_;
    }
    const std::string name;
    FaultHistory fault_history;

  private:
    std::vector<std::string> args_;
    std::string log_path_;
    pid_t pid_ = 0;
    bool is_end_expected_ = false; /* after Stop or Kill */
    unsigned incarnation_ = 0;     /* number of starts */
    GwTime started_at_ = 0;
};

#endif
