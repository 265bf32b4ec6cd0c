// The names under which the facts of a call travel in HTTP headers. The defaults are the product's own;
// an adapter to a platform with other names passes a table of its own.
#pragma once

#include "adapters/http/header_rules.h"
#include "vocabulary/call.h"

#include <optional>
#include <string>

namespace anvilpost {

/// Reads a load report; returns nothing when the value cannot be read.
using load_parser = std::optional<load_report> (*)(const std::string& value);

/// An empty name means that the fact does not travel.
struct header_names {
    std::string request_id_ = request_id_header;
    std::string time_left_ = timeout_header;
    std::string idempotency_key_ = idempotency_key_header;
    std::string repeatable_ = repeatable_header;
    std::string leaving_ = leaving_header;
    std::string load_ = load_report_header;
    std::string expected_instance_; ///< Request: the only instance that may run it.
    std::string instance_;          ///< Answer to a probe: which instance gave it.
    std::string not_run_;           ///< Answer: the upstream did not run the request.
    std::string via_ = "Via";
    load_parser parse_load_ = parse_orca_report;
    bool generate_request_ids_ = true;    ///< Give an id to a request that came without one.
    bool answers_echo_ids_ = false;       ///< Upstreams repeat the request's id in each answer.
    bool always_framed_ = true;           ///< An answer without a length is a failure, not one that ends with
                                          ///< its connection.
    bool fractional_retry_after_ = false; ///< Retry-After may be less than a second.
    int misdirected_status_ = 421;        ///< RFC 9110, section 15.5.20: not run by this instance.
};

} // namespace anvilpost
