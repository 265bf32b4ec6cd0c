// HTTP status codes, Retry-After values and JSON documents of problems.
#include "vocabulary/problem.h"

#include <nlohmann/json.hpp>

namespace anvilpost {

int status_of(problem_kind kind)
{
    switch (kind) {
    case problem_kind::malformed_request: return 400;
    case problem_kind::body_too_large: return 413;
    case problem_kind::header_too_large: return 431;
    case problem_kind::unauthorised: return 401;
    case problem_kind::unknown_service: return 404;
    case problem_kind::quota_exceeded: return 429;
    case problem_kind::deadline_exceeded: return 504;
    case problem_kind::upstream_broken: return 502;
    case problem_kind::duplicate_request:
    case problem_kind::key_expired: return 409;
    case problem_kind::quarantined: return 422;
    case problem_kind::request_timeout: return 408;
    case problem_kind::memory_exhausted:
    case problem_kind::node_draining:
    case problem_kind::no_upstream:
    case problem_kind::overloaded:
    case problem_kind::upstream_unreachable:
    case problem_kind::claims_unavailable:
    case problem_kind::not_configured:
    case problem_kind::retries_exhausted: return 503;
    }
    return 500;
}

std::string retry_after_text(std::chrono::milliseconds delay)
{
    constexpr int milliseconds_per_second = 1000;
    const auto fraction_ms = delay.count() % milliseconds_per_second;
    std::string text = std::to_string(delay.count() / milliseconds_per_second);
    if (fraction_ms != 0) {
        const std::string digits = std::to_string(milliseconds_per_second + fraction_ms).substr(1);
        text += "." + digits;
    }
    return text;
}

std::string problem_document(const problem& error, const std::string& request_id)
{
    nlohmann::json document{
        {"type", "about:blank"},   {"title", name_of(error.kind_)},      {"status", status_of(error.kind_)},
        {"detail", error.detail_}, {"verdict", name_of(error.verdict_)}, {"request_id", request_id}};
    if (error.retry_after_) {
        document["retry_after_s"] = std::chrono::duration<double>(*error.retry_after_).count();
    }
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace anvilpost
