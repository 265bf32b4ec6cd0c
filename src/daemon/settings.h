// Settings of the daemon: Abseil flags, each also readable from an ANVILPOST_* environment variable. A
// flag goes before a variable. All are checked before anything starts.
#pragma once

#include "adapters/http/caller_server.h"
#include "adapters/logging/json_log.h"
#include "adapters/store/consul_store.h"

#include <string>
#include <vector>

namespace anvilpost {

/// An address of this process or of a peer.
struct socket_address {
    std::string ip_;
    std::uint16_t port_ = 0;
};

struct daemon_settings {
    std::string node_;
    std::string data_centre_;
    socket_address listen_;
    socket_address admin_;
    socket_address mesh_;
    std::vector<socket_address> peers_; ///< Mesh addresses to try at start; more are learnt from peers.
    std::string mesh_secret_;           ///< Never logged.
    socket_address store_;
    duration drain_notice_{};
    duration drain_timeout_{};
    caller_limits limits_;
    log_level log_level_ = log_level::info;
};

/// Result of reading the settings; `problems_` lists everything that is wrong with them.
struct settings_reading {
    daemon_settings settings_;
    std::vector<std::string> problems_;
    bool help_wanted_ = false;
};

/// Reads the command line and the environment. Reports every problem, each naming its flag.
settings_reading read_settings(int argc, char** argv);

/// Returns the help text listing all flags and variables.
std::string settings_help();

} // namespace anvilpost
