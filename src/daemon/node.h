// One node: builds the core and its adapters, connects them, and runs the node's life from start to
// drained exit.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/caller_server.h"
#include "adapters/http/upstream_pool.h"
#include "adapters/metrics/call_metrics.h"
#include "adapters/operators/admin_server.h"
#include "adapters/operators/intent_service.h"
#include "adapters/store/configuration_follower.h"
#include "adapters/store/consul_store.h"
#include "core/burn/burn_ledger.h"
#include "core/calls/call_engine.h"
#include "core/claims/claim_ledger.h"
#include "daemon/fleet_member.h"
#include "daemon/settings.h"

namespace anvilpost {

/// Stages of a node's life. Order: running, notice, draining, stopped.
enum class node_stage {
    running,
    notice,   ///< /ready says 503; connections are still accepted.
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

/// The calendar clock of the operating system.
class system_wall_clock : public wall_clock_port {
public:
    [[nodiscard]] std::chrono::milliseconds since_epoch() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    }
};

class node {
public:
    explicit node(const daemon_settings& settings);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node() = default;

    /// Runs until the node has stopped. Returns the process's exit code.
    int run();

private:
    void on_configuration(const configuration& config);
    void on_terminate();
    void stop_accepting();
    void check_drained();
    void arm_wakeup();
    void on_wakeup();
    admin_views make_views();
    nlohmann::json service_status() const;
    nlohmann::json fleet_status() const;
    nlohmann::json status() const;
    std::string metrics() const;
    std::map<std::string, service_burn> local_burn() const;

    daemon_settings settings_;
    event_loop loop_;
    steady_clock clock_;
    system_wall_clock wall_clock_;
    system_random random_;
    consul_store store_;
    upstream_pool pool_;
    caller_server callers_;
    claim_ledger claims_;
    call_metrics metrics_;
    burn_ledger burn_;
    observer_pair observer_;
    call_engine engine_;
    configuration_follower follower_;
    fleet_member fleet_;
    intent_service intents_;
    admin_server admin_;
    node_stage stage_ = node_stage::running;
    time_point started_;
    time_point drain_deadline_{};
    timer notice_timer_;
    timer drain_timer_;
    timer wakeup_timer_;
    signal_watch terminate_;
    signal_watch interrupt_;
};

} // namespace anvilpost
