// Calls that wait for a free slot of a service, in the order in which they are served: what a caller
// would lose by waiting longer decides. It answers bursts in which more calls arrive than slots free up.
#pragma once

#include "vocabulary/call.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace anvilpost {

struct waiting_call {
    call_id id_{};
    int priority_ = 0;
    time_point objective_{};
    time_point deadline_{};
    bool came_back_ = false;
    duration work_{}; ///< What the call is expected to take once it runs.
};

/// Time that a call needs before its objective, in halves of its expected work: calls vary, and one that
/// starts with no time to spare is late as often as not.
constexpr int halves_of_work_needed = 3;

/// True when a call that starts now can be expected to be answered within its latency objective.
inline bool can_meet_objective(const waiting_call& waiting, time_point now)
{
    return now + waiting.work_ * halves_of_work_needed / 2 <= waiting.objective_;
}

/// Calls that can still meet their objective go first, by priority; calls that will be late follow, by
/// priority too. Within a priority those that came back go before new ones, then the earliest objective or
/// deadline decides.
/// Invariant: holds each call at most once.
class waiting_line {
public:
    void add(const waiting_call& waiting) { calls_.push_back(waiting); }

    void remove(call_id call)
    {
        std::erase_if(calls_, [&](const waiting_call& waiting) { return waiting.id_ == call; });
    }

    [[nodiscard]] bool empty() const { return calls_.empty(); }
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

    /// Waiting calls in the order of service.
    [[nodiscard]] std::vector<call_id> in_order(time_point now) const
    {
        std::vector<waiting_call> sorted = calls_;
        std::stable_sort(sorted.begin(), sorted.end(), [&](const waiting_call& a, const waiting_call& b) {
            return goes_before(a, b, now);
        });
        std::vector<call_id> order;
        order.reserve(sorted.size());
        for (const auto& waiting : sorted) {
            order.push_back(waiting.id_);
        }
        return order;
    }

    /// Calls that would be served before `newcomer`.
    [[nodiscard]] std::size_t ahead_of(const waiting_call& newcomer, time_point now) const
    {
        return static_cast<std::size_t>(
            std::count_if(calls_.begin(), calls_.end(),
                          [&](const waiting_call& waiting) { return !goes_before(newcomer, waiting, now); }));
    }

    /// Waiting calls that can no longer meet their objective.
    [[nodiscard]] std::size_t late(time_point now) const
    {
        return static_cast<std::size_t>(
            std::count_if(calls_.begin(), calls_.end(),
                          [&](const waiting_call& waiting) { return !can_meet_objective(waiting, now); }));
    }

private:
    static bool goes_before(const waiting_call& a, const waiting_call& b, time_point now)
    {
        const bool a_in_time = can_meet_objective(a, now);
        const bool b_in_time = can_meet_objective(b, now);
        if (a_in_time != b_in_time) {
            return a_in_time;
        }
        if (a.priority_ != b.priority_) {
            return a.priority_ < b.priority_;
        }
        if (a.came_back_ != b.came_back_) {
            return a.came_back_;
        }
        return a_in_time ? a.objective_ < b.objective_ : a.deadline_ < b.deadline_;
    }

    std::vector<waiting_call> calls_; ///< In order of arrival.
};

} // namespace anvilpost
