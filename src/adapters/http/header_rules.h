// Parsing and checking of HTTP header fields without I/O: message framing, hop-by-hop headers, timeouts
// and load reports.
#pragma once

#include "vocabulary/call.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilpost {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Headers that anvilpost itself reads or sets; docs/reference.md describes them.
inline constexpr const char* verdict_header = "Anvilpost-Verdict";
inline constexpr const char* repeatable_header = "Anvilpost-Repeatable";
inline constexpr const char* timeout_header = "Anvilpost-Timeout-Ms";
/// Request from one node to another: it was forwarded, and this many upstreams may still be tried.
inline constexpr const char* forwarded_attempts_header = "Anvilpost-Forwarded-Attempts";
/// Request from one node to another: revision of the configuration by which the sender routed it.
inline constexpr const char* forwarded_revision_header = "Anvilpost-Forwarded-Revision";
/// Request from one node to another: digest of the key that the caller showed, in place of the key.
inline constexpr const char* key_digest_header = "Anvilpost-Key-Digest";
inline constexpr const char* leaving_header = "Anvilpost-Leaving";
inline constexpr const char* request_id_header = "X-Request-Id";
inline constexpr const char* idempotency_key_header = "Idempotency-Key";
inline constexpr const char* load_report_header = "endpoint-load-metrics";

/// Returns whether two header names are equal; they are case-insensitive (RFC 9110, section 5.1).
bool same_header(const std::string& a, const std::string& b);

/// Returns the value of the first header with that name, or nothing.
std::optional<std::string> find_header(const header_list& headers, const std::string& name);

/// How the end of a message body is determined (RFC 9112, section 6).
struct framing {
    bool chunked_ = false;
    std::optional<std::uint64_t> content_length_;
};

/// Returns the framing, or nothing when it is ambiguous or malformed, since a proxy and an upstream that
/// disagree on the body's length allow request smuggling. Refused are: both Content-Length and
/// Transfer-Encoding, either of them repeated, a length that is not digits only, a transfer coding other
/// than chunked, and a header name that is not a token.
std::optional<framing> parse_framing(const header_list& headers);

/// Returns whether a proxy must not forward the header (RFC 9110, section 7.6.1), which includes headers
/// listed in `connection_value`, the value of the message's Connection header.
bool is_hop_by_hop(const std::string& name, const std::string& connection_value);

/// Returns the caller's timeout from the header `name`, or nothing when it is absent or is not a positive
/// whole number of milliseconds.
std::optional<std::chrono::milliseconds> parse_timeout(const header_list& headers,
                                                       const std::string& name = timeout_header);

/// Returns the `timeout` parameter (seconds) of the Keep-Alive header, or nothing when it is absent or
/// malformed.
std::optional<std::chrono::seconds> parse_keep_alive(const header_list& headers);

/// Returns the revision from the header `name`; 0 when it is no whole number.
std::uint64_t parse_revision(const header_list& headers, const std::string& name);

/// Returns the number of attempts from the header `name`; 1 when it is no positive whole number.
int parse_attempts(const header_list& headers, const std::string& name);

/// Returns the delay of a Retry-After header in seconds, with fractions, at most a minute; nothing when it is
/// absent or no decimal number from 0 up (dates are not used between machines whose clocks may differ).
std::optional<duration> parse_retry_after(const header_list& headers);

/// Returns the rate limit in requests per second from the header `name`, or nothing when it is absent, or no
/// decimal number from 0 up.
std::optional<double> parse_rate_limit(const header_list& headers, const std::string& name);

/// Returns the value of a Host header in lower case without its port.
std::string host_without_port(const std::string& host);

/// Reads `named_metrics.in_flight` (requests being served) from an ORCA load report in JSON form
/// ("JSON {...}" or "{...}"). Returns nothing when the report is malformed or the value negative.
std::optional<load_report> parse_orca_report(const std::string& value);

} // namespace anvilpost
