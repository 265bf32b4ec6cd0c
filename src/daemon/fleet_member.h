// This node's part in the fleet: exchange with other nodes over the mesh, whether this node watches the
// store, polling the VM list for upstreams whose VM will stop, this node's share of the upstreams' slots, and
// health probes.
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

/// Connects one node to its peers. Invariant: leaving notices, strikes (a request broke an upstream that ran
/// it) and probe results are given to this node's engine before they are sent to peers.
class fleet_member {
public:
    fleet_member(event_loop& loop, const clock_port& clock, random_port& random,
                 const daemon_settings& settings, call_engine& engine, claim_ledger& claims,
                 configuration_follower& follower, consul_store& store, std::uint64_t incarnation);
    fleet_member(const fleet_member&) = delete;
    fleet_member& operator=(const fleet_member&) = delete;
    ~fleet_member() = default;

    /// Listens for peers, if a mesh address is set, and begins the periodic work.
    void start();

    /// Announces the new revision to peers and recomputes the shares of slots.
    void on_configuration(const configuration& config);

    /// Tells peers that this node is about to stop.
    void announce_stopping() { agent_.announce_stopping(); }

    [[nodiscard]] const mesh_agent& agent() const { return agent_; }
    [[nodiscard]] const mesh_transport& transport() const { return transport_; }
    [[nodiscard]] const probe_scheduler& probes() const { return probes_; }

private:
    mesh_handlers make_handlers();
    void on_tick();
    void refresh_from_store();
    void poll_vm_list();
    void on_vm_list(const fetch_result& result);
    void apply_leaving_notice(const leaving_message& notice, leaving_source source);
    void update_owned_slots();
    void share_warm_up_rates();
    void probe();
    void on_probed(const probe_request& request, const fetch_result& result);
    [[nodiscard]] bool matches_configuration(const leaving_message& notice) const;

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
    time_point next_store_read_{};
    time_point next_vm_list_{};
    time_point started_{}; ///< Time of the first tick.
    /// Live nodes and configuration revision at the last computation of the shares of slots.
    std::vector<std::string> owned_slots_nodes_;
    std::uint64_t owned_slots_revision_ = 0;
};

} // namespace anvilpost
