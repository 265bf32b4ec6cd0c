// A node's conversation with the other nodes: signs of life, how current its view of the store is, the
// loads of upstreams, its own calls in flight, and requests that crash upstreams. Nodes of a data centre
// tell each other directly; between data centres their leaders pass word on, since that traffic is paid for.
#pragma once

#include "core/calls/call_engine.h"
#include "core/fleet/duty_roster.h"
#include "core/fleet/peer_messages.h"
#include "core/fleet/view_follower.h"
#include "ports/datagram_port.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilpost {

struct exchange_address {
    std::string ip_;
    std::uint16_t port_ = 0;

    bool operator==(const exchange_address&) const = default;
};

struct exchange_counters {
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t messages_received_ = 0;
    std::uint64_t unreadable_ = 0;
    std::uint64_t view_fetches_ = 0;
};

/// The parts of a node that the exchange works with. All must outlive it.
struct exchange_ports {
    const clock_port& clock_;
    random_port& random_;
    datagram_port& datagrams_;
    view_follower& follower_;
    call_engine& engine_;
};

class peer_exchange {
public:
    peer_exchange(const exchange_ports& ports, peer self);

    /// Addresses to ask for other nodes while few are known.
    void set_seeds(std::vector<exchange_address> seeds) { seeds_ = std::move(seeds); }

    /// Must be called every `tick_period`.
    void on_tick();
    static constexpr duration tick_period = std::chrono::milliseconds(20);

    void on_datagram(const std::string& bytes);

    /// Learns the upstreams that messages may speak of.
    void on_configuration(const configuration& effective);

    /// A load report, from an answer to this node or from a probe.
    void note_load(const std::string& service, const std::string& upstream, const load_report& report,
                   bool healthy, bool probed);
    void note_unanswered_probe(const std::string& service, const std::string& upstream);

    /// This node's calls in flight have changed; neighbours hear of it soon where they are few.
    void note_in_flight_change() { shares_changed_ = true; }

    void note_strike(std::uint64_t fingerprint, const std::string& upstream);

    /// Tells neighbours that this node stops, so that they take over its duties.
    void announce_stopping();

    /// Called when a peer has a later view; the answer goes to the follower.
    std::function<void(const peer& from, std::uint64_t after_revision)> fetch_view_;

    [[nodiscard]] const peer_table& peers() const { return peers_; }
    [[nodiscard]] const duty_roster& duties() const { return duties_; }
    [[nodiscard]] const exchange_counters& counters() const { return counters_; }

private:
    struct known_upstream {
        std::string service_;
        std::string name_;
        std::string data_centre_;
        bool ambiguous_ = false; ///< Another upstream has the same key.
    };

    struct held_load {
        upstream_load load_;
        time_point taken_{};
        time_point noted_{};
    };

    struct last_message {
        std::uint64_t identity_ = 0;
        std::uint64_t sequence_ = 0;
        time_point received_{};
        std::set<std::uint32_t> shares_; ///< Upstreams at which the peer had calls in flight.
    };

    /// Whom a message goes to. A strike goes from the node that saw it to its neighbours and, through the
    /// leaders, to the neighbours elsewhere; nobody else repeats it, or strikes would multiply with the
    /// fleet.
    enum class audience { neighbours, leaders };

    struct told_strike {
        time_point noted_{};
        bool for_neighbours_ = false;
        bool for_leaders_ = false;
    };

    struct told_counts {
        std::uint32_t served_ = 0;
        std::uint32_t failed_ = 0;
    };

    void apply_loads();
    void contact_seeds(time_point now);
    void tell_neighbours(time_point now);
    void tell_leaders(time_point now);
    peer_message start_message(time_point now);
    void add_shares(peer_message& message);
    void add_strikes(peer_message& message, audience to, time_point now) const;
    void take_strikes(const peer_message& message, time_point now);
    void add_echoes(peer_message& message, time_point now) const;
    void add_new_loads(peer_message& message, time_point now);
    void add_own_loads(peer_message& message, time_point now) const;
    void send(const peer& to, const std::string& bytes);
    void send(const std::string& ip, std::uint16_t port, const std::string& bytes);
    void take_view(const peer_message& message, time_point now);
    void take_loads(const peer_message& message, time_point now);
    void take_shares(const peer_message& message, last_message& last);
    void note(std::uint32_t key, upstream_load load, time_point taken);
    [[nodiscard]] const known_upstream* find_upstream(std::uint32_t key) const;
    [[nodiscard]] duration share_period(std::size_t neighbours) const;

    exchange_ports ports_;
    peer_table peers_;
    duty_roster duties_;
    std::vector<exchange_address> seeds_;
    std::unordered_map<std::uint32_t, known_upstream> upstreams_;
    std::unordered_map<std::uint32_t, held_load> loads_; ///< The latest of each upstream.
    std::map<std::string, last_message> last_messages_;  ///< By peer name.
    std::map<std::uint32_t, told_counts> told_counts_;
    std::map<request_strike, told_strike> strikes_;
    std::uint64_t sequence_ = 0;
    static constexpr std::size_t remembered_messages = 1024;
    std::array<time_point, remembered_messages> sent_at_{}; ///< By sequence, modulo its size.
    bool shares_changed_ = false;
    bool loads_changed_ = false; ///< Since the engine last acted on loads.
    time_point next_shares_{};
    time_point next_loads_{};
    time_point next_leaders_{};
    time_point next_seeds_{};
    time_point last_send_{};
    time_point next_upkeep_{};
    exchange_counters counters_;
};

} // namespace anvilpost
