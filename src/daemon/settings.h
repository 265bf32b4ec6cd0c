// Settings of anvilpostd: Abseil flags, each of which can also be set by an ANVILPOST_* environment variable.
// A flag overrides its variable. All settings are checked before anything starts.
#pragma once

#include "adapters/http/caller_server.h"
#include "adapters/logging/json_log.h"
#include "adapters/store/consul_store.h"

#include <string>
#include <vector>

namespace anvilpost {

/// A numeric IP address and port; port 0 means not set.
struct socket_address {
    std::string ip_;
    std::uint16_t port_ = 0;
};

/// All settings of anvilpostd, checked.
struct daemon_settings {
    std::string node_;
    std::string data_centre_;
    socket_address listen_;
    socket_address admin_;
    socket_address mesh_;
    /// Mesh addresses contacted at start; further nodes are learnt from them.
    std::vector<socket_address> peers_;
    std::string mesh_secret_; ///< Never logged.
    socket_address store_;
    duration drain_notice_{};
    duration drain_timeout_{};
    caller_limits limits_;
    log_level log_level_ = log_level::info;
};

/// Result of reading the settings; they may be used only when `problems_` is empty.
struct settings_result {
    daemon_settings settings_;
    std::vector<std::string> problems_;
    bool help_requested_ = false;
};

/// Reads the command line and the environment. Reports all problems at once, each with its flag.
settings_result read_settings(int argc, char** argv);

/// Returns the help text listing all flags and variables.
std::string settings_help();

} // namespace anvilpost
