// Sub-commands of anvilpostctl, the operators' command-line tool, and its exit codes.
#pragma once

namespace anvilpost {

/// Exit codes that scripts can rely on.
enum class exit_code {
    done = 0,
    failed = 1,      ///< The node or the store failed; the message says what is known.
    wrong_usage = 2, ///< Invalid flags or arguments; no request was sent.
    refused = 3,     ///< The intent or plan is invalid or needs review; nothing was changed.
    base_moved = 4,  ///< The configuration has changed since the plan was made; a new plan is printed.
    unreachable = 5, ///< The node sent no complete response in time.
};

/// Runs the sub-command named on the command line and returns the process's exit code.
int run_command(int argc, char** argv);

} // namespace anvilpost
