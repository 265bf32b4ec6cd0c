// An upstream of the emulated fleet: slots, a short queue that rejects what does not fit, a speed that other
// tenants of its machine change many times a second, and a slowdown when nearly all slots are in use.
#pragma once

#include "scenario/simulation.h"
#include "support/split_mix.h"
#include "vocabulary/call.h"

#include <deque>
#include <functional>
#include <vector>

namespace anvilpost::testing {

/// How the upstreams of an experiment behave.
struct upstream_model {
    int slots_ = 3;
    int queue_length_ = 6;                                   ///< Requests beyond it are rejected as not run.
    double slow_share_ = 0.25;                               ///< Of the time that an upstream is slow.
    double slow_factor_ = 4;                                 ///< Work takes this many times longer meanwhile.
    duration speed_period_ = std::chrono::milliseconds(300); ///< After which the speed is drawn anew.
    double contention_factor_ = 1.7; ///< Work takes this many times longer while all slots are in use.
};

/// One upstream. Requests run at the same time share nothing but the contention, so each advances at the
/// present speed. Invariants: at most `slots_` requests run and at most `queue_length_` wait; a request ends
/// exactly once unless it is cancelled.
class emulated_upstream {
public:
    /// Called when a request ends; `run` is false when it was rejected.
    using done_function = std::function<void(bool run, const load_report& load)>;

    emulated_upstream(virtual_time& time, const upstream_model& model, std::uint64_t seed);

    /// Accepts a request that needs `work` at normal speed, and returns its number.
    std::uint64_t request(duration work, done_function done);

    /// Removes a request, whether it runs or waits. Unknown numbers are ignored.
    void cancel(std::uint64_t number);

    [[nodiscard]] load_report load() const;

private:
    struct job {
        std::uint64_t number_ = 0;
        double work_left_ms_ = 0;
        done_function done_;
    };

    [[nodiscard]] double slowdown() const;
    void draw_speed();
    void advance();
    void start_waiting();
    void schedule_next_end();
    void finish_ended();

    virtual_time& time_;
    upstream_model model_;
    split_mix random_;
    bool slow_ = false;
    std::vector<job> running_;
    std::deque<job> waiting_;
    time_point advanced_to_;
    std::uint64_t next_number_ = 1;
    std::uint64_t schedule_ = 0; ///< Of the latest scheduled end; earlier ones are void.
};

} // namespace anvilpost::testing
