// Defines anvilpostd's flags, with their defaults, and checks their values.
#include "daemon/settings.h"

#include "adapters/http/http_fetch.h"
#include "adapters/settings_source.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, node, "", "Name of this node; unique in the fleet.");
ABSL_FLAG(std::string, data_centre, "", "Name of the data centre that this node runs in.");
ABSL_FLAG(std::string, listen, "", "ip:port on which callers are served.");
ABSL_FLAG(std::string, admin, "", "ip:port on which operators are served: health, status, intents.");
ABSL_FLAG(std::string, mesh, "",
          "ip:port for connections of other nodes; empty runs this node without peers.");
ABSL_FLAG(std::string, peers, "", "Comma-separated mesh addresses of other nodes to contact at start.");
ABSL_FLAG(std::string, mesh_secret, "",
          "Secret shared by all nodes; prefer the variable, since flags show in process lists.");
ABSL_FLAG(std::string, store, "", "ip:port of the platform's key-value service.");
ABSL_FLAG(int, drain_notice_ms, 2000,
          "At a planned stop, how long connections are still accepted after /ready answers 503.");
ABSL_FLAG(int, drain_timeout_ms, 30000, "At a planned stop, longest wait for requests in flight.");
ABSL_FLAG(int, max_connections, 2000, "Maximum number of caller connections open at the same time.");
ABSL_FLAG(int, max_header_kb, 32, "Maximum size of a request's headers.");
ABSL_FLAG(int, max_body_kb, 8192, "Maximum size of a request's body.");
ABSL_FLAG(int, max_held_mb, 16, "Maximum total size of the bodies of all requests in flight.");
ABSL_FLAG(int, max_arriving_mb, 24, "Maximum total size of requests that have not arrived completely.");
ABSL_FLAG(int, max_unsent_mb, 0,
          "Maximum total size of what was read of responses and not yet sent to callers; 0: no limit.");
ABSL_FLAG(int, link_mbps, 0,
          "Rate of this node's network link in Mbit/s, of which large responses get 0.7; 0: no limit.");
ABSL_FLAG(int, caller_idle_s, 60, "Time without progress after which a caller connection is closed.");
ABSL_FLAG(std::string, log, "info", "Lowest level that is logged: debug, info, warning or error.");

namespace anvilpost {
namespace {

constexpr const char* flag_owner = "daemon/settings.cpp";
constexpr const char* variable_prefix = "ANVILPOST_";

/// Parses single values and appends what is wrong with them to the list of problems.
class settings_checker {
public:
    explicit settings_checker(std::vector<std::string>& problems) : problems_(problems) {}

    socket_address address(const std::string& flag, const std::string& text, bool required)
    {
        socket_address parsed;
        if (text.empty() && !required) {
            return parsed;
        }
        if (!parse_address(text, parsed.ip_, parsed.port_)) {
            problems_.push_back("--" + flag + ": '" + text + "' is not a numeric ip:port");
        }
        return parsed;
    }

    int range(const std::string& flag, int value, int low, int high)
    {
        if (value < low || value > high) {
            problems_.push_back("--" + flag + ": " + std::to_string(value) + " is outside " +
                                std::to_string(low) + " to " + std::to_string(high));
        }
        return value;
    }

    std::vector<socket_address> addresses(const std::string& flag, const std::string& text)
    {
        std::vector<socket_address> parsed;
        std::size_t start = 0;
        while (start < text.size()) {
            const auto comma = std::min(text.find(',', start), text.size());
            parsed.push_back(address(flag, text.substr(start, comma - start), true));
            start = comma + 1;
        }
        return parsed;
    }

