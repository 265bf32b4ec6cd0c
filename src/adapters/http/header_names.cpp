// Reads what upstreams say of themselves, under the names that a platform uses.
#include "adapters/http/header_names.h"

namespace anvilpost {

self_report parse_self_report(const header_list& headers, int status, const header_names& names)
{
    constexpr int service_unavailable = 503;
    self_report report;
    const auto leaving = names.leaving_.empty() ? std::nullopt : find_header(headers, names.leaving_);
    report.leaving_ = leaving && *leaving != "0";
    if (status == service_unavailable) {
        report.retry_after_ = parse_retry_after(headers);
    }
    report.rate_limit_ = parse_rate_limit(headers, names.rate_limit_);
    if (!names.warm_up_left_.empty()) {
        report.warm_up_left_ = parse_timeout(headers, names.warm_up_left_);
    }
    if (const auto load = find_header(headers, names.load_)) {
        report.load_ = names.parse_load_(*load);
    }
    return report;
}

} // namespace anvilpost
