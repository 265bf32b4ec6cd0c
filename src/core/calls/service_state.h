// What a node holds for one service: its settings, its upstreams, the calls that wait, and its budgets.
#pragma once

#include "core/calls/any_picker.h"
#include "core/calls/attempt_allowance.h"
#include "core/calls/crowding.h"
#include "core/calls/latency_window.h"
#include "core/calls/slot_reserve.h"
#include "core/calls/waiting_line.h"
#include "core/configuration/configuration.h"
#include "core/upstreams/upstream_tracker.h"
#include "vocabulary/call.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilpost {

/// What this node is within the fleet, as far as choosing upstreams needs it.
struct fleet_position {
    std::size_t nodes_ = 1;   ///< Live nodes, this one included.
    std::string data_centre_; ///< Of this node; empty where it does not matter.
};

/// Invariants: a tracker that is no longer listed is kept while it has calls in flight; `line_` holds
/// each call at most once.
class service_state {
public:
    service_state(std::string name, const service_config& config, time_point now);

    void configure(const service_config& config, time_point now);

    /// Removes trackers that are neither listed nor busy.
    void drop_finished_upstreams();

    /// Marks every upstream as no longer listed; used when the service leaves the configuration.
    void unlist_all();

    /// Returns the upstream a call should go to now, or nullptr when none has room. Upstreams in
    /// `tried` are avoided.
    upstream_tracker* choose(const call& wanted, const std::set<std::string>& tried, random_port& random,
                             time_point now);

    /// True when at least one upstream could take a call now.
    [[nodiscard]] bool has_any_room(time_point now) const;

    /// Slots that fall to this node when the live nodes share all of them alike.
    [[nodiscard]] double slots_of_this_node() const;

    /// True when at least one upstream outside `tried` receives calls, with or without room.
    [[nodiscard]] bool has_receiver(const std::set<std::string>& tried) const;

    /// True when the call would be answered earlier if it waited for a better upstream than `offered`.
    [[nodiscard]] bool better_to_wait(const call& wanted, const upstream_tracker& offered,
                                      time_point now) const;

    /// True when `offered` could hardly answer before the call's deadline: a slot there is better left free.
    [[nodiscard]] bool hopeless(const call& wanted, const upstream_tracker& offered, time_point now) const;

    /// True when the call would be late at `offered` and the slot there is needed by calls that can still
    /// meet their objective.
    [[nodiscard]] bool kept_for_timely_calls(const call& wanted, const upstream_tracker& offered,
                                             time_point now) const;

    [[nodiscard]] upstream_tracker* find(const std::string& upstream);
    [[nodiscard]] const std::map<std::string, std::unique_ptr<upstream_tracker>>& upstreams() const
    {
        return upstreams_;
    }

    void set_position(const fleet_position& position);

    /// Takes over a load report of one of the upstreams.
    void on_load(upstream_tracker& upstream, const load_report& report, time_point taken);

    /// Learns from a served call how much work calls of its route are, and what a nearly full upstream
    /// makes of it. `running` calls were there when it began, itself included.
    void learn_work(const call& served, const upstream_tracker& upstream, int running, duration work);

    /// What a call of the route takes at an upstream of usual speed; a part of its objective until learnt.
    [[nodiscard]] duration work_of(const call& wanted) const;

    [[nodiscard]] pick_context context_for(const call& wanted, time_point now) const;

    /// Connections that this node may hold to one upstream: its share of what the upstream takes.
    [[nodiscard]] int connection_limit() const;

    /// Expected wait of a call with `ahead` others before it.
    [[nodiscard]] duration expected_queue_wait(std::size_t ahead) const;
    [[nodiscard]] duration expected_queue_wait() const { return expected_queue_wait(line_.size()); }

    /// Latency that a failure counts as, so that failing fast attracts no calls.
    [[nodiscard]] duration failure_penalty() const;

    /// True when upstreams are chosen by their present speed and load.
    [[nodiscard]] bool uses_present_speed() const
    {
        return config_.policy_.picker_ == picker_kind::earliest_finish;
    }

    [[nodiscard]] attempt_allowance& hedges()
    {
        return config_.policy_.shared_allowance_ ? retries_ : hedges_;
    }

    /// Takes an extra attempt for a call that was refused or failed. Less urgent calls leave a part of the
    /// allowance to more urgent ones.
    bool take_retry(const call& wanted, time_point now);

    /// Takes one for a call that still runs; most of the allowance is left to calls that have failed.
    bool take_hedge(time_point now);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const service_config& config() const { return config_; }
    [[nodiscard]] double typical_slowdown() const { return typical_slowdown_; }

    waiting_line line_;
    attempt_allowance retries_;
    latency_window latencies_;

private:
    [[nodiscard]] int usual_slots() const;
    [[nodiscard]] bool has_room(const upstream_tracker& upstream, time_point now) const;

    /// True when failures keep every upstream out. Then each one is tried with a single call at a time.
    [[nodiscard]] bool every_receiver_ejected(time_point now) const;
    [[nodiscard]] slot_reserve reserve(time_point now) const;
    [[nodiscard]] bool kept_out(const upstream_tracker& upstream, time_point now) const;
    void set_allowances();

    std::string name_;
    service_config config_;
    any_picker picker_;
    fleet_position position_;
    attempt_allowance hedges_;
    double typical_slowdown_ = 1.0;
    crowding crowding_;
    std::map<std::string, duration> work_by_route_;
    std::map<std::string, std::unique_ptr<upstream_tracker>> upstreams_;
};

} // namespace anvilpost