    log_level level(const std::string& text)
    {
        if (text == "debug") {
            return log_level::debug;
        }
        if (text == "warning") {
            return log_level::warning;
        }
        if (text == "error") {
            return log_level::error;
        }
        if (text != "info") {
            problems_.push_back("--log: '" + text + "' is none of debug, info, warning, error");
        }
        return log_level::info;
    }

private:
    std::vector<std::string>& problems_;
};

} // namespace

settings_result read_settings(int argc, char** argv)
{
    settings_result result;
    const auto flags = read_flags(argc, argv, flag_owner, variable_prefix);
    result.help_requested_ = flags.help_requested_;
    result.problems_ = flags.problems_;
    for (const auto& argument : flags.positional_) {
        result.problems_.push_back("'" + argument + "': unexpected argument");
    }
    settings_checker check(result.problems_);
    auto& settings = result.settings_;
    settings.node_ = absl::GetFlag(FLAGS_node);
    if (settings.node_.empty()) {
        result.problems_.emplace_back("--node: is required");
    }
    settings.data_centre_ = absl::GetFlag(FLAGS_data_centre);
    settings.listen_ = check.address("listen", absl::GetFlag(FLAGS_listen), true);
    settings.admin_ = check.address("admin", absl::GetFlag(FLAGS_admin), true);
    settings.mesh_ = check.address("mesh", absl::GetFlag(FLAGS_mesh), false);
    settings.peers_ = check.addresses("peers", absl::GetFlag(FLAGS_peers));
    settings.mesh_secret_ = absl::GetFlag(FLAGS_mesh_secret);
    if (settings.mesh_.port_ != 0 && settings.mesh_secret_.empty()) {
        result.problems_.emplace_back("--mesh_secret: is required with --mesh");
    }
    settings.store_ = check.address("store", absl::GetFlag(FLAGS_store), true);
    constexpr int one_hour_ms = 3'600'000;
    constexpr int max_megabytes = 4'096;
    settings.drain_notice_ = std::chrono::milliseconds(
        check.range("drain_notice_ms", absl::GetFlag(FLAGS_drain_notice_ms), 0, one_hour_ms));
    settings.drain_timeout_ = std::chrono::milliseconds(
        check.range("drain_timeout_ms", absl::GetFlag(FLAGS_drain_timeout_ms), 0, one_hour_ms));
    auto& limits = settings.limits_;
    limits.max_connections_ = check.range("max_connections", absl::GetFlag(FLAGS_max_connections), 1, 60'000);
    limits.connection_limits_.max_header_bytes_ =
        1024UL * check.range("max_header_kb", absl::GetFlag(FLAGS_max_header_kb), 1, 1024);
    limits.connection_limits_.max_body_bytes_ =
        1024UL * check.range("max_body_kb", absl::GetFlag(FLAGS_max_body_kb), 1, 1 << 20);
    limits.max_arriving_bytes_ =
        (1UL << 20U) * check.range("max_arriving_mb", absl::GetFlag(FLAGS_max_arriving_mb), 1, max_megabytes);
    limits.max_held_bytes_ =
        (1UL << 20U) * check.range("max_held_mb", absl::GetFlag(FLAGS_max_held_mb), 1, max_megabytes);
    limits.max_unsent_bytes_ =
        (1UL << 20U) * check.range("max_unsent_mb", absl::GetFlag(FLAGS_max_unsent_mb), 0, max_megabytes);
    constexpr int max_link_mbps = 1'000'000;
    constexpr double bytes_per_second_of_mbps = 1e6 / 8;
    limits.link_bytes_per_second_ =
        bytes_per_second_of_mbps * check.range("link_mbps", absl::GetFlag(FLAGS_link_mbps), 0, max_link_mbps);
    limits.connection_limits_.idle_timeout_ =
        std::chrono::seconds(check.range("caller_idle_s", absl::GetFlag(FLAGS_caller_idle_s), 1, 3600));
    settings.log_level_ = check.level(absl::GetFlag(FLAGS_log));
    return result;
}

std::string settings_help()
{
    return "anvilpostd: load balancer daemon, one per entry VM\n\n"
           "example:\n"
           "  anvilpostd --node=entry-1 --listen=127.0.0.1:8080 --admin=127.0.0.1:8081 "
           "--store=127.0.0.1:8500\n\n"
           "flags, with their environment variables (a flag overrides its variable):\n" +
           describe_flags(flag_owner, variable_prefix);
}

} // namespace anvilpost
