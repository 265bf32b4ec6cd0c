// A node's part in the mesh: authentication of links, heartbeats, membership, and the spreading of
// configurations, leaving notices, strikes and probe findings. Pure logic over mesh_port.
#pragma once

#include "core/fleet/membership.h"
#include "core/fleet/mesh_messages.h"
#include "ports/clock_port.h"
#include "ports/mesh_port.h"
#include "ports/random_port.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvilpost {

/// What the agent tells the rest of the node. All must be set before the first event.
struct mesh_handlers {
    std::function<void(const nlohmann::json& document)> on_configuration_;
    std::function<nlohmann::json()> configuration_; ///< The one in force.
    std::function<void(const leaving_message&)> on_leaving_;
    std::function<void(const strike_message&)> on_strike_;
    std::function<void(const finding_message&)> on_finding_;
    std::function<std::string(const std::string& nonce)> prove_; ///< Keyed hash of a nonce.
    std::function<void(const std::string& reason)> on_refused_link_;
};

struct mesh_counters {
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t messages_sent_ = 0;
    std::uint64_t links_refused_ = 0;
};

struct mesh_seed {
    std::string ip_;
    std::uint16_t port_ = 0;
};

/// Invariants: nothing but the handshake is accepted on a link before its peer has proved the secret;
/// each notice is passed on at most once by this node.
class mesh_agent {
public:
    mesh_agent(const clock_port& clock, random_port& random, mesh_port& port, member self,
               mesh_handlers handlers);

    /// Addresses to connect to while no link stands.
    void set_seeds(std::vector<mesh_seed> seeds) { seeds_ = std::move(seeds); }

    void on_accepted(link_id link);
    void on_connected(link_id link);
    void on_message(link_id link, const std::string& bytes);
    void on_closed(link_id link);

    /// Must be called every `tick_period`.
    void on_tick();

    /// This node has a new configuration in force.
    void announce_revision(std::uint64_t revision);
    void spread_leaving(const leaving_message& notice);
    void spread_strike(const strike_message& strike);
    void spread_finding(const finding_message& finding);

    /// Tells peers that this node stops.
    void announce_stopping();

    [[nodiscard]] const membership& members() const { return members_; }
    [[nodiscard]] std::size_t links() const;
    [[nodiscard]] const mesh_counters& counters() const { return counters_; }

    static constexpr duration tick_period = std::chrono::milliseconds(500);

private:
    enum class link_stage { connecting, proving, trusted };

    struct link_state {
        link_stage stage_ = link_stage::connecting;
        bool accepted_ = false;
        std::string nonce_;          ///< The peer must prove the secret over this.
        std::string peer_;           ///< Name; empty until trusted.
        bool in_data_centre_ = true; ///< The peer is in this data centre; assumed until it is trusted.
        std::string address_;        ///< For links that this node started.
        time_point last_heard_{};
    };

    void handle(link_id link, link_state& state, const mesh_message& message);
    void handle_handshake(link_id link, link_state& state, const mesh_message& message);
    void handle_heartbeat(link_id link, const heartbeat_message& heartbeat);
    void trust(link_id link, link_state& state, const member& peer);
    bool close_double_link(link_id link, const link_state& state);
    void refuse(link_id link, const std::string& reason);
    void send(link_id link, const mesh_message& message);
    void send_heartbeat(link_id link);
    void spread(const mesh_message& message, const std::string& identity, std::optional<link_id> except);
    bool is_news(const std::string& identity);
    void send_due_heartbeats();
    void drop_silent_links();
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
    std::map<std::string, time_point> notices_; ///< Identity of each notice seen, with its time.
    time_point last_request_{};
    std::uint64_t requested_revision_ = 0;
    mesh_counters counters_;
    std::uint64_t ticks_ = 0;
};

} // namespace anvilpost
