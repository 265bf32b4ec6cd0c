// Who is affected by an entry of the configuration; used by the checks and by the list of changes.
#pragma once

#include "core/configuration/configuration.h"

#include <string>

namespace anvilpost {

/// Returns whether an upstream in that state gets new requests.
constexpr bool receives_calls(upstream_state state)
{
    return state == upstream_state::active || state == upstream_state::arriving;
}

/// Names the hosts of a service and the routes that lead to it, for instance "callers of desk.example, route
/// api".
std::string callers_of_service(const configuration& config, const std::string& service);
std::string callers_of_route(const route_config& route);
std::string callers_of_organisation(const std::string& organisation);

} // namespace anvilpost
