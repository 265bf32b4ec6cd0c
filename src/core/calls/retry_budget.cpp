// Counts calls and extra attempts in the buckets of a sliding window. Where a bucket lies partly outside
// the window, both counts err on the side of allowing fewer attempts.
#include "core/calls/retry_budget.h"

namespace anvilpost {

retry_budget::period_counts& retry_budget::bucket(time_point now)
{
    const auto period = period_of(now);
    auto& found = buckets_[static_cast<std::size_t>(period) % buckets_.size()];
    if (found.period_ != period) {
        found = {period, 0, 0};
    }
    return found;
}

/// The oldest bucket lies partly outside the window, so its calls no longer add to the budget.
double retry_budget::earned(time_point now) const
{
    const auto period = period_of(now);
    double calls = 0;
    for (const auto& entry : buckets_) {
        const bool fully_in_window =
            entry.period_ >= 0 && period - entry.period_ < static_cast<int>(bucket_count);
        calls += fully_in_window ? entry.calls_ : 0;
    }
    return settings_.ratio_ * calls + settings_.slack_;
}

/// The oldest bucket lies partly inside the window, so its attempts still count as spent.
double retry_budget::spent(time_point now) const
{
    const auto period = period_of(now);
    double extra = 0;
    for (const auto& entry : buckets_) {
        const bool partly_in_window =
            entry.period_ >= 0 && period - entry.period_ <= static_cast<int>(bucket_count);
        extra += partly_in_window ? entry.extra_attempts_ : 0;
    }
    return extra;
}

bool retry_budget::take(time_point now, double reserved_share)
{
    const double earned_now = earned(now);
    if (earned_now - spent(now) < 1.0 + reserved_share * earned_now) {
        return false;
    }
    ++bucket(now).extra_attempts_;
    return true;
}

} // namespace anvilpost
