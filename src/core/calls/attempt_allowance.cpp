// Sliding window in buckets.
#include "core/calls/attempt_allowance.h"

#include <algorithm>

namespace anvilpost {

attempt_allowance::counts& attempt_allowance::bucket(time_point now)
{
    const auto period = period_of(now);
    auto& found = counts_[static_cast<std::size_t>(period) % counts_.size()];
    if (found.period_ != period) {
        found = {period, 0, 0};
    }
    return found;
}

double attempt_allowance::left(time_point now) const
{
    const auto period = period_of(now);
    double calls = 0;
    double extra = 0;
    for (const auto& counted : counts_) {
        const bool in_window = counted.period_ >= 0 && period - counted.period_ <= static_cast<int>(buckets);
        if (in_window) {
            // The oldest bucket reaches out of the window: its calls no longer earn, its attempts count.
            calls += period - counted.period_ < static_cast<int>(buckets) ? counted.calls_ : 0;
            extra += counted.extra_;
        }
    }
    return terms_.ratio_ * calls + terms_.slack_ - extra;
}

bool attempt_allowance::take(time_point now)
{
    if (left(now) < 1.0) {
        return false;
    }
    ++bucket(now).extra_;
    return true;
}

} // namespace anvilpost
