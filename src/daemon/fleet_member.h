// This node's membership of the fleet: the mesh, who watches the store, the VM list, and probing.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/mesh/mesh_transport.h"
#include "adapters/store/configuration_follower.h"
#include "adapters/store/consul_store.h"
#include "core/calls/call_engine.h"
#include "core/claims/claim_ledger.h"
#include "core/fleet/mesh_agent.h"
#include "core/upstreams/probe_scheduler.h"
#include "daemon/settings.h"

namespace anvilpost {

/// Invariant: leaving notices, strikes and findings go to the engine before they are spread.
class fleet_member {
public:
    fleet_member(event_loop& loop, const clock_port& clock, random_port& random,
                 const daemon_settings& settings, call_engine& engine, claim_ledger& claims,
                 configuration_follower& follower, consul_store& store, std::uint64_t incarnation);
    fleet_member(const fleet_member&) = delete;
    fleet_member& operator=(const fleet_member&) = delete;
    ~fleet_member() = default;

    void start();
    void on_configuration(const configuration& config);
    void announce_stopping() { agent_.announce_stopping(); }

    [[nodiscard]] const mesh_agent& agent() const { return agent_; }
    [[nodiscard]] const mesh_transport& transport() const { return transport_; }
    [[nodiscard]] const probe_scheduler& probes() const { return probes_; }

private:
    mesh_handlers make_handlers();
    void on_tick();
    void follow_store();
    void poll_vm_list();
    void on_vm_list(const fetch_result& result);
    void leave(const leaving_message& notice, leaving_source source);
    void divide_slots();
    void probe();
    void on_probed(const probe_order& order, const fetch_result& result);
    [[nodiscard]] bool in_configuration(const leaving_message& notice) const;

    event_loop& loop_;
    const clock_port& clock_;
    random_port& random_;
    const daemon_settings& settings_;
    call_engine& engine_;
    claim_ledger& claims_;
    configuration_follower& follower_;
    consul_store& store_;
    mesh_transport transport_;
    mesh_agent agent_;
    probe_scheduler probes_;
    timer tick_;
    time_point next_direct_read_{};
    time_point next_vm_list_{};
    std::vector<std::string> divided_among_; ///< Names of the nodes at the last division.
    std::uint64_t divided_revision_ = 0;
};

} // namespace anvilpost
