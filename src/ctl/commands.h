// Sub-commands of anvilpostctl.
#pragma once

namespace anvilpost {

/// Exit codes that scripts can rely on.
enum class exit_code {
    done = 0,
    failed = 1,      ///< The node or the store could not do it; the message says what is known.
    wrong_usage = 2, ///< Wrong flags or arguments; nothing was sent.
    refused = 3,     ///< The intent or plan has faults; nothing was changed.
    base_moved = 4,  ///< The configuration has changed; a new plan is printed.
    unreachable = 5, ///< No node answered.
};

/// Runs the sub-command named on the command line and returns the process's exit code.
int run_command(int argc, char** argv);

} // namespace anvilpost
