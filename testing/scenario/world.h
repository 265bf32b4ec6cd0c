// A small world in virtual time for scripted scenarios: nodes made of the real decision core, upstreams
// and a store made of fakes. Every run of a scenario gives the same result.
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

/// How the fake store treats operations.
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

/// Events in order of time; events at the same time run in the order in which they were added.
class virtual_time : public clock_port, public wall_clock_port {
public:
    [[nodiscard]] time_point now() const override { return now_; }
    [[nodiscard]] std::chrono::milliseconds since_epoch() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
    }
    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(now_ + delay, std::move(event));
    }

    /// Returns the time of the next event, or `limit` when it is later.
    [[nodiscard]] time_point next_event(time_point limit) const;

    /// Moves to `to` and runs the events due by then.
    void move_to(time_point to);

private:
    time_point now_{std::chrono::hours(24 * 365)};
    std::multimap<time_point, std::function<void()>> events_;
};

/// Faults of a fake upstream.
struct upstream_condition {
    double slow_ = 1;       ///< Factor on the service time.
    bool fails_ = false;    ///< Answers 500 at once.
    bool silent_ = false;   ///< Takes requests and never answers.
    bool down_ = false;     ///< Refuses connections.
    bool draining_ = false; ///< Says in its answers that it is leaving.
};

/// What a caller experienced.
struct call_outcome {
    std::string key_;
    std::string upstream_;
    std::string problem_; ///< Empty for a relayed answer.
    std::string verdict_;
    time_point sent_{};
    time_point answered_{};
    bool over_ = false;
    int executions_ = 0; ///< How often an upstream ran this very call.
};

struct world_settings {
    int nodes_ = 1;
    int upstreams_ = 3;
    int slots_ = 2;
    duration service_time_ = std::chrono::milliseconds(10);
    policy_config policy_;
};

struct world_call {
    int node_ = 0;
    bool repeatable_ = true;
    std::string key_;
    bool crashes_upstreams_ = false;
    duration timeout_ = std::chrono::seconds(1);
    std::uint64_t fingerprint_ = 0; ///< 0: different from every other call's.
};

/// Owns everything. Outcomes stay in the order in which calls were sent.
class world {
public:
    explicit world(const world_settings& settings);
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    ~world();

    void at(duration since_start, std::function<void()> event);
    void run(duration length);

    /// Sends a call and returns its index in `outcomes`.
    std::size_t send(const world_call& wanted);

    void set_condition(const std::string& upstream, const upstream_condition& condition);
    void set_store(store_condition condition) { store_condition_ = condition; }

    /// Freezes a node: its events wait until `thaw`.
    void freeze(int index, bool frozen);

    /// All nodes learn that an upstream is leaving.
    void leave(const std::string& upstream);

    [[nodiscard]] const std::vector<call_outcome>& outcomes() const { return outcomes_; }
    [[nodiscard]] int executions(const std::string& key) const;
    [[nodiscard]] int started_at(const std::string& upstream, duration from, duration to) const;
    [[nodiscard]] int upstreams_down() const;
    [[nodiscard]] duration elapsed() const { return time_.now() - start_; }

private:
    class node;
    class fake_upstream;
    class world_store;

    void wake_nodes();

    world_settings settings_;
    virtual_time time_;
    time_point start_;
    store_condition store_condition_ = store_condition::up;
    std::map<std::string, std::unique_ptr<fake_upstream>> upstreams_;
    std::map<std::string, std::pair<std::string, std::uint64_t>> stored_;
    std::uint64_t stored_version_ = 0;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<call_outcome> outcomes_;
};

} // namespace anvilpost::testing
