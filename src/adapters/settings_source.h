// Reads Abseil flags from the command line and the environment for all programs of the project. It collects
// every problem, where Abseil's own parser would stop at the first.
#pragma once

#include <string>
#include <vector>

namespace anvilpost {

/// Result of `read_flags`.
struct flag_parse_result {
    std::vector<std::string> positional_;
    std::vector<std::string> problems_; ///< One line each, naming the flag or variable.
    bool help_requested_ = false;
};

/// Sets the flags that are defined in files whose path contains `path_part`. Flag `drain_timeout` can also be
/// given by the environment variable `<prefix>DRAIN_TIMEOUT`; the command line takes precedence.
flag_parse_result read_flags(int argc, char** argv, const std::string& path_part, const std::string& prefix);

/// Prints the problems to standard error, one line each with the program's name. Returns true when there are
/// none.
bool report_problems(const std::string& program, const std::vector<std::string>& problems);

/// Returns the help text for the flags of `path_part`: their variables, defaults and descriptions.
std::string describe_flags(const std::string& path_part, const std::string& prefix);

} // namespace anvilpost
