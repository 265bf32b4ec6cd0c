// A child process for tests. Its output goes to a file; it is signalled by its process id, never by name.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace anvilpost::testing {

/// Output and environment of a child process.
struct child_process_options {
    std::string log_path_;                           ///< Standard output and error are appended here.
    std::map<std::string, std::string> environment_; ///< Added to the parent's environment.
};

/// Owns a child process; the destructor kills it and waits for its exit.
class child_process {
public:
    child_process(const std::string& path, std::vector<std::string> arguments,
                  const child_process_options& options);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Sends a signal; does nothing after the process has been reaped.
    void signal(int number) const;

    /// Waits for the exit and returns the exit code, or 128 plus the number of the signal that ended it.
    int wait();
    [[nodiscard]] bool running();
    [[nodiscard]] pid_t pid() const { return pid_; }

private:
    void record_exit(int status);

    pid_t pid_ = -1;
    int exit_code_ = -1;
};

} // namespace anvilpost::testing
