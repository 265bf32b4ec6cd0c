// The scheduling decision of a service with too little capacity: which waiting calls are served, in which
// order, and which are refused now. It is asked at each arrival, when a slot becomes free and at timers.
#pragma once

#include "core/calls/waiting_queue.h"

#include <cstdint>
#include <map>
#include <vector>

namespace anvilpost {

/// Capacity of a service as one node may use it.
struct capacity_outlook {
    double slots_ = 1;          ///< Work that is done per unit of time, in calls at a time. More than 0.
    duration first_free_{};     ///< Expected time until a waiting call can start; 0 when a slot is free.
    double max_late_calls_ = 2; ///< Calls that may wait although they will miss their objective.
};

/// A call that is refused, with the time after which capacity is expected.
struct refused_call {
    call_id id_{};
    duration expected_wait_{};
};

struct admission_decision {
    std::vector<call_id> order_; ///< Of the calls that go on waiting.
    std::vector<refused_call> refused_;
};

/// Serves and refuses calls so that delay and refusal cost least. A call costs its value if it isn't served
/// in time; late responses have little value. Calls are admitted, most urgent priority first, as long as all
/// admitted ones can still meet their objectives; whoever doesn't fit is refused, also if it waits already.
/// Admitted calls are served in the order of their latest start, which keeps most of them in time.
///
/// The shares that are served correct this: a kind (a route's calls of one organisation) that gets less than
/// a floor comes before all others; a priority that gets less than a less urgent one comes before it; and
/// within a priority the kind with the smaller share comes first.
class admission_policy {
public:
    /// Kinds below this share of what all calls get come first. The bound is a quarter; the rest is margin
    /// for the delay of the correction.
    static constexpr double floor_of_mean = 0.4;
    /// Time after which an arrival counts for 1/e in the shares.
    static constexpr duration share_memory = std::chrono::seconds(10);
    /// Weight of the priority's share in a kind's share, in calls. A kind with fewer recent calls has the
    /// share of its priority.
    static constexpr double prior_calls = 4;

    /// Counts a call that arrived; each call once.
    void on_arrival(const waiting_call& arrived, time_point now);

    /// Counts a call whose first attempt starts.
    void on_started(const waiting_call& started, time_point now);

    /// Takes back `on_started` for a call whose attempt was not served.
    void on_not_served(const waiting_call& started, time_point now);

    /// Decides about all calls that wait, a new arrival included.
    [[nodiscard]] admission_decision decide(const std::vector<waiting_call>& waiting,
                                            const capacity_outlook& capacity, time_point now) const;

    /// Share of the calls of a kind that were served lately, from 0 to 1.
    [[nodiscard]] double served_share(int priority, std::uint64_t kind) const;

private:
    struct counts {
        double arrived_ = 0;
        double served_ = 0; ///< At most `arrived_`, but for calls that waited while it decayed.
        [[nodiscard]] double share(double prior, double prior_share) const
        {
            return (served_ + prior * prior_share) / (arrived_ + prior);
        }
    };
    struct priority_counts {
        counts all_;
        std::map<std::uint64_t, counts> kinds_;
    };
    struct ranked_call {
        const waiting_call* call_ = nullptr;
        bool below_floor_ = false;
        bool overtaken_ = false; ///< A less urgent priority is served more, or other kinds of its own one.
        double share_ = 1;       ///< Of its kind, in steps.
        time_point latest_start_{};
    };

    void decay(time_point now);
    [[nodiscard]] std::vector<ranked_call> ranked(const std::vector<waiting_call>& waiting) const;

    std::map<int, priority_counts> priorities_;
    counts all_;
    time_point decayed_at_{};
};

} // namespace anvilpost
