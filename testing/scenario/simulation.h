// Deterministic simulation of a fleet for scripted scenarios: nodes run the real decision core in virtual
// time against fake upstreams and a fake store. Every run of a scenario gives the same result.
#pragma once

#include "core/calls/call_engine.h"
#include "core/claims/claim_ledger.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilpost {
namespace testing {

/// How the fake store handles operations: `loses_answers` applies writes but reports their result as unknown;
/// `late_writes` reports the same and applies them after a delay.
enum class store_condition { up, down, loses_answers, late_writes };

} // namespace testing

template <>
struct enum_names<testing::store_condition> {
    static constexpr std::array<std::pair<testing::store_condition, std::string_view>, 4> table{{
        {testing::store_condition::up, "up"},
        {testing::store_condition::down, "down"},
        {testing::store_condition::loses_answers, "loses_answers"},
        {testing::store_condition::late_writes, "late_writes"},
    }};
};

} // namespace anvilpost

namespace anvilpost::testing {

/// Virtual clock with an event queue. Events run in order of time, and events with the same time in the order
/// in which they were added.
class virtual_time : public clock_port, public wall_clock_port {
public:
    [[nodiscard]] time_point now() const override { return now_; }
    [[nodiscard]] std::chrono::milliseconds since_epoch() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
    }

    void schedule_after(duration delay, std::function<void()> event)
    {
        events_.emplace(now_ + delay, std::move(event));
    }

    /// Returns the time of the next event, or `limit` when it is later.
    [[nodiscard]] time_point next_event_time(time_point limit) const;

    /// Advances the clock to `to` and runs the events due by then.
    void advance_to(time_point to);

private:
    time_point now_{std::chrono::hours(24 * 365)};
    std::multimap<time_point, std::function<void()>> events_;
};

/// Faults of a fake upstream.
struct upstream_condition {
    double slow_factor_ = 1; ///< Multiplies the service time.
    bool fails_ = false;     ///< Responds with status 500 at once.
    bool silent_ = false;    ///< Accepts requests and never responds.
    bool down_ = false;      ///< Refuses connections.
    bool draining_ = false;  ///< Announces in its responses that it is leaving.
};

/// Result of a call as its caller saw it.
struct call_outcome {
    std::string key_;
    std::string upstream_;
    std::string problem_; ///< Empty when an upstream's response was relayed.
    std::string verdict_;
    time_point sent_at_{};
    time_point answered_at_{};
    bool finished_ = false; ///< Whether the caller has received a response.
    int executions_ = 0;    ///< Number of times that upstreams executed this call.
};

/// Size and policy of the simulated fleet.
struct simulation_settings {
    int nodes_ = 1;
    int upstreams_ = 3;
    int slots_ = 2; ///< Of each upstream.
    duration service_time_ = std::chrono::milliseconds(10);
    policy_config policy_;
};

/// A call to send.
struct simulated_call {
    int node_ = 0; ///< Index of the node that receives the call.
    bool repeatable_ = true;
    std::string key_;
    bool crashes_upstreams_ = false;
    duration timeout_ = std::chrono::seconds(1);
    std::uint64_t fingerprint_ = 0; ///< 0 stands for a fingerprint that no other call has.
};

/// Owns the nodes, upstreams, store and clock. Outcomes are kept in the order in which calls were sent.
class simulation {
public:
    explicit simulation(const simulation_settings& settings);
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;
    ~simulation();

    /// Schedules an event at a time counted from the start of the simulation.
    void schedule_at(duration since_start, std::function<void()> event);
    /// Advances virtual time by `length`, running events and waking nodes.
    void run(duration length);

    /// Sends a call and returns its index in `outcomes`.
    std::size_t send(const simulated_call& call_spec);

    void set_condition(const std::string& upstream, const upstream_condition& condition);
    void set_store_condition(store_condition condition) { store_condition_ = condition; }

    /// Pauses a node or lets it continue. Events for a paused node are deferred until it continues.
    void freeze(int index, bool frozen);

    /// Tells every node that an upstream is leaving.
    void announce_leaving(const std::string& upstream);

    [[nodiscard]] const std::vector<call_outcome>& outcomes() const { return outcomes_; }
    /// Number of executions of a key, over all upstreams.
    [[nodiscard]] int executions(const std::string& key) const;
    /// Number of requests that reached an upstream in a span of time counted from the start.
    [[nodiscard]] int started_at(const std::string& upstream, duration from, duration to) const;
    [[nodiscard]] int upstreams_down() const;
    [[nodiscard]] duration elapsed() const { return time_.now() - start_; }

private:
    class node;
    class fake_upstream;
    class simulated_store;

    void wake_nodes();

    simulation_settings settings_;
    virtual_time time_;
    time_point start_;
    store_condition store_condition_ = store_condition::up;
    std::map<std::string, std::unique_ptr<fake_upstream>> upstreams_;
    std::map<std::string, std::pair<std::string, std::uint64_t>> stored_; ///< Value and version by key.
    std::uint64_t stored_version_ = 0;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<call_outcome> outcomes_;
};

} // namespace anvilpost::testing
