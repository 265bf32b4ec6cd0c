// State of one service on this node: its configuration, a tracker for each upstream, the queue of waiting
// calls, the budgets for retries and hedges, and the estimates by which an upstream is chosen.
//
// "Work" of a call is the time that it takes at an upstream of usual speed that is not nearly full.
#pragma once

#include "core/calls/admission_policy.h"
#include "core/calls/any_picker.h"
#include "core/calls/contention_estimator.h"
#include "core/calls/latency_window.h"
#include "core/calls/retry_budget.h"
#include "core/calls/slot_reserve.h"
#include "core/calls/waiting_queue.h"
#include "core/configuration/configuration.h"
#include "core/upstreams/upstream_tracker.h"
#include "vocabulary/call.h"
#include "vocabulary/enum_names.h"
#include "vocabulary/recent_keys.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilpost {

/// Facts about this node's place in the fleet on which the choice of an upstream depends.
struct fleet_position {
    std::size_t nodes_ = 1;         ///< Live nodes, this one included.
    std::string data_centre_;       ///< Of this node; empty where it does not matter.
    std::size_t cut_off_nodes_ = 0; ///< Live nodes that reach no upstream; always less than `nodes_`.
};

/// Why a call does not take the slot that it is offered.
enum class hold_reason {
    no_room,                  ///< No upstream has a free slot; nothing is offered.
    better_to_wait,           ///< Another slot is expected soon, at which the call meets its objective.
    too_late_there,           ///< The upstream is unlikely to answer before the deadline.
    reserved_for_timely_calls ///< The slot is kept for calls that can still meet their objective.
};

template <>
struct enum_names<hold_reason> {
    static constexpr std::array<std::pair<hold_reason, std::string_view>, 4> table{{
        {hold_reason::no_room, "no_room"},
        {hold_reason::better_to_wait, "better_to_wait"},
        {hold_reason::too_late_there, "too_late_there"},
        {hold_reason::reserved_for_timely_calls, "reserved_for_timely_calls"},
    }};
};

/// Chooses upstreams for the calls of one service and decides whether a call may start now.
///
/// Invariants: the tracker of an upstream that has left the configuration is kept while it has calls in
/// flight; `queue_` holds each call at most once.
class service_state {
public:
    /// `upstreams_are_new` says that the node ran before without this service's upstreams, so that those of
    /// which no warm-up is stated may have started only now.
    service_state(std::string name, const service_config& config, time_point now,
                  bool upstreams_are_new = false);

    /// Applies a changed configuration. Trackers of upstreams that remain keep what they have learnt.
    void configure(const service_config& config, time_point now, bool upstreams_are_new = true);

    /// Sets the data centres whose upstreams get no requests. An upstream whose evacuation ends is cold.
    void set_evacuated(const std::set<std::string>& data_centres, time_point now);

    /// True when calls would reach an upstream if its data centre were not evacuated.
    [[nodiscard]] bool has_evacuated_upstream() const;

    /// Removes trackers of upstreams that have left the configuration and have no calls in flight.
    void drop_finished_upstreams();

    /// Marks every upstream as removed from the configuration; used when the service itself is removed.
    void unlist_all();

    /// Returns the upstream that the service's picker chooses for a call, or nullptr when none has room.
    /// Upstreams in `tried` are left out.
    upstream_tracker* choose(const call& wanted, const std::set<std::string>& tried, random_port& random,
                             time_point now);

    /// True when at least one upstream has room for a call now.
    [[nodiscard]] bool has_any_room(time_point now) const;

    /// Slots of all upstreams; with the earliest-finish picker only this node's share of them, divided
    /// equally among the live nodes that reach upstreams.
    [[nodiscard]] double slots_of_this_node() const;

    /// True when at least one upstream outside `tried` receives calls, whether or not it has room now.
    [[nodiscard]] bool has_eligible_upstream(const std::set<std::string>& tried) const;

    /// True when this node's connections to every upstream that receives calls have failed lately.
    [[nodiscard]] bool reaches_none(time_point now) const;

    /// Number of upstreams that may get no call now because of what is said of them, by the reason's name.
    [[nodiscard]] std::map<std::string, int> restricted(time_point now) const;

    /// Returns the earliest time at which an upstream outside `tried` wants requests from this node again; in
    /// the past while one of them does.
    [[nodiscard]] time_point held_until(const std::set<std::string>& tried) const;

