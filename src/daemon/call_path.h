// The call path of a node and its life from running to stopped: callers, engine, upstream connections,
// metrics. Where configuration, upstreams and claims come from is the business of the node around it.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/caller_server.h"
#include "adapters/http/upstream_pool.h"
#include "adapters/metrics/call_metrics.h"
#include "core/burn/burn_ledger.h"
#include "core/calls/call_engine.h"

#include <functional>

namespace anvilpost {

/// Stages of a node's life. Order: running, notice, draining, stopped.
enum class node_stage {
    running,
    notice,   ///< Not ready any more; connections are still accepted.
    draining, ///< No connection is accepted; requests in flight finish.
    stopped,
};

template <>
struct enum_names<node_stage> {
    static constexpr std::array<std::pair<node_stage, std::string_view>, 4> table{{
        {node_stage::running, "running"},
        {node_stage::notice, "notice"},
        {node_stage::draining, "draining"},
        {node_stage::stopped, "stopped"},
    }};
};

struct call_path_settings {
    std::string node_;
    std::string listen_ip_;
    std::uint16_t listen_port_ = 0;
    caller_limits callers_;
    upstream_pool_limits upstreams_;
    header_names names_;
    duration drain_notice_{};  ///< Time in which balancers notice that the node is not ready.
    duration drain_timeout_{}; ///< Longest wait for requests in flight after the notice.
};

/// Invariant: after `terminate`, the loop ends once nothing is in flight, or at the time-out.
class call_path {
public:
    call_path(event_loop& loop, const clock_port& clock, random_port& random, claim_port& claims,
              call_observer& decisions, const call_path_settings& settings);
    call_path(const call_path&) = delete;
    call_path& operator=(const call_path&) = delete;
    ~call_path() = default;

    void apply(const configuration& config);

    /// Begins a planned stop; the second time, stops at once.
    void terminate();

    /// Arranges the next wake-up of the engine and of what else has one.
    void arm_wakeup();

    /// Further wake-ups that the node around the call path needs; called with each of the engine's.
    std::function<void()> on_wakeup_;
    std::function<std::optional<time_point>()> next_wakeup_;

    [[nodiscard]] call_engine& engine() { return engine_; }
    [[nodiscard]] const call_engine& engine() const { return engine_; }
    [[nodiscard]] caller_server& callers() { return callers_; }
    [[nodiscard]] const caller_server& callers() const { return callers_; }
    [[nodiscard]] const burn_ledger& burn() const { return burn_; }
    [[nodiscard]] node_stage stage() const { return stage_; }

    /// State per service, for the operators.
    [[nodiscard]] nlohmann::json service_status() const;

    /// Counters and latencies in Prometheus' text format.
    [[nodiscard]] std::string metrics() const;

private:
    void stop_accepting();
    void check_drained();
    void wake_up();

    event_loop& loop_;
    const clock_port& clock_;
    call_path_settings settings_;
    upstream_pool pool_;
    caller_server callers_;
    call_metrics metrics_;
    burn_ledger burn_;
    observer_pair measured_;
    observer_pair observer_;
    call_engine engine_;
    node_stage stage_ = node_stage::running;
    time_point drain_deadline_{};
    timer notice_timer_;
    timer drain_timer_;
    timer wakeup_timer_;
};

/// Appends a metric in Prometheus' text format.
void add_metric(std::string& text, const std::string& name, const std::string& type, std::uint64_t value);

} // namespace anvilpost
