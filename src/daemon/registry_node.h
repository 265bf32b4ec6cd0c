// A load balancer node whose configuration comes from a store and whose upstreams register themselves there.
// It exchanges its view of the store and the load of the upstreams with the other nodes in datagrams, and
// serves readiness, status, metrics and its view over HTTP. See node.h for the other kind of node.
#pragma once

#include "adapters/http/health_prober.h"
#include "adapters/logging/decision_log.h"
#include "adapters/mesh/datagram_socket.h"
#include "adapters/operators/page_server.h"
#include "core/dispatch/dispatch_exchange.h"
#include "core/fleet/peer_exchange.h"
#include "core/fleet/view_fetcher.h"
#include "core/fleet/view_follower.h"
#include "core/upstreams/upstream_registry.h"
#include "daemon/call_path.h"
#include "daemon/dispatch_report.h"
#include "daemon/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace anvilpost {

/// Addresses, name and limits of a node; fixed while it runs, except for the seeds.
struct registry_node_settings {
    std::string node_;
    std::string data_centre_;
    call_path_settings call_path_;
    socket_address ready_; ///< Serves the readiness check of load balancers in front.
    std::string ready_path_ = "/ready";
    socket_address control_;              ///< Serves status, metrics and view to other nodes and operators.
    socket_address peers_;                ///< Receives datagrams of other nodes.
    std::vector<exchange_address> seeds_; ///< Nodes to contact first, by their datagram addresses.
    std::uint32_t capacity_ = 1000;       ///< CPU share in thousandths of a core.
    /// Shortest time between two probes of an upstream, however large the probe budget is.
    duration min_probe_period_ = std::chrono::milliseconds(60);
    follower_settings follower_;
    /// From this number of nodes on, one node per service grants the slots of its upstreams
    /// (core/dispatch); 0: never.
    std::size_t dispatch_from_nodes_ = dispatcher_selection::usual_from_nodes;
};

/// A claim port that does nothing. Requests to this kind of node carry no idempotency key; each attempt of a
/// caller is a request of its own, so there is nothing to claim.
class no_claims : public claim_port {
public:
    void claim(call_id, const std::string&, const std::string&) override {}
    void release(call_id) override {}
    void keep(call_id) override {}
};

/// Fetches views from the control pages of other nodes.
class view_client : public peer_view_port {
public:
    explicit view_client(event_loop& loop) : loop_(loop) {}

    void fetch(const peer& from, std::uint64_t after_revision, duration timeout, view_callback done) override;

private:
    event_loop& loop_;
};

/// Forwards the load reports in upstreams' responses to `on_load_`, which shares them with other nodes.
class load_forwarder : public call_observer {
public:
    void on_call_finished(const call_record&) override {}
    void on_load_reported(const std::string& service, const std::string& upstream,
                          const load_report& report) override
    {
        if (on_load_) {
            on_load_(service, upstream, report);
        }
    }

    std::function<void(const std::string&, const std::string&, const load_report&)> on_load_;
};

/// One load balancer node; lives as long as the process.
class registry_node {
public:
    registry_node(event_loop& loop, const registry_node_settings& settings, registry_store_port& store,
                  const document_codec& codec);
    registry_node(const registry_node&) = delete;
    registry_node& operator=(const registry_node&) = delete;
    ~registry_node() = default;

    /// Replaces the addresses through which other nodes are discovered.
    void set_seeds(std::vector<exchange_address> seeds) { peers_.set_seeds(std::move(seeds)); }

    /// Runs until the node has stopped. Returns the process's exit code.
    int run();

private:
    void on_tick();
    void detect_late_tick();
    void detect_cut_off();
    void detect_overdue_view();
    void detect_store_outage();
    void on_datagram(const std::string& bytes);
    void on_probe_result(const probe_target& target, const probe_result& result);
    void choose_probe_targets();
    void add_reachability_probes(std::vector<probe_target>& targets) const;
    void on_view_update(const view_update& update);
    [[nodiscard]] page view_page(const std::string& query) const;
    void on_store_changes(const std::vector<stored_item>& changes);
    void apply_effective_configuration();
    void mark_leaving_later(const std::string& service, const std::string& upstream);
    void on_terminate();
    page_table control_pages();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] nlohmann::json peer_status() const;
    [[nodiscard]] std::string metrics() const;

    event_loop& loop_;
    registry_node_settings settings_;
    boot_clock clock_;
    system_random random_;
    no_claims claims_;
    decision_log decisions_;
    load_forwarder load_forwarder_;
    observer_pair observer_;
    call_path call_path_;
    upstream_registry registry_;
    view_follower follower_;
    view_client view_client_;
    view_fetcher view_fetcher_;
    datagram_socket datagrams_;
    peer_exchange peers_;
    dispatch_exchange dispatch_;
    slot_refusal_log slot_refusals_;
    health_prober prober_;
    time_point next_probe_choice_{};
    time_point last_tick_{};
    std::uint64_t late_ticks_ = 0;
    std::uint64_t probes_of_limited_upstreams_ = 0; ///< Ended while the upstream named a rate limit.
    std::optional<std::uint64_t> store_epoch_;      ///< Of the view at its last change.
    bool cut_off_ = false;                          ///< No upstream can be reached, as last logged.
    bool view_overdue_ = false;                     ///< As last logged.
    bool store_reachable_ = true;                   ///< As last logged.
    std::uint64_t views_overdue_ = 0;               ///< Times that the view became older than its bound.
    duration max_update_age_{};                     ///< Greatest age of a view when a later one replaced it.
    duration max_update_delay_{}; ///< Longest time from the first node's update to this node's.
    page_server ready_server_;
    page_server control_server_;
    timer tick_;
    signal_watch terminate_;
    signal_watch interrupt_;
};

} // namespace anvilpost