    /// Returns why the call should not take a slot at `offered` now, or nothing when it should.
    /// `offered` is what `choose` returned.
    [[nodiscard]] std::optional<hold_reason>
    reason_to_hold(const call& wanted, const upstream_tracker* offered, time_point now) const;

    /// Returns nullptr for an unknown upstream.
    [[nodiscard]] upstream_tracker* find(const std::string& upstream);
    [[nodiscard]] const std::map<std::string, std::unique_ptr<upstream_tracker>>& upstreams() const
    {
        return upstreams_;
    }

    void set_fleet_position(const fleet_position& position);

    /// Applies a load report of one of the upstreams, as of `measured_at`.
    void on_load(upstream_tracker& upstream, const load_report& report, time_point measured_at);

    /// Updates the expected work of calls of the same route, or, for a call at a nearly full upstream, how
    /// much such upstreams slow down. `running` calls were at the upstream when the call started, itself
    /// included; `work` is the progress of the upstream's `cumulative_work` meanwhile.
    void learn_work(const call& served, const upstream_tracker& upstream, int running, duration work);

    /// Expected work of a call, learnt from calls of the same route. Before the first one it is a fixed share
    /// of the time from the call's arrival to its objective. At least 1 ms.
    [[nodiscard]] duration expected_work(const call& wanted) const;

    /// Sets the expected work of calls of a route, unless it is known already.
    void expect_work(const std::string& route, duration work) { work_by_route_.try_emplace(route, work); }

    /// Sets what tells to which upstreams there are idle connections; nullptr: none is preferred for that.
    void set_connections(const idle_connections* connections) { connections_ = connections; }

    /// See `pick_context::makes_all_calls_`.
    void set_makes_all_calls(bool makes) { makes_all_calls_ = makes; }

    /// Returns the inputs by which pickers compare upstreams for a call.
    [[nodiscard]] pick_context context_for(const call& wanted, time_point now) const;

    /// Connections that this node may hold to one upstream: its share of the limit for the whole fleet, at
    /// least 1.
    [[nodiscard]] int connection_limit() const;

    /// Expected wait for a slot of a call with `ahead` others before it in the queue; zero while no latency
    /// or no slot is known.
    [[nodiscard]] duration expected_queue_wait(std::size_t ahead) const;
    [[nodiscard]] duration expected_queue_wait() const { return expected_queue_wait(queue_.size()); }

    /// Latency that a failure is recorded with. It is a multiple of the usual latency, so that an upstream
    /// that fails fast does not look fast and attract more calls.
    [[nodiscard]] duration failure_penalty() const;

    /// True when upstreams are chosen by their reported speed and load (`picker_kind::earliest_finish`).
    [[nodiscard]] bool uses_earliest_finish() const
    {
        return config_.policy_.picker_ == picker_kind::earliest_finish;
    }

    /// True when `admission_` decides about waiting calls.
    [[nodiscard]] bool schedules_by_cost() const
    {
        return uses_earliest_finish() && config_.policy_.scheduling_ == scheduling_kind::by_cost;
    }

    /// True when a call may wait under `scheduling_kind::by_objective`: it can still meet its objective, or
    /// its deadline while few of the waiting calls are late.
    [[nodiscard]] bool may_wait(const waiting_call& waiting, time_point now) const;

    /// Capacity that waiting calls of this node can count on.
    [[nodiscard]] capacity_outlook capacity(time_point now) const;

    /// The budget that hedges draw on: their own, or the one for retries where the policy shares it.
    [[nodiscard]] retry_budget& hedge_budget()
    {
        return config_.policy_.shared_retry_budget_ ? retry_budget_ : hedge_budget_;
    }

    /// Takes an extra attempt from the budget for a call that was refused or failed; false when the budget is
    /// used up. Where the budget is shared, less urgent calls leave a share of it to more urgent ones.
    bool take_retry(const call& wanted, time_point now);

    /// Takes an extra attempt from the budget to hedge a call that still runs; false when the budget is used
    /// up. Where the budget is shared, a share of it is left to calls that have failed.
    bool take_hedge(time_point now);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const service_config& config() const { return config_; }

    /// Slowdown that half of the upstreams which receive calls stay below on average, at least 1; see
    /// `load_report::slowdown_`.
    [[nodiscard]] double typical_slowdown() const { return typical_slowdown_; }

