// Rules for HTTP headers that need no event loop: framing checks, hop-by-hop names, deadlines.
#pragma once

#include "vocabulary/call.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilpost {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Headers of our own; docs/reference.md describes them.
inline constexpr const char* verdict_header = "Anvilpost-Verdict";
inline constexpr const char* repeatable_header = "Anvilpost-Repeatable";
inline constexpr const char* timeout_header = "Anvilpost-Timeout-Ms";
inline constexpr const char* leaving_header = "Anvilpost-Leaving";
inline constexpr const char* request_id_header = "X-Request-Id";
inline constexpr const char* idempotency_key_header = "Idempotency-Key";
inline constexpr const char* load_report_header = "endpoint-load-metrics";

/// Compares header names, which are case-insensitive (RFC 9110, section 5.1).
bool same_header(const std::string& a, const std::string& b);

/// Returns the value of the first header with that name, or nothing.
std::optional<std::string> find_header(const header_list& headers, const std::string& name);

/// How the length of a message body is told (RFC 9112, section 6).
struct framing {
    bool chunked_ = false;
    std::optional<std::uint64_t> content_length_;
};

/// Returns the framing, or nothing when it is ambiguous or malformed: both Content-Length and
/// Transfer-Encoding, either of them repeated, a length that is not digits only, a transfer coding
/// other than chunked, or a header name that is not a token.
std::optional<framing> parse_framing(const header_list& headers);

/// True for headers that concern one connection only (RFC 9110, section 7.6.1), including those that
/// `connection_value` names.
bool is_hop_by_hop(const std::string& name, const std::string& connection_value);

/// Returns the caller's deadline as a time left, or nothing when absent or not a positive number.
std::optional<std::chrono::milliseconds> parse_timeout(const header_list& headers,
                                                       const std::string& name = timeout_header);

/// Returns `timeout` of a Keep-Alive header in seconds, or nothing when absent or unreadable.
std::optional<std::chrono::seconds> parse_keep_alive(const header_list& headers);

/// Returns Host in lower case without a port.
std::string host_without_port(const std::string& host);

/// Reads `in_flight` out of an ORCA load report in JSON form ("JSON {...}" or "{...}"), from
/// `named_metrics`. Returns nothing when the report cannot be read.
std::optional<load_report> parse_orca_report(const std::string& value);

} // namespace anvilpost
