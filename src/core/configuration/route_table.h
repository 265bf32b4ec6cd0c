// Finds the route of a call by its host and the longest matching path prefix, and distributes a route's
// calls among its services by weight.
#pragma once

#include "core/configuration/configuration.h"
#include "ports/random_port.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilpost {

/// Distributes calls among the targets of a route by smooth weighted round robin, so that the weights hold
/// over short spans too. Invariant for two targets: after n calls, each has received its share of n to within
/// one call. With more targets the difference can be a little larger.
class weighted_round_robin {
public:
    /// Starts at a random place in the sequence, so that the nodes of a fleet do not all send their first
    /// calls to the same target.
    weighted_round_robin(const std::vector<route_target>& targets, random_port& random);

    /// Returns the service for the next call.
    [[nodiscard]] const std::string& next();
    [[nodiscard]] const std::vector<route_target>& targets() const { return targets_; }

private:
    std::vector<route_target> targets_;
    std::vector<std::int64_t> current_weights_; ///< By target; the largest is next. Sums to 0 between calls.
    std::int64_t total_weight_ = 0;             ///< Sum of the targets' weights.
};

/// The routes in force, with the round-robin state of each. Invariant: `find` returns routes of the
/// configuration last applied; a pointer to one is valid until the next `apply`.
class route_table {
public:
    /// Replaces the routes by those of `config`, with an implicit one for each host of a service that has no
    /// route for the prefix "/". A route that keeps its name and targets continues its round robin, so that
    /// the weights hold while other parts of the configuration change.
    void apply(const configuration& config, random_port& random);

    /// Returns the route of `host` with the longest prefix that `path` begins with, or nullptr.
    [[nodiscard]] const route_config* find(const std::string& host, std::string_view path) const;

    /// Returns the service for the route's next call. `route` must be one that `find` returned.
    [[nodiscard]] const std::string& next_service(const route_config& route);

    /// True when a route of that name is in force, implicit routes included.
    [[nodiscard]] bool has(const std::string& name) const { return round_robins_.contains(name); }

private:
    void add(route_config route);

    std::map<std::string, std::vector<route_config>, std::less<>> by_host_; ///< Longest prefix first.
    std::map<std::string, weighted_round_robin> round_robins_;              ///< By route name.
};

} // namespace anvilpost
