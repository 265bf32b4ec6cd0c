// To which upstreams a node probably has idle connections, from the slots that it was granted and released.
#pragma once

#include "ports/clock_port.h"
#include "ports/upstream_port.h"

#include <string>
#include <unordered_map>

namespace anvilpost {

/// The dispatcher's guess for one node. It costs a new connection where it is wrong, and nothing else.
class granted_connections : public idle_connections {
public:
    explicit granted_connections(const clock_port& clock) : clock_(&clock) {}

    /// The node sends a call to the address and uses an idle connection, if it has one.
    void on_granted(const std::string& ip, std::uint16_t port)
    {
        const auto found = idle_since_.find(address(ip, port));
        if (found != idle_since_.end()) {
            idle_since_.erase(found);
        }
    }

    /// A call of the node was served there, so the connection can be used again.
    void on_served(const std::string& ip, std::uint16_t port)
    {
        const auto now = clock_->now();
        if (idle_since_.size() >= max_addresses) {
            std::erase_if(idle_since_, [&](const auto& item) { return now - item.second > reusable_time; });
        }
        if (idle_since_.size() < max_addresses) {
            idle_since_[address(ip, port)] = now;
        }
    }

    [[nodiscard]] bool has_idle_connection(const std::string& ip, std::uint16_t port,
                                           connection_need need) const override
    {
        const auto found = idle_since_.find(address(ip, port));
        const auto longest = need == connection_need::any ? reusable_time : recently_used_time;
        return need != connection_need::fresh && found != idle_since_.end() &&
               clock_->now() - found->second <= longest;
    }

private:
    /// A little less than the times for which nodes keep idle connections (`upstream_pool_limits`).
    static constexpr duration reusable_time = std::chrono::milliseconds(4'500);
    static constexpr duration recently_used_time = std::chrono::milliseconds(900);
    static constexpr std::size_t max_addresses = 1'000;

    static std::string address(const std::string& ip, std::uint16_t port)
    {
        return ip + ":" + std::to_string(port);
    }

    const clock_port* clock_;
    std::unordered_map<std::string, time_point> idle_since_; ///< By address.
};

} // namespace anvilpost
