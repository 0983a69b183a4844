#include "processes.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <utility>

Process::Process(std::string the_name, std::vector<std::string> args,
                 std::string log)
    : name(std::move(the_name)), args_(std::move(args)),
      log_path_(std::move(log))
{
}

Process::~Process()
{
    Kill();
    if (pid_ != 0)
        waitpid(pid_, nullptr, 0);
}

void
Process::Start()
{
    g_autofree char *self = g_file_read_link("/proc/self/exe", nullptr);
    g_autofree char *dir = g_path_get_dirname(self);
    std::string path = std::string(dir) + "/" + args_[0];
    posix_spawn_file_actions_t actions;
    std::vector<char *> argv;

    for (std::string &arg : args_)
        argv.push_back(arg.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    g_assert(posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(),
                         environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    is_end_expected_ = false;
    incarnation_++;
    started_at_ = GwTime_Now();
}

void
Process::Signal(int number)
{
    if (pid_ != 0)
        kill(pid_, number);
}

void
Process::Stop()
{
    is_end_expected_ = true;
    Signal(SIGTERM);
}

void
Process::Kill()
{
    is_end_expected_ = true;
    Signal(SIGKILL);
}

void
Process::Reap(Ledger *ledger)
{
    int status = 0;

    if (pid_ == 0 || waitpid(pid_, &status, WNOHANG) != pid_)
        return;
    pid_ = 0;
    if (!is_end_expected_)
        ledger->RecordViolation(
            "processes do not fail",
            name + " ended without being stopped, wait status " +
                std::to_string(status));
    else if (WIFEXITED(status) && WEXITSTATUS(status) != 0)
        ledger->RecordViolation("processes do not fail",
                                name + " was stopped and exited with status " +
                                    std::to_string(WEXITSTATUS(status)));
}
