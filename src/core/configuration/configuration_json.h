// Parsing and printing of the configuration's JSON form, which is used in the store, in intents and between
// nodes. A field that is missing keeps the default of its member in configuration.h.
#pragma once

#include "core/configuration/configuration.h"
#include "core/configuration/field_fault.h"
#include "core/configuration/json_reader.h"

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

/// Parses the bounds of the fleet at JSON pointer `path`; faults are appended to `faults`.
fleet_config parse_fleet(const nlohmann::json& document, const std::string& path,
                         std::vector<field_fault>& faults);

/// Parses a list of routes at JSON pointer `path`; faults are appended to `faults`.
std::vector<route_config> parse_routes(const nlohmann::json& document, const std::string& path,
                                       std::vector<field_fault>& faults);

/// Parses one organisation at JSON pointer `path`; faults are appended to `faults`. Keys are given in plain
/// text or as digests; only their digests are kept.
organisation_config parse_organisation(const nlohmann::json& document, const std::string& path,
                                       std::vector<field_fault>& faults);

/// Parses a list of keys, the value of `field`.
std::vector<key_digest> parse_keys(json_reader& reader, const std::string& field);

/// Appends a fault for each key that is listed twice, by one organisation or by two. Each organisation's path
/// is `path` and its name.
void check_keys(const std::map<std::string, organisation_config>& organisations, const std::string& path,
                std::vector<field_fault>& faults);

/// Appends the faults that involve several parts of the configuration: a host that two services claim, two
/// routes with the same name or the same host and prefix, a route to an unknown service.
void check_consistency(const configuration& config, std::vector<field_fault>& faults);

/// Prints the JSON form that `parse_configuration` accepts; the overloads print the parts of it.
nlohmann::json to_json(const configuration& config);
nlohmann::json to_json(const service_config& service);
nlohmann::json to_json(const upstream_config& upstream);
nlohmann::json to_json(const fleet_config& fleet);
nlohmann::json to_json(const route_config& route);
nlohmann::json to_json(const organisation_config& organisation);

} // namespace anvilpost
