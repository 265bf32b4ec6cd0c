// Length of a warm-up and spacing of the requests to a cold upstream.
#include "core/upstreams/warm_up_limit.h"

#include <algorithm>

namespace anvilpost {
namespace {

/// Share of the rate that the nodes use. Nodes that cannot communicate may count the others as gone; the rest
/// keeps their sum within the tolerance of the bound.
constexpr double used_rate_share = 0.7;

constexpr double min_requests_per_second_of_sharer = 1.0;

/// Nodes learn the end of a warm-up with differences of this size, from the times of messages.
constexpr duration end_jitter = std::chrono::milliseconds(100);

} // namespace

std::size_t warm_up_sharers(double per_second)
{
    constexpr double max_sharers = 10'000; // Above the size of any fleet; keeps the conversion in range.
    const double sharers =
        std::min(max_sharers, per_second * used_rate_share / min_requests_per_second_of_sharer);
    return std::max<std::size_t>(1, static_cast<std::size_t>(sharers));
}

bool warm_up_limit::extend(duration left, time_point now)
{
    const auto end = now + left;
    if (left <= duration{} || end <= ends_at_) {
        return false;
    }
    const bool begins = !cold(now);
    if (begins) {
        began_at_ = now;
        paced_from_ = now;
        share_ = 0;
    }
    const bool changed = begins || end > ends_at_ + end_jitter;
    ends_at_ = end;
    return changed;
}

void warm_up_limit::set_share(double share, time_point now)
{
    if (share_ == 0) {
        paced_from_ = now;
    }
    share_ = share;
}

bool warm_up_limit::allows(time_point now) const
{
    if (!active(now)) {
        return true;
    }
    if (share_ <= 0) {
        return false;
    }
    const std::chrono::duration<double> interval(1.0 / (per_second_ * used_rate_share * share_));
    return now - paced_from_ >= interval;
}

} // namespace anvilpost
