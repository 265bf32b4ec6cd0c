// The path of a call through a node: server for callers, engine, connections to upstreams, metrics; and the
// stages of a planned stop. Both kinds of node (node.h, registry_node.h) contain one and supply it with
// configuration, upstreams and claims.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/caller_server.h"
#include "adapters/http/upstream_pool.h"
#include "adapters/metrics/call_metrics.h"
#include "core/burn/burn_ledger.h"
#include "core/calls/call_engine.h"
#include "core/organisations/organisation_directory.h"

#include <functional>

namespace anvilpost {

/// Stages of a node's life cycle, passed through in this order.
enum class node_stage {
    running,
    notice,   ///< Readiness checks fail; new connections are still accepted.
    draining, ///< No new connection is accepted; requests in flight finish.
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

/// Settings of the call path, the same for both kinds of node.
struct call_path_settings {
    std::string node_; ///< Name of this node.
    std::string listen_ip_;
    std::uint16_t listen_port_ = 0;
    caller_limits callers_;
    upstream_pool_limits upstreams_;
    header_names names_;
    duration drain_notice_{};  ///< Time for load balancers in front to see that the node is not ready.
    duration drain_timeout_{}; ///< Longest wait for requests in flight after `drain_notice_`.
};

/// Serves callers from the first byte of a request to the last byte of its response. Invariant: after
/// `terminate`, the event loop ends when `drain_notice_` has passed, no request is in flight and none has
/// arrived for a short time, at the latest `drain_timeout_` after the notice.
class call_path {
public:
    call_path(event_loop& loop, const clock_port& clock, random_port& random, claim_port& claims,
              call_observer& decisions, const call_path_settings& settings);
    call_path(const call_path&) = delete;
    call_path& operator=(const call_path&) = delete;
    ~call_path() = default;

    /// Puts a configuration in force for all new calls.
    void apply(const configuration& config);

    /// Begins a planned stop; a second call stops at once and cuts off requests in flight.
    void terminate();

    /// Sets the timer to the next wake-up of the engine or of `next_wakeup_`, whichever is earlier.
    void schedule_wakeup();

    /// Wake-ups of the node that contains the call path. `on_wakeup_` is called after each wake-up of the
    /// engine; `next_wakeup_` returns when the next one is needed.
    std::function<void()> on_wakeup_;
    std::function<std::optional<time_point>()> next_wakeup_;

    [[nodiscard]] call_engine& engine() { return engine_; }
    [[nodiscard]] const call_engine& engine() const { return engine_; }
    [[nodiscard]] caller_server& callers() { return callers_; }
    [[nodiscard]] const caller_server& callers() const { return callers_; }
    [[nodiscard]] const burn_ledger& burn() const { return burn_; }
    [[nodiscard]] node_stage stage() const { return stage_; }

    /// State of each service and its upstreams, for the operators.
    [[nodiscard]] nlohmann::json service_status() const;

    /// Counters and latencies in the Prometheus text format.
    [[nodiscard]] std::string metrics() const;

private:
    void stop_accepting();
    void check_drained();
    void on_wakeup_timer();

    event_loop& loop_;
    const clock_port& clock_;
    call_path_settings settings_;
    organisation_directory organisations_;
    upstream_pool pool_;
    caller_server callers_;
    call_metrics metrics_;
    burn_ledger burn_;
    observer_pair metrics_and_burn_;
    observer_pair observer_;
    call_engine engine_;
    node_stage stage_ = node_stage::running;
    time_point drain_deadline_{};
    timer notice_timer_;
    timer drain_timer_;
    timer wakeup_timer_;
};

/// Appends a metric with its type line in the Prometheus text format.
void add_metric(std::string& text, const std::string& name, const std::string& type, std::uint64_t value);

} // namespace anvilpost
