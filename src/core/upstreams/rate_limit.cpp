// Order of notices and spacing of requests to an upstream that limits its rate.
#include "core/upstreams/rate_limit.h"

#include <algorithm>

namespace anvilpost {
namespace {

/// Requests per second that all nodes together send to an upstream which names a lower limit, even 0: without
/// any response, its nodes would never learn that the limit has ended.
constexpr double min_requests_per_second = 0.2;

constexpr double min_requests_per_second_of_sharer = 1.0;

} // namespace

std::size_t rate_limit_sharers(double per_second)
{
    constexpr double max_sharers = 10'000; // Above the size of any fleet; keeps the conversion in range.
    const double sharers = std::min(max_sharers, per_second / min_requests_per_second_of_sharer);
    return std::max<std::size_t>(1, static_cast<std::size_t>(sharers));
}

bool rate_limit::apply(const rate_limit_notice& notice, time_point now)
{
    if (notice.learnt_at_ <= latest_.learnt_at_) {
        return false;
    }
    const bool changed = notice.per_second_ != latest_.per_second_;
    if (!active()) {
        paced_from_ = now;
    }
    latest_ = notice;
    return changed;
}

bool rate_limit::on_response(std::optional<double> named, bool served, time_point started, time_point now)
{
    const bool ends = active() && served && started > latest_.learnt_at_;
    return (named || ends) && apply({named, now}, now);
}

void rate_limit::set_share(double share, time_point now)
{
    if (share_ == 0) {
        paced_from_ = now;
    }
    share_ = share;
}

bool rate_limit::allows(time_point now) const
{
    if (!active()) {
        return true;
    }
    if (share_ <= 0) {
        return false;
    }
    const std::chrono::duration<double> interval(
        1.0 / (std::max(min_requests_per_second, *latest_.per_second_) * share_));
    return now - paced_from_ >= interval;
}

} // namespace anvilpost
