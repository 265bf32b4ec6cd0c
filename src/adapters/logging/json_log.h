// Structured logging: one JSON object per line, written through log4cplus.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace anvilpost {

enum class log_level { debug, info, warning, error };

using log_field = std::pair<std::string, nlohmann::json>;

/// Sends log lines to standard error from `least` upwards. Call once before the first line.
void set_up_logging(log_level least, const std::string& node);

/// Writes one line with the time, the level, the node, `message` and the fields.
/// Fields must hold no secret.
void write_log(log_level level, const std::string& message, std::initializer_list<log_field> fields = {});

} // namespace anvilpost
