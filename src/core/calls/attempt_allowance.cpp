// Counts calls and extra attempts in the buckets of a sliding window. Where a bucket lies partly outside
// the window, both counts err on the side of allowing fewer attempts.
#include "core/calls/attempt_allowance.h"

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

/// The oldest bucket lies partly outside the window, so its calls no longer add to the budget.
double attempt_allowance::earned(time_point now) const
{
    const auto period = period_of(now);
    double calls = 0;
    for (const auto& counted : counts_) {
        const bool whole = counted.period_ >= 0 && period - counted.period_ < static_cast<int>(buckets);
        calls += whole ? counted.calls_ : 0;
    }
    return terms_.ratio_ * calls + terms_.slack_;
}

/// The oldest bucket lies partly inside the window, so its attempts still count as spent.
double attempt_allowance::spent(time_point now) const
{
    const auto period = period_of(now);
    double extra = 0;
    for (const auto& counted : counts_) {
        const bool touched = counted.period_ >= 0 && period - counted.period_ <= static_cast<int>(buckets);
        extra += touched ? counted.extra_ : 0;
    }
    return extra;
}

bool attempt_allowance::take(time_point now, double kept_part)
{
    const double earned_now = earned(now);
    if (earned_now - spent(now) < 1.0 + kept_part * earned_now) {
        return false;
    }
    ++bucket(now).extra_;
    return true;
}

} // namespace anvilpost
