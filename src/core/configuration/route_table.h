// Finds the route of a call by its host and the longest path prefix, and shares a route's calls among
// its services by their weights.
#pragma once

#include "core/configuration/configuration.h"
#include "ports/random_port.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilpost {

/// Shares calls among the targets of a route. Invariant: after n calls, each target has had its share of
/// n give or take one (smooth weighted round robin), so that weights hold in short spans too.
class weighted_turns {
public:
    /// Starts at a random place, so that many nodes do not send their first calls to the same target.
    weighted_turns(const std::vector<route_target>& targets, random_port& random);

    [[nodiscard]] const std::string& next();
    [[nodiscard]] const std::vector<route_target>& targets() const { return targets_; }

private:
    std::vector<route_target> targets_;
    std::vector<int> credit_; ///< Sums to 0 between calls.
    int total_ = 0;
};

/// Invariant: `find` returns routes of the configuration last applied.
class route_table {
public:
    /// Turns go on where a route keeps its targets.
    void apply(const configuration& config, random_port& random);

    /// Returns the route with the longest prefix that begins `path`, or nullptr.
    [[nodiscard]] const route_config* find(const std::string& host, std::string_view path) const;

    /// Returns the service for the route's next call.
    [[nodiscard]] const std::string& next_service(const route_config& route);

    /// True when a route of that name is in force.
    [[nodiscard]] bool has(const std::string& name) const { return turns_.contains(name); }

private:
    void add(route_config route);

    std::map<std::string, std::vector<route_config>, std::less<>> by_host_; ///< Longest prefix first.
    std::map<std::string, weighted_turns> turns_;                           ///< By route name.
};

} // namespace anvilpost