    waiting_queue queue_;        ///< Calls that wait for a slot.
    admission_policy admission_; ///< Used if `schedules_by_cost`.
    retry_budget retry_budget_;  ///< Budget for retries, and for hedges where the policy shares it.
    latency_window latencies_;   ///< Times from the start of an attempt to its response head.

private:
    /// True when the call misses its latency objective at `offered` and is expected to meet it, and to finish
    /// earlier, by waiting for another slot.
    [[nodiscard]] bool better_to_wait(const call& wanted, const upstream_tracker& offered,
                                      time_point now) const;

    /// True when `offered` is unlikely to answer before the call's deadline, so that the call would only take
    /// a slot from others.
    [[nodiscard]] bool unlikely_to_meet_deadline(const call& wanted, const upstream_tracker& offered,
                                                 time_point now) const;

    /// True when the call would miss its latency objective at `offered` and the slot there is reserved for
    /// calls that can still meet theirs.
    [[nodiscard]] bool reserved_for_timely_calls(const call& wanted, const upstream_tracker& offered,
                                                 time_point now) const;

    /// Slots of a typical upstream: those of the first upstream by name.
    [[nodiscard]] int usual_slots() const;

    /// Slots of an upstream that the fleet can keep busy: all of them, or fewer within its rate limit.
    [[nodiscard]] double usable_slots(const upstream_tracker& upstream) const;

    /// True when the upstream receives calls and has a free slot, within this node's connection limit and its
    /// share of the upstream's rate limit.
    [[nodiscard]] bool has_room(const upstream_tracker& upstream, time_point now) const;

    /// True when every upstream that receives calls is left out for failures. Then each of them is tried with
    /// a single call at a time, so that the service recovers as soon as one of them does.
    [[nodiscard]] bool all_upstreams_excluded(time_point now) const;

    [[nodiscard]] double max_late_calls() const;

    /// See `pick_context::unavoidable_failure_rate_`.
    [[nodiscard]] double unavoidable_failure_rate(time_point now) const;

    void update_typical_slowdown(time_point now);

    /// Counts the useful slots of upstreams of usual speed, and how many of them are taken.
    [[nodiscard]] slot_reserve reserve(time_point now) const;

    /// True when calls avoid the upstream: with the earliest-finish picker while it is unreachable, with
    /// other pickers while it is ejected after consecutive failures.
    [[nodiscard]] bool excluded(const upstream_tracker& upstream, time_point now) const;

    /// Sets this node's budgets for retries and hedges from the policy and the size of the fleet.
    void configure_budgets();

    /// Notes whether this node has known the size of the fleet for long enough to take its share of the
    /// slack.
    void update_fleet_size(time_point now);

    std::string name_;
    service_config config_;
    any_picker picker_;
    fleet_position position_;
    std::size_t largest_fleet_ = 1;   ///< Largest number of nodes so far.
    std::size_t last_fleet_size_ = 0; ///< As of `fleet_size_changed_at_`; kept until the size is known.
    time_point fleet_size_changed_at_{};
    time_point created_at_{};
    bool knows_fleet_size_ = false; ///< Stays true; a node that ran before this service was added knows it.
    const idle_connections* connections_ = nullptr; ///< Upstreams that it names are preferred.
    bool makes_all_calls_ = false;                  ///< See `pick_context::makes_all_calls_`.
    retry_budget hedge_budget_;
    double typical_slowdown_ = 1.0;
    double fast_slowdown_ = 1.0; ///< Present slowdown that a quarter of the same upstreams stay below.
    time_point typical_slowdown_read_at_{};
    mutable double unavoidable_failure_rate_ = 0.0; ///< As of `failure_rates_read_at_`.
    mutable time_point failure_rates_read_at_{};
    contention_estimator contention_;
    std::map<std::string, duration> work_by_route_; ///< Smoothed work of served calls.
    std::map<std::string, std::unique_ptr<upstream_tracker>> upstreams_;
    /// The same trackers: nodes report on hundreds of upstreams many times a second.
    std::unordered_map<std::string, upstream_tracker*> upstreams_by_name_;
    /// Maximum number and time for which upstreams that have left the configuration are remembered.
    static constexpr std::size_t max_known_incarnations = 10'000;
    static constexpr duration known_incarnation_retention = std::chrono::minutes(10);

    /// Sets the warm-up of an upstream that was just added or became another incarnation.
    void begin_warm_up(upstream_tracker& upstream, bool is_new, time_point now);

    /// Incarnations that were in the configuration; one that returns is no new one.
    recent_keys known_incarnations_{max_known_incarnations};
    bool has_unlisted_ = false; ///< Some tracker is only kept for its calls in flight.
};

} // namespace anvilpost
