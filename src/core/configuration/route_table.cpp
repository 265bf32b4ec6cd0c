// Looks up routes by host and longest path prefix, and chooses among a route's targets by smooth weighted
// round robin.
#include "core/configuration/route_table.h"

#include <algorithm>
#include <set>

namespace anvilpost {
namespace {

/// Enough for the nodes of a fleet to start at different places; a sequence is as long as the sum of its
/// weights, which may be millions.
constexpr std::int64_t max_turns_to_skip = 1'000;

} // namespace

weighted_round_robin::weighted_round_robin(const std::vector<route_target>& targets, random_port& random)
    : targets_(targets), current_weights_(targets.size(), 0)
{
    for (const auto& target : targets_) {
        total_weight_ += target.weight_;
    }
    // Skipping a random number of turns starts the sequence at a random place.
    const auto turns = std::clamp<std::int64_t>(total_weight_, 1, max_turns_to_skip);
    for (auto turns_to_skip = random_below(random, static_cast<std::size_t>(turns)); turns_to_skip > 0;
         --turns_to_skip) {
        (void)next();
    }
}

const std::string& weighted_round_robin::next()
{
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        current_weights_[i] += targets_[i].weight_;
        chosen = current_weights_[i] > current_weights_[chosen] ? i : chosen;
    }
    current_weights_[chosen] -= total_weight_;
    return targets_[chosen].service_;
}

void route_table::add(route_config route)
{
    auto& routes = by_host_[route.host_];
    const auto position = std::find_if(routes.begin(), routes.end(), [&](const route_config& other) {
        return other.path_prefix_.size() < route.path_prefix_.size();
    });
    routes.insert(position, std::move(route));
}

void route_table::apply(const configuration& config, random_port& random)
{
    by_host_.clear();
    for (const auto& route : config.routes_) {
        add(route);
    }
    for (const auto& [name, service] : config.services_) {
        for (const auto& host : service.hosts_) {
            const auto& routes = by_host_[host];
            // Routes are sorted longest prefix first, so the last one matches every path if any does.
            if (!routes.empty() && routes.back().path_prefix_ == "/") {
                continue;
            }
            route_config host_route;
            host_route.name_ = "host " + host;
            host_route.host_ = host;
            host_route.targets_ = {{name, 1}};
            host_route.timeout_ = service.policy_.timeout_;
            host_route.objective_ = service.objective_.latency_;
            add(std::move(host_route));
        }
    }
    std::set<std::string> names;
    for (const auto& [unused, routes] : by_host_) {
        for (const auto& route : routes) {
            names.insert(route.name_);
            const auto existing = round_robins_.find(route.name_);
            if (existing == round_robins_.end() || existing->second.targets() != route.targets_) {
                round_robins_.insert_or_assign(route.name_, weighted_round_robin(route.targets_, random));
            }
        }
    }
    std::erase_if(round_robins_, [&](const auto& entry) { return !names.contains(entry.first); });
}

const route_config* route_table::find(const std::string& host, std::string_view path) const
{
    const auto routes = by_host_.find(host);
    if (routes == by_host_.end()) {
        return nullptr;
    }
    const auto found =
        std::find_if(routes->second.begin(), routes->second.end(),
                     [&](const route_config& route) { return path.starts_with(route.path_prefix_); });
    return found == routes->second.end() ? nullptr : &*found;
}

const std::string& route_table::next_service(const route_config& route)
{
    return round_robins_.at(route.name_).next();
}

} // namespace anvilpost
