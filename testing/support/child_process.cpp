// Implements child_process with fork, execv and waitpid.
#include "support/child_process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace anvilpost::testing {

child_process::child_process(const std::string& path, std::vector<std::string> arguments,
                             const child_process_options& options)
{
    pid_ = fork();
    if (pid_ < 0) {
        throw std::runtime_error("cannot fork");
    }
    if (pid_ > 0) {
        return;
    }
    // The kernel kills the child when its parent dies, so a crashed test leaves no processes behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (const auto& [name, value] : options.environment_) {
        setenv(name.c_str(), value.c_str(), 1);
    }
    std::string program = path;
    std::vector<char*> argv{program.data()};
    for (auto& argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int log_fd = open(options.log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log_fd, STDERR_FILENO);
    dup2(log_fd, STDOUT_FILENO);
    closefrom(STDERR_FILENO + 1);
    execv(program.c_str(), argv.data());
    _exit(127);
}

child_process::~child_process()
{
    if (running()) {
        signal(SIGKILL);
        wait();
    }
}

void child_process::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

bool child_process::running()
{
    if (pid_ < 0) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0) {
        return true;
    }
    record_exit(status);
    return false;
}

int child_process::wait()
{
    if (pid_ > 0) {
        int status = 0;
        waitpid(pid_, &status, 0);
        record_exit(status);
    }
    return exit_code_;
}

void child_process::record_exit(int status)
{
    constexpr int signal_exit_offset = 128;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_offset + WTERMSIG(status);
    pid_ = -1;
}

} // namespace anvilpost::testing
