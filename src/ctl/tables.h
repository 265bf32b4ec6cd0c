// Human-readable tables of the JSON documents that a node's admin interface returns.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

/// Differences that the plan would make and its warnings, one per line.
std::string plan_table(const nlohmann::json& plan);
/// The node's own state and a row for each upstream.
std::string status_table(const nlohmann::json& status);
/// A row for each organisation with a limit, from a node's status.
std::string organisations_table(const nlohmann::json& status);
/// A row for each objective of each service; burn rates per window, and probes against their budget.
std::string burn_table(const nlohmann::json& report);

} // namespace anvilpost
