// Tables for people, made from the JSON documents that a node answers with.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

std::string plan_table(const nlohmann::json& plan);
std::string status_table(const nlohmann::json& status);
std::string burn_table(const nlohmann::json& report);

} // namespace anvilpost
