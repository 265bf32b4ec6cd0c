// Starts and stops the real programs for end-to-end tests and sends HTTP requests to them.
#pragma once

#include "support/child_process.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// A program of this build, given by its path within the build folder. Its output goes to end_to_end.log in
/// the build folder.
class program_process : public child_process {
public:
    program_process(const std::string& program, std::vector<std::string> arguments);
};

/// A parsed HTTP response.
struct http_response {
    int status_ = 0; ///< 0 if no complete response arrived.
    std::string verdict_;
    std::string body_;
    nlohmann::json json_;
};

/// Sends one request with "Connection: close" to 127.0.0.1 and reads the response until the server closes the
/// connection or sends nothing for 20 s.
http_response send(std::uint16_t port, const std::string& method, const std::string& path,
                   const std::string& body = "",
                   const std::vector<std::pair<std::string, std::string>>& headers = {});

/// Sends raw bytes and returns everything received until the server closes the connection or sends nothing
/// for 3 s.
std::string send_raw(std::uint16_t port, const std::string& bytes);

/// Sends the parts 100 ms apart and returns what the overload for a single string returns.
std::string send_raw(std::uint16_t port, const std::vector<std::string>& parts);

/// Polls `condition` until it is true or `seconds` have passed; returns whether it became true.
template <class Condition>
bool eventually(Condition condition, int seconds = 10);

/// A fleet on its own range of loopback ports: one platform stand-in, upstreams and nodes.
class fleet {
public:
    /// Starts all processes and waits until the nodes are ready; throws std::runtime_error if one doesn't
    /// become ready.
    fleet(int nodes, int upstreams, const std::vector<std::string>& upstream_flags = {},
          const std::vector<std::string>& node_flags = {});

    /// Submits an intent to the first node, confirms its plan and waits until all nodes have applied it.
    /// Throws std::runtime_error if the intent or the plan is refused or a node doesn't apply it.
    void apply_changes(const nlohmann::json& changes);

    /// Configures service "desk" for host desk.example with all upstreams.
    void put_desk(nlohmann::json policy = nlohmann::json::object());

    /// Sends a request for host desk.example to a node.
    http_response call(const std::string& method, const std::string& path,
                       const std::vector<std::pair<std::string, std::string>>& headers = {}, int node = 0,
                       const std::string& body = "");
    /// Sets the faults of one of the two ports of the platform stand-in; even nodes use port 0, odd ones
    /// port 1.
    void set_platform_faults(const nlohmann::json& faults, int port_index = 0) const;
    void set_upstream_faults(int upstream, const nlohmann::json& faults) const;

    /// Number of executions of an idempotency key at all upstreams together.
    int executions(const std::string& key) const;
    void start_node(int index);
    void start_upstream(int index);

    [[nodiscard]] std::uint16_t platform_port(int port_index = 0) const
    {
        return base_ + static_cast<std::uint16_t>(port_index);
    }
    [[nodiscard]] std::uint16_t upstream_port(int i) const
    {
        return base_ + 10 + static_cast<std::uint16_t>(i);
    }
    [[nodiscard]] std::uint16_t call_port(int i) const { return base_ + 40 + static_cast<std::uint16_t>(i); }
    [[nodiscard]] std::uint16_t admin_port(int i) const { return base_ + 60 + static_cast<std::uint16_t>(i); }
    [[nodiscard]] std::uint16_t mesh_port(int i) const { return base_ + 80 + static_cast<std::uint16_t>(i); }
    [[nodiscard]] nlohmann::json status(int node) const;

    std::unique_ptr<program_process> platform_;
    std::vector<std::unique_ptr<program_process>> upstreams_;
    std::vector<std::unique_ptr<program_process>> nodes_;

private:
    std::uint16_t base_;
    std::vector<std::string> upstream_flags_;
    std::vector<std::string> node_flags_;
};

} // namespace anvilpost::testing

#include <chrono>
#include <thread>

namespace anvilpost::testing {

template <class Condition>
bool eventually(Condition condition, int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace anvilpost::testing
