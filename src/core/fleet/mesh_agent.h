// The mesh protocol of one node: authenticates links to other nodes, sends heartbeats, keeps the membership
// table, and distributes configurations, leaving notices, strikes and probe results. Does no I/O of its own:
// links are reached through mesh_port, and all time comes from clock_port.
#pragma once

#include "core/fleet/membership.h"
#include "core/fleet/mesh_messages.h"
#include "ports/clock_port.h"
#include "ports/mesh_port.h"
#include "ports/random_port.h"
#include "vocabulary/recent_keys.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvilpost {

/// Callbacks from the agent to the rest of the node. All must be set before the first event.
struct mesh_handlers {
    std::function<void(const nlohmann::json& document)> on_configuration_;
    std::function<nlohmann::json()> configuration_; ///< Returns the configuration in force.
    std::function<void(const leaving_message&)> on_leaving_;
    std::function<void(const strike_message&)> on_strike_;
    std::function<void(const probe_result_message&)> on_probe_result_;
    std::function<std::string(const std::string& nonce)> prove_; ///< Returns the keyed hash of a nonce.
    /// Returns whether `proof` is the keyed hash of a nonce. The time that it takes must not depend on where
    /// the two differ.
    std::function<bool(const std::string& nonce, const std::string& proof)> verify_;
    std::function<void(const std::string& reason)> on_refused_link_;
};

struct mesh_counters {
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t messages_sent_ = 0;
    std::uint64_t links_refused_ = 0;
};

/// Configured address of a node through which this node joins the mesh.
struct mesh_seed {
    std::string ip_;
    std::uint16_t port_ = 0;
};

/// Invariants: until the peer of a link has proved that it knows the secret, only handshake messages are
/// accepted on that link; this node forwards each notice at most once while it remembers the notice.
class mesh_agent {
public:
    mesh_agent(const clock_port& clock, random_port& random, mesh_port& port, member self,
               mesh_handlers handlers);

    /// Sets the addresses to connect to while there is no link. Later, one of them is tried now and then.
    void set_seeds(std::vector<mesh_seed> seeds) { seeds_ = std::move(seeds); }

    /// Events on links, reported by the implementation of mesh_port.
    void on_accepted(link_id link);
    void on_connected(link_id link);
    void on_message(link_id link, const std::string& bytes);
    void on_closed(link_id link);

    /// Opens and closes links and sends the heartbeats that are due. Must be called every `tick_period`.
    void on_tick();

    /// Notifies all linked nodes that this node has a new configuration in force.
    void announce_revision(std::uint64_t revision);

    /// Send a notice or a probe result that originates here to all linked nodes. Repeated leaving notices and
    /// strikes are ignored.
    void broadcast_leaving(const leaving_message& notice);
    void broadcast_strike(const strike_message& strike);
    void broadcast_probe_result(const probe_result_message& probe_result);

    /// Notifies all linked nodes that this node is shutting down.
    void announce_stopping();

    [[nodiscard]] const membership& members() const { return members_; }

    /// Returns the number of authenticated links.
    [[nodiscard]] std::size_t links() const;
    [[nodiscard]] const mesh_counters& counters() const { return counters_; }

    static constexpr duration tick_period = std::chrono::milliseconds(500);

private:
    enum class link_stage { connecting, authenticating, authenticated };

    struct link_state {
        link_stage stage_ = link_stage::connecting;
        bool accepted_ = false;        ///< The peer opened the link.
        std::string nonce_;            ///< The peer's proof must be computed over this.
        std::string peer_;             ///< Name; empty until authenticated.
        bool same_data_centre_ = true; ///< As this node; assumed until authenticated.
        std::string address_;          ///< "ip:port" of a link that this node opened; otherwise empty.
        time_point last_received_{};
    };

    void handle(link_id link, link_state& state, const mesh_message& message);
    void handle_handshake(link_id link, link_state& state, const mesh_message& message);
    void handle_heartbeat(link_id link, const heartbeat_message& heartbeat);
    void on_authenticated(link_id link, link_state& state, const member& peer);
    bool close_duplicate_link(link_id link, const link_state& state);
    void refuse(link_id link, const std::string& reason);
    void send(link_id link, const mesh_message& message);
    void send_heartbeat(link_id link);
    void broadcast_notice(const mesh_message& message, std::optional<link_id> except);
    void send_due_heartbeats();
    void close_timed_out_links();
    void connect_wanted();
    void contact_seed();
    void connect_to(const std::string& ip, std::uint16_t port);
    std::string make_nonce();

    const clock_port& clock_;
    random_port& random_;
    mesh_port& port_;
    mesh_handlers handlers_;
    membership members_;
    std::vector<mesh_seed> seeds_;
    std::map<link_id, link_state> links_;
    recent_keys seen_notices_;             ///< Identifiers of the notices seen.
    time_point last_request_{};            ///< Time of the last configuration request.
    std::uint64_t requested_revision_ = 0; ///< Revision that it asked for.
    mesh_counters counters_;
    std::uint64_t ticks_ = 0;
};

} // namespace anvilpost
