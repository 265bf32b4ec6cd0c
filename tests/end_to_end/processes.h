// Starts and ends the real programs for end-to-end tests, and talks HTTP to them.
#pragma once

#include "support/child_process.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// A program of this build, named by its path within the build folder; its output goes to end_to_end.log.
class program_process : public child_process {
public:
    program_process(const std::string& program, std::vector<std::string> arguments);
};

struct http_answer {
    int status_ = 0; ///< 0 when no whole answer arrived.
    std::string verdict_;
    std::string body_;
    nlohmann::json json_;
};

/// Sends one request to 127.0.0.1 and waits for the whole answer.
http_answer send(std::uint16_t port, const std::string& method, const std::string& path,
                 const std::string& body = "",
                 const std::vector<std::pair<std::string, std::string>>& headers = {});

/// Sends raw bytes and returns everything that came back until the peer closed or 3 s passed.
std::string send_raw(std::uint16_t port, const std::string& bytes);

/// The same with the bytes in parts, 100 ms apart.
std::string send_raw(std::uint16_t port, const std::vector<std::string>& parts);

/// Calls `condition` until it is true or `seconds` have passed; returns whether it became true.
template <class Condition>
bool eventually(Condition condition, int seconds = 10);

/// A fleet on loopback ports of its own: one platform, upstreams, nodes.
class fleet {
public:
    fleet(int nodes, int upstreams, const std::vector<std::string>& upstream_flags = {},
          const std::vector<std::string>& node_flags = {});

    /// States and confirms an intent at the first node and waits until all nodes have it in force.
    void confirm(const nlohmann::json& changes);

    /// Puts service "desk" for host desk.example with all upstreams into force.
    void put_desk(nlohmann::json policy = nlohmann::json::object());

    http_answer call(const std::string& method, const std::string& path,
                     const std::vector<std::pair<std::string, std::string>>& headers = {}, int node = 0,
                     const std::string& body = "");
    void platform_faults(const nlohmann::json& faults, int front = 0) const;
    void upstream_faults(int upstream, const nlohmann::json& faults) const;

    /// Executions of a key over all upstreams.
    int executions(const std::string& key) const;
    void start_node(int index);
    void start_upstream(int index);

    [[nodiscard]] std::uint16_t platform_port(int front = 0) const
    {
        return base_ + static_cast<std::uint16_t>(front);
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
