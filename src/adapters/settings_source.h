// Reads Abseil flags from the command line and the environment and collects every problem, where
// Abseil's own parser would stop at the first. Used by all programs of the project.
#pragma once

#include <string>
#include <vector>

namespace anvilpost {

struct flag_reading {
    std::vector<std::string> positional_;
    std::vector<std::string> problems_; ///< One line each, naming the flag or variable.
    bool help_requested_ = false;
};

/// Sets the flags that were defined in files whose path contains `owner`. For flag `drain_timeout` the
/// variable is `<prefix>DRAIN_TIMEOUT`; flags go before variables.
flag_reading read_flags(int argc, char** argv, const std::string& owner, const std::string& prefix);

/// Prints the problems to standard error, each after the program's name. Returns true when there are none.
bool report_problems(const std::string& program, const std::vector<std::string>& problems);

/// Lists the flags of `owner` with their variables, defaults and help.
std::string describe_flags(const std::string& owner, const std::string& prefix);

} // namespace anvilpost
