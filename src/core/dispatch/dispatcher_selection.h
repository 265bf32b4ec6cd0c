// Decides whether the fleet is large enough for dispatch, and which nodes are the dispatchers of a service.
// Each node decides from its own table of peers. Nodes that differ for a while only have less knowledge of
// each other's calls.
#pragma once

#include "core/fleet/peer_table.h"

#include <map>
#include <string>
#include <vector>

namespace anvilpost {

class dispatcher_selection {
public:
    /// Fleets of fewer nodes share the calls in flight among all nodes early enough to choose alone.
    static constexpr std::size_t usual_from_nodes = 40;

    /// Dispatch is on from `from_nodes` nodes, alive or not; 0: never.
    dispatcher_selection(const peer_table& peers, std::size_t from_nodes)
        : peers_(peers), from_nodes_(from_nodes)
    {
    }

    /// Recomputes both for the services, which must be in the same order on all nodes.
    void update(const std::vector<std::string>& services, time_point now);

    /// With hysteresis: a fleet near the limit must not change over and over.
    [[nodiscard]] bool on() const { return on_; }

    /// The dispatchers of a service, the preferred one first; empty while dispatch is off.
    [[nodiscard]] const std::vector<std::string>& ranked(const std::string& service) const;

private:
    void update_switch(time_point now);
    [[nodiscard]] std::vector<const peer*> rank(const std::string& service) const;

    const peer_table& peers_;
    std::size_t from_nodes_;
    bool on_ = false;
    time_point contrary_since_{}; ///< When the number of nodes began to speak for the other state.
    std::map<std::string, std::vector<std::string>> ranked_;
};

} // namespace anvilpost
