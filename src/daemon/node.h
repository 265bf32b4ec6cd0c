// A load balancer node of anvilpostd: builds the core and its adapters, connects them and runs from start to
// drained exit. Its configuration comes from a key-value store through operators' intents, and each claim on
// an idempotency key is stored there. See registry_node.h for the other kind of node.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/logging/decision_log.h"
#include "adapters/operators/admin_server.h"
#include "adapters/operators/intent_service.h"
#include "adapters/store/configuration_follower.h"
#include "adapters/store/consul_store.h"
#include "core/claims/claim_ledger.h"
#include "core/organisations/fixed_quota_share.h"
#include "daemon/call_path.h"
#include "daemon/fleet_member.h"
#include "daemon/settings.h"

namespace anvilpost {

/// The system's wall clock.
class system_wall_clock : public wall_clock_port {
public:
    [[nodiscard]] std::chrono::milliseconds since_epoch() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    }
};

/// One load balancer node; lives as long as the process.
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
    admin_callbacks make_admin_callbacks();
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
    claim_ledger claims_;
    decision_log decisions_;
    fixed_quota_share quotas_;
    call_path call_path_;
    configuration_follower follower_;
    fleet_member fleet_;
    intent_service intents_;
    admin_server admin_;
    time_point started_;
    signal_watch terminate_;
    signal_watch interrupt_;
};

} // namespace anvilpost
