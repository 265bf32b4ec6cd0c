// Compares two configurations field by field, in their JSON form, and names who is affected by each
// difference.
#include "core/configuration/configuration_changes.h"

#include "core/configuration/configuration_check.h"
#include "core/configuration/configuration_json.h"

#include <algorithm>

namespace anvilpost {
namespace {

using nlohmann::json;

/// Appends one finding for each field that differs. Keys are counted, never shown.
class difference_walk {
public:
    explicit difference_walk(std::vector<finding>& found) : found_(found) {}

    void compare(const std::string& path, const json& before, const json& after, const std::string& affected)
    {
        if (before == after) {
            return;
        }
        if (before.is_object() && after.is_object()) {
            for (const auto& [name, value] : after.items()) {
                compare(path + "/" + escape_pointer_token(name), before.value(name, json()), value, affected);
            }
            for (const auto& [name, value] : before.items()) {
                if (!after.contains(name)) {
                    compare(path + "/" + escape_pointer_token(name), value, json(), affected);
                }
            }
            return;
        }
        add(path,
            path.ends_with("/keys") ? describe_keys(before, after) : shown(before) + " -> " + shown(after),
            affected);
    }

    void add(const std::string& path, const std::string& message, const std::string& affected)
    {
        found_.push_back({finding_severity::change, path, message, affected, {}});
    }

private:
    static std::string shown(const json& value) { return value.is_null() ? "(none)" : value.dump(); }

    static std::string describe_keys(const json& before, const json& after)
    {
        const auto count_missing = [](const json& in, const json& from) {
            return std::count_if(in.begin(), in.end(), [&](const json& key) {
                return std::find(from.begin(), from.end(), key) == from.end();
            });
        };
        return std::to_string(count_missing(after, before)) + " keys added, " +
               std::to_string(count_missing(before, after)) + " withdrawn: requests with those get 401";
    }

    std::vector<finding>& found_;
};

/// Compares the entries of one section by name. `whose` names who is affected by an entry.
template <class Entries, class Path, class Whose>
void compare_entries(difference_walk& walk, const Entries& before, const Entries& after, const Path& path_of,
                     const Whose& whose)
{
    for (const auto& [name, entry] : after) {
        const auto old = before.find(name);
        if (old == before.end()) {
            walk.add(path_of(name), "added", whose(name));
        }
        else {
            walk.compare(path_of(name), to_json(old->second), to_json(entry), whose(name));
        }
    }
    for (const auto& [name, unused] : before) {
        if (!after.contains(name)) {
            walk.add(path_of(name), "removed", whose(name));
        }
    }
}

std::map<std::string, route_config> routes_by_name(const configuration& config)
{
    std::map<std::string, route_config> routes;
    for (const auto& route : config.routes_) {
        routes[route.name_] = route;
    }
    return routes;
}

} // namespace

std::string callers_of_service(const configuration& config, const std::string& service)
{
    std::string names;
    const auto add = [&](const std::string& name) { names += (names.empty() ? "" : ", ") + name; };
    if (const auto found = config.services_.find(service); found != config.services_.end()) {
        for (const auto& host : found->second.hosts_) {
            add(host);
        }
    }
    for (const auto& route : config.routes_) {
        if (std::any_of(route.targets_.begin(), route.targets_.end(),
                        [&](const auto& target) { return target.service_ == service; })) {
            add("route " + route.name_);
        }
    }
    return names.empty() ? "" : "callers of " + names;
}

std::string callers_of_route(const route_config& route)
{
    return "callers of " + route.host_ + route.path_prefix_;
}

std::string callers_of_organisation(const std::string& organisation)
{
    return "callers of organisation " + organisation;
}

std::vector<finding> find_changes(const configuration& before, const configuration& after)
{
    std::vector<finding> found;
    difference_walk walk(found);
    walk.compare("/fleet", to_json(before.fleet_), to_json(after.fleet_), "all callers");
    compare_entries(
        walk, before.services_, after.services_,
        [](const std::string& name) { return "/services/" + escape_pointer_token(name); },
        [&](const std::string& name) {
            return callers_of_service(after.services_.contains(name) ? after : before, name);
        });
    const auto old_routes = routes_by_name(before);
    const auto new_routes = routes_by_name(after);
    compare_entries(
        walk, old_routes, new_routes,
        [&](const std::string& name) {
            const auto at = std::find_if(after.routes_.begin(), after.routes_.end(),
                                         [&](const auto& route) { return route.name_ == name; });
            return at == after.routes_.end() ? "/routes (" + name + ")"
                                             : "/routes/" + std::to_string(at - after.routes_.begin());
        },
        [&](const std::string& name) {
            return callers_of_route(new_routes.contains(name) ? new_routes.at(name) : old_routes.at(name));
        });
    if (before.organisations_.has_value() != after.organisations_.has_value()) {
        walk.add("/organisations",
                 after.organisations_ ? "callers need keys now" : "callers need no keys now", "all callers");
    }
    const std::map<std::string, organisation_config> none;
    compare_entries(
        walk, before.organisations_ ? *before.organisations_ : none,
        after.organisations_ ? *after.organisations_ : none,
        [](const std::string& name) { return "/organisations/" + escape_pointer_token(name); },
        [](const std::string& name) { return callers_of_organisation(name); });
    walk.compare("/evacuated", json(before.evacuated_), json(after.evacuated_),
                 "callers of all services with upstreams there");
    return found;
}

std::vector<finding> check_transition(const configuration& before, const configuration& after)
{
    std::vector<finding> found;
    const auto warn = [&](const std::string& path, const std::string& message, const std::string& affected) {
        found.push_back({finding_severity::warning, path, message, affected, {}});
    };
    const auto count_receiving = [](const service_config& service) {
        return std::count_if(service.upstreams_.begin(), service.upstreams_.end(),
                             [](const auto& entry) { return receives_calls(entry.second.state_); });
    };
    if (after.organisations_ && !before.organisations_) {
        warn("/organisations", "callers will need keys; routes without allow_anonymous refuse all others",
             "all callers");
    }
    for (const auto& [name, service] : after.services_) {
        const auto path = "/services/" + escape_pointer_token(name) + "/upstreams";
        const auto affected = callers_of_service(after, name);
        const auto count = count_receiving(service);
        const auto old = before.services_.find(name);
        const auto old_count = old == before.services_.end() ? 0 : count_receiving(old->second);
        if (count < 2 && count != old_count) {
            warn(path,
                 "leaves service " + name + " with " + std::to_string(count) +
                     " upstreams that receive calls",
                 affected);
        }
        if (old == before.services_.end()) {
            continue;
        }
        for (const auto& [upstream_name, upstream] : old->second.upstreams_) {
            if (!service.upstreams_.contains(upstream_name) && receives_calls(upstream.state_)) {
                warn(path,
                     "removes upstream " + name + "/" + upstream_name +
                         " without a leaving state first; calls in flight finish, but it cannot be watched "
                         "while it empties",
                     affected);
            }
        }
    }
    for (const auto& [name, service] : before.services_) {
        if (!after.services_.contains(name) && count_receiving(service) > 0) {
            warn("/services", "removes service " + name + ", which still receives calls",
                 callers_of_service(before, name));
        }
    }
    return found;
}

} // namespace anvilpost
