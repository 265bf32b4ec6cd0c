// Names of the HTTP headers that carry call metadata (request id, timeout, load report, ...), and a few
// switches for how a platform's upstreams behave. The defaults are anvilpost's own; an adapter to a
// platform with other header names passes its own table.
#pragma once

#include "adapters/http/header_rules.h"
#include "vocabulary/call.h"

#include <optional>
#include <string>

namespace anvilpost {

/// Parses the value of a load report header; returns nothing when it is malformed.
using load_report_parser = std::optional<load_report> (*)(const std::string& value);

/// An empty name means that the header is neither sent nor read.
struct header_names {
    std::string request_id_ = request_id_header;
    std::string time_left_ = timeout_header;
    std::string idempotency_key_ = idempotency_key_header;
    std::string repeatable_ = repeatable_header;
    std::string leaving_ = leaving_header;
    std::string load_ = load_report_header;
    std::string expected_instance_; ///< Request: the only upstream instance that may run it.
    std::string instance_;          ///< Response to a probe: the instance that sent it.
    std::string not_run_;           ///< Response: the upstream did not execute the request.
    std::string rate_limit_;        ///< Response: requests per second that the upstream accepts in all.
    std::string warm_up_left_ = "Warm-Up-Left"; ///< Response: milliseconds for which the upstream stays cold.
    std::string organisation_ = "Organisation-Id"; ///< Request: name of the organisation of the caller's key.
    std::string authorization_scheme_ = "Bearer";  ///< Of keys in the Authorization header.
    std::string via_ = "Via";
    load_report_parser parse_load_ = parse_orca_report;
    bool generate_request_ids_ = true;    ///< Give an id to a request that has none.
    bool responses_echo_ids_ = false;     ///< Upstreams copy the request's id into each response.
    bool always_framed_ = true;           ///< A response that is delimited only by the close of its
                                          ///< connection counts as failed.
    bool fractional_retry_after_ = false; ///< Write Retry-After with fractions of a second.
    int misdirected_status_ = 421;        ///< RFC 9110, section 15.5.20: this instance did not execute it.
};

/// Returns what an upstream says of itself in the headers of a response with that status.
self_report parse_self_report(const header_list& headers, int status, const header_names& names);

} // namespace anvilpost
