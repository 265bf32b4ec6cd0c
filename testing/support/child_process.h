// A child process for tests: started with its output in a file, signalled by its id, never by name.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace anvilpost::testing {

struct child_options {
    std::string log_path_;                           ///< Standard output and error are appended here.
    std::map<std::string, std::string> environment_; ///< Added to the parent's.
};

/// Its destructor kills the process and waits for it.
class child_process {
public:
    child_process(const std::string& path, std::vector<std::string> arguments, const child_options& options);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Does nothing once the process has ended.
    void signal(int number) const;

    /// Waits for the end and returns the exit code, or 128 plus the signal's number.
    int wait();
    [[nodiscard]] bool running();
    [[nodiscard]] pid_t pid() const { return pid_; }

private:
    void note_end(int status);

    pid_t pid_ = -1;
    int exit_code_ = -1;
};

} // namespace anvilpost::testing
