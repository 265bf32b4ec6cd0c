// Structured logging: one JSON object per line, written through log4cplus.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace anvilpost {

enum class log_level { debug, info, warning, error };

using log_field = std::pair<std::string, nlohmann::json>;

/// Sends log lines of level `min_level` and above to standard output. Writing never blocks: a line for which
/// standard output has no room is dropped and counted. Call once before the first line.
void set_up_logging(log_level min_level, const std::string& node);

/// Writes one line with the time, the level, the node, `message` and the fields.
/// Fields must not contain secrets.
void write_log(log_level level, std::string_view message, std::initializer_list<log_field> fields = {});

/// Returns the number of lines dropped because standard output was full.
std::uint64_t dropped_log_lines();

} // namespace anvilpost
