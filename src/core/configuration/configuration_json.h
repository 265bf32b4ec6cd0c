// JSON form of the configuration, used in the store, in intents and between nodes.
#pragma once

#include "core/configuration/configuration.h"
#include "core/configuration/field_fault.h"

#include <nlohmann/json.hpp>

namespace anvilpost {

/// Parses a whole configuration. Throws `invalid_document` listing every fault.
configuration parse_configuration(const nlohmann::json& document);

/// Parses one service at JSON pointer `path`; faults are appended to `faults`.
service_config parse_service(const nlohmann::json& document, const std::string& path,
                             std::vector<field_fault>& faults);

/// Parses one upstream at JSON pointer `path`; faults are appended to `faults`.
upstream_config parse_upstream(const nlohmann::json& document, const std::string& path,
                               std::vector<field_fault>& faults);

/// Parses the fleet's bounds at JSON pointer `path`; faults are appended to `faults`.
fleet_config parse_fleet(const nlohmann::json& document, const std::string& path,
                         std::vector<field_fault>& faults);

/// Parses a list of routes at JSON pointer `path`; faults are appended to `faults`.
std::vector<route_config> parse_routes(const nlohmann::json& document, const std::string& path,
                                       std::vector<field_fault>& faults);

/// Appends the faults that concern more than one service, such as a host claimed twice.
void check_across_services(const configuration& config, std::vector<field_fault>& faults);

nlohmann::json to_json(const configuration& config);
nlohmann::json to_json(const service_config& service);
nlohmann::json to_json(const upstream_config& upstream);
nlohmann::json to_json(const fleet_config& fleet);
nlohmann::json to_json(const route_config& route);

} // namespace anvilpost
