// Errors that anvilpost itself answers with, as RFC 9457 problem details plus a verdict.
#pragma once

#include "vocabulary/verdict.h"

#include <chrono>
#include <optional>
#include <string>

namespace anvilpost {

enum class problem_kind {
    malformed_request,
    body_too_large,
    header_too_large,
    memory_exhausted,
    unknown_service,
    node_draining,
    no_upstream,
    overloaded,
    deadline_exceeded,
    upstream_unreachable,
    upstream_broken,
    duplicate_request,
    key_expired,
    claims_unavailable,
    quarantined,
    request_timeout,
    not_configured,
    retries_exhausted,
};

template <>
struct enum_names<problem_kind> {
    static constexpr std::array<std::pair<problem_kind, std::string_view>, 18> table{{
        {problem_kind::malformed_request, "malformed_request"},
        {problem_kind::body_too_large, "body_too_large"},
        {problem_kind::header_too_large, "header_too_large"},
        {problem_kind::memory_exhausted, "memory_exhausted"},
        {problem_kind::unknown_service, "unknown_service"},
        {problem_kind::node_draining, "node_draining"},
        {problem_kind::no_upstream, "no_upstream"},
        {problem_kind::overloaded, "overloaded"},
        {problem_kind::deadline_exceeded, "deadline_exceeded"},
        {problem_kind::upstream_unreachable, "upstream_unreachable"},
        {problem_kind::upstream_broken, "upstream_broken"},
        {problem_kind::duplicate_request, "duplicate_request"},
        {problem_kind::key_expired, "key_expired"},
        {problem_kind::claims_unavailable, "claims_unavailable"},
        {problem_kind::quarantined, "quarantined"},
        {problem_kind::request_timeout, "request_timeout"},
        {problem_kind::not_configured, "not_configured"},
        {problem_kind::retries_exhausted, "retries_exhausted"},
    }};
};

struct problem {
    problem_kind kind_ = problem_kind::malformed_request;
    verdict verdict_ = verdict::not_run;
    std::string detail_;
    std::optional<std::chrono::milliseconds> retry_after_;
};

/// Returns the Retry-After value of a problem, in seconds with a fraction where needed.
std::string retry_after_text(std::chrono::milliseconds delay);

/// Returns the HTTP status that goes with a kind of problem.
int status_of(problem_kind kind);

/// Returns the problem document, `application/problem+json`.
std::string problem_document(const problem& what, const std::string& request_id);

} // namespace anvilpost
