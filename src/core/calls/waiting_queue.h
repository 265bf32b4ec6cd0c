// Priority queue of the calls that wait for a free slot of a service. Bursts, in which more calls arrive than
// slots become free, fill it. The order of service depends on what a caller would lose by waiting longer.
#pragma once

#include "vocabulary/call.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace anvilpost {

struct waiting_call {
    call_id id_{};
    int priority_ = 0;       ///< 0 is the most urgent.
    time_point objective_{}; ///< Later responses count as late.
    time_point deadline_{};  ///< The call cannot be answered after this.
    bool is_resend_ = false; ///< The caller was answered before and sends the request again.
    duration work_{};        ///< Expected duration of the call once it runs.
    std::uint64_t kind_ = 0; ///< Equal for calls of one route and organisation.
};

/// Returns `waiting_call::kind_` of a call.
inline std::uint64_t kind_of(const call& wanted)
{
    return stable_hash(wanted.organisation_, stable_hash(wanted.route_ + "\n"));
}

/// Time that must be left before a call's objective when it starts, in halves of its expected work. More than
/// the expected work is needed, since durations vary: a call that starts without a margin is late about half
/// of the time.
constexpr int halves_of_work_needed = 3;

/// Returns whether a call that starts now can be expected to be answered within its latency objective.
inline bool can_meet_objective(const waiting_call& waiting, time_point now)
{
    return now + waiting.work_ * halves_of_work_needed / 2 <= waiting.objective_;
}

/// Order of service: calls that can still meet their objective come before those that will be late. Within
/// each group, the more urgent priority comes first; within a priority, resent calls come before new ones;
/// then the earlier objective (or the earlier deadline, among late calls) decides.
/// Invariant: holds each call at most once.
class waiting_queue {
public:
    void add(const waiting_call& waiting) { calls_.push_back(waiting); }

    void remove(call_id call)
    {
        std::erase_if(calls_, [&](const waiting_call& waiting) { return waiting.id_ == call; });
    }

    /// The waiting calls, in order of arrival.
    [[nodiscard]] const std::vector<waiting_call>& calls() const { return calls_; }

    [[nodiscard]] bool empty() const { return calls_.empty(); }
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

    /// Returns the waiting calls in the order of service.
    [[nodiscard]] std::vector<call_id> in_order(time_point now) const
    {
        std::vector<waiting_call> sorted = calls_;
        std::stable_sort(sorted.begin(), sorted.end(),
                         [&](const waiting_call& a, const waiting_call& b) { return precedes(a, b, now); });
        std::vector<call_id> order;
        order.reserve(sorted.size());
        for (const auto& waiting : sorted) {
            order.push_back(waiting.id_);
        }
        return order;
    }

    /// Returns how many waiting calls would be served before `newcomer`.
    [[nodiscard]] std::size_t ahead_of(const waiting_call& newcomer, time_point now) const
    {
        return static_cast<std::size_t>(
            std::count_if(calls_.begin(), calls_.end(),
                          [&](const waiting_call& waiting) { return !precedes(newcomer, waiting, now); }));
    }

    /// Returns how many waiting calls can no longer meet their objective.
    [[nodiscard]] std::size_t late(time_point now) const
    {
        return static_cast<std::size_t>(
            std::count_if(calls_.begin(), calls_.end(),
                          [&](const waiting_call& waiting) { return !can_meet_objective(waiting, now); }));
    }

private:
    static bool precedes(const waiting_call& a, const waiting_call& b, time_point now)
    {
        const bool a_in_time = can_meet_objective(a, now);
        const bool b_in_time = can_meet_objective(b, now);
        if (a_in_time != b_in_time) {
            return a_in_time;
        }
        if (a.priority_ != b.priority_) {
            return a.priority_ < b.priority_;
        }
        if (a.is_resend_ != b.is_resend_) {
            return a.is_resend_;
        }
        return a_in_time ? a.objective_ < b.objective_ : a.deadline_ < b.deadline_;
    }

    std::vector<waiting_call> calls_; ///< In order of arrival.
};

} // namespace anvilpost
