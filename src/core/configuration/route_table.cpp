// Looks up routes by host and longest path prefix, and chooses among a route's targets by smooth weighted
// round robin.
#include "core/configuration/route_table.h"

#include <algorithm>
#include <set>

namespace anvilpost {

weighted_turns::weighted_turns(const std::vector<route_target>& targets, random_port& random)
    : targets_(targets), credit_(targets.size(), 0)
{
    for (const auto& target : targets_) {
        total_ += target.weight_;
    }
    // Skipping a random number of turns starts the sequence at a random place.
    for (auto skipped = random_below(random, static_cast<std::size_t>(std::max(1, total_))); skipped > 0;
         --skipped) {
        (void)next();
    }
}

const std::string& weighted_turns::next()
{
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        credit_[i] += targets_[i].weight_;
        chosen = credit_[i] > credit_[chosen] ? i : chosen;
    }
    credit_[chosen] -= total_;
    return targets_[chosen].service_;
}

void route_table::add(route_config route)
{
    auto& routes = by_host_[route.host_];
    const auto place = std::find_if(routes.begin(), routes.end(), [&](const route_config& other) {
        return other.path_prefix_.size() < route.path_prefix_.size();
    });
    routes.insert(place, std::move(route));
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
            route_config whole_host;
            whole_host.name_ = "host " + host;
            whole_host.host_ = host;
            whole_host.targets_ = {{name, 1}};
            whole_host.timeout_ = service.policy_.timeout_;
            whole_host.objective_ = service.objective_.latency_;
            add(std::move(whole_host));
        }
    }
    std::set<std::string> names;
    for (const auto& [unused, routes] : by_host_) {
        for (const auto& route : routes) {
            names.insert(route.name_);
            const auto known = turns_.find(route.name_);
            if (known == turns_.end() || known->second.targets() != route.targets_) {
                turns_.insert_or_assign(route.name_, weighted_turns(route.targets_, random));
            }
        }
    }
    std::erase_if(turns_, [&](const auto& entry) { return !names.contains(entry.first); });
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
    return turns_.at(route.name_).next();
}

} // namespace anvilpost
