// Gossip between the nodes of the fleet, over datagrams: heartbeats, the age of each node's view of the
// store, the loads of upstreams, each node's own calls in flight, and strikes against requests that crash
// upstreams. Nodes of one data centre send to each other directly; between data centres only the leaders
// relay, since that traffic is billed; a later view of the store is announced by any node that read it.
#pragma once

#include "core/calls/call_engine.h"
#include "core/fleet/duty_assignment.h"
#include "core/fleet/peer_messages.h"
#include "core/fleet/quota_exchange.h"
#include "core/fleet/received_sequences.h"
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

/// Address at which a node receives datagrams.
struct exchange_address {
    std::string ip_;
    std::uint16_t port_ = 0;

    bool operator==(const exchange_address&) const = default;
};

/// Totals since the start of this node, for its metrics.
struct exchange_counters {
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t messages_received_ = 0;
    std::uint64_t unreadable_ = 0; ///< Datagrams that were no message of this version.
    std::uint64_t duplicates_ = 0; ///< Messages that had arrived before.
};

/// The parts of a node that the exchange works with. All must outlive it.
struct exchange_ports {
    const clock_port& clock_;
    random_port& random_;
    datagram_port& datagrams_;
    view_follower& follower_;
    call_engine& engine_;
};

/// Sends and receives this node's gossip, and hands what it receives to the view follower and the call
/// engine. Single-threaded: every member is called from the node's event loop.
class peer_exchange {
public:
    peer_exchange(const exchange_ports& ports, peer self);

    /// Sets the addresses that are asked for other nodes; a seed that is already a live peer is not asked.
    void set_seeds(std::vector<exchange_address> seeds) { seeds_ = std::move(seeds); }

    /// Must be called every `tick_period`.
    void on_tick();
    static constexpr duration tick_period = std::chrono::milliseconds(20);

    /// Handles one received message. Unreadable datagrams are counted and dropped.
    void on_datagram(const std::string& bytes);

    /// Sets the upstreams that messages may refer to; data about any other upstream is ignored.
    void on_configuration(const configuration& effective);

    /// Records an upstream's load report, taken from its response to a call or to a probe of this node.
    void record_load(const std::string& service, const std::string& upstream, const load_report& report,
                     bool healthy, bool probed);

    /// Records that a probe of this node got no response from an upstream.
    void record_unanswered_probe(const std::string& service, const std::string& upstream);

    /// Must be called when this node's calls in flight have changed. In a data centre with few nodes, the
    /// others are notified before the next periodic message.
    void record_in_flight_change() { early_status_due_ = true; }

    /// Records that a request crashed an upstream, so that the whole fleet counts the strike.
    void record_strike(std::uint64_t fingerprint, const std::string& upstream);

    /// Records that an upstream said in a response to this node that it leaves, so that the others hear it.
    void record_leaving(const std::string& service, const std::string& upstream);

    /// Records that an upstream said in a response to this node that it is cold for `left`. `is_news` when
    /// this node did not know: the others are then notified before the next periodic message.
    void record_warm_up(const std::string& service, const std::string& upstream, duration left, bool is_news);

    /// Called when another node reports that the known incarnation of an upstream said that it leaves. Must
    /// not change the configuration before it returns.
    std::function<void(const std::string& service, const std::string& upstream)> on_peer_leaving_;

    /// Returns a live node that reaches upstreams of `service` and is not in `tried`, or nothing: one of this
    /// data centre where at least half of its nodes do, else any. Data centres to which connections failed
    /// lately come last.
    std::optional<serving_peer> choose_serving_peer(const std::string& service,
                                                    const std::set<std::string>& tried);

    /// Records that no connection to a node could be made.
    void record_unreached_peer(const std::string& name);

    /// Notifies the other nodes of the data centre that this node stops, so that they take over its duties.
    /// A leader notifies the whole fleet.
    void announce_stopping();

    /// Called when a peer states that it has a later view than this node, complete up to `revision`.
    std::function<void(const peer& from, std::uint64_t revision)> on_later_view_;

    [[nodiscard]] const peer_table& peers() const { return peers_; }
    [[nodiscard]] const duty_assignment& duties() const { return duties_; }
    [[nodiscard]] const exchange_counters& counters() const { return counters_; }
    [[nodiscard]] quota_exchange& quotas() { return quotas_; }
    [[nodiscard]] const quota_exchange& quotas() const { return quotas_; }

private:
    /// An upstream of the configuration in force, found by its key in messages.
    struct known_upstream {
        std::string service_;
        std::string name_;
        std::string data_centre_;
        std::uint64_t incarnation_ = 0; ///< Hash of it.
        bool ambiguous_ = false;        ///< Another upstream has the same key.
    };

    /// The latest load of an upstream.
    struct cached_load {
        upstream_load load_;
        time_point measured_at_{}; ///< When the upstream or the prober measured it.
        time_point recorded_at_{}; ///< When this node stored it; the epoch marks a load not to be sent on.
    };

    /// State kept of the messages of each peer.
    struct last_message {
        std::uint64_t identity_ = 0;
        received_sequences sequences_;           ///< Of the peer's messages, for this identity.
        time_point received_{};                  ///< When the message with the highest number arrived.
        std::set<std::uint32_t> busy_upstreams_; ///< Upstreams at which the peer had calls in flight.
        std::set<std::uint32_t> unreached_;      ///< Services of which the peer reaches no upstream.
    };

    /// Recipients of a message. The node that observed a strike sends it to the nodes of its data centre;
    /// the leaders relay it to the nodes of the other data centres. No other node sends it on, or the
    /// number of strikes sent would grow with the size of the fleet.
    enum class recipients { local_peers, leaders };

    /// A known strike and the recipients to which this node sends it.
    struct strike_propagation {
        time_point recorded_at_{};
        bool for_local_peers_ = false;
        bool for_leaders_ = false;
    };

    /// An upstream that is cold by its own word, and the recipients to which this node sends that. Only a
    /// node that has it from the upstream, and leaders, send it: each sending adds its delay, so nodes that
    /// all sent it on to each other would prolong the warm-up for ever.
    struct warm_up_propagation {
        std::uint64_t incarnation_ = 0;
        time_point ends_for_local_peers_{};
        time_point ends_for_leaders_{};
    };

    /// An upstream's totals of this node's calls as of the last message; messages carry the difference.
    struct reported_counts {
        std::uint32_t served_ = 0;
        std::uint32_t failed_ = 0;
    };

    void apply_loads();
    void detect_cut_off(time_point now);
    void tell_store_access(time_point now);
    void contact_seeds(time_point now);
    void send_to_local_peers(time_point now);
    void send_to_leaders(time_point now);
    void announce_view(time_point now);
    void send_to_data_centre(const std::string& data_centre, const std::string& bytes, time_point now);
    peer_message make_message(time_point now);
    void add_call_counts(peer_message& message);
    void add_strikes(peer_message& message, recipients to, time_point now) const;
    void handle_strikes(const peer_message& message, time_point now);
    void add_unreached_services(peer_message& message, time_point now) const;
    void add_echoes(peer_message& message, time_point now) const;
    void add_new_loads(peer_message& message, time_point now);
    void add_local_loads(peer_message& message, time_point now) const;
    void send(const peer& to, const std::string& bytes);
    void send(const std::string& ip, std::uint16_t port, const std::string& bytes);
    void handle_view_status(const peer_message& message, time_point now);
    void handle_loads(const peer_message& message, time_point now);
    void handle_rate_limits(const peer_message& message, time_point now);
    void divide_rate_limits(time_point now);
    void add_rate_limits(peer_message& message, time_point now) const;
    void drop_old_leaving(time_point now);
    void divide_warm_up_rates(time_point now);
    [[nodiscard]] double warm_up_share(const std::string& upstream, const upstream_config& config,
                                       double per_second, time_point now) const;
    void add_warm_ups(peer_message& message, recipients to, time_point now) const;
    void handle_warm_ups(const peer_message& message, time_point now);
    void handle_leaving(const peer_message& message, time_point now);
    void add_leaving(peer_message& message) const;
    void handle_call_counts(const peer_message& message, last_message& last, bool is_newest);
    void update_load(std::uint32_t key, upstream_load load, time_point measured_at);
    [[nodiscard]] const known_upstream* find_upstream(std::uint32_t key) const;
    [[nodiscard]] duration status_period(std::size_t local_peer_count) const;

    exchange_ports ports_;
    peer_table peers_;
    duty_assignment duties_;
    quota_exchange quotas_;
    std::vector<exchange_address> seeds_;
    std::unordered_map<std::uint32_t, known_upstream> upstreams_;
    std::unordered_map<std::uint32_t, cached_load> loads_;     ///< By key; the latest of each upstream.
    std::map<std::string, last_message> last_messages_;        ///< By peer name.
    std::map<std::uint32_t, reported_counts> reported_counts_; ///< By upstream key.
    std::map<request_strike, strike_propagation> strikes_;
    /// Upstreams that said that they leave, by key and incarnation, and when this node learnt it.
    std::map<std::pair<std::uint32_t, std::uint64_t>, time_point> leaving_;
    /// Upstreams that name a rate limit, or whose limit ended a short time ago.
    std::vector<std::uint32_t> rate_limited_;
    bool limits_known_ = false;         ///< A limit is active or ended a short time ago.
    std::uint64_t divided_notices_ = 0; ///< Notices that the engine had when limits were last divided.
    std::map<std::string, time_point> unreached_data_centres_; ///< And when a connection there last failed.
    std::map<std::uint32_t, warm_up_propagation> warm_ups_;    ///< By upstream key.
    bool has_cold_upstreams_ = false;                          ///< As of the last division of their rates.
    std::uint64_t divided_warm_ups_ = 0;   ///< Notices that the engine had when rates were last divided.
    std::uint64_t announced_revision_ = 0; ///< Of the view, as of the last announcement.
    bool warm_up_due_ = false;             ///< A warm-up that this node learnt waits to be sent early.
    std::optional<time_point> started_;    ///< Time of the first tick.
    std::uint64_t sequence_ = 0;
    static constexpr std::size_t tracked_messages = 1024;
    std::array<time_point, tracked_messages> sent_at_{}; ///< By sequence number modulo the size.
    bool early_status_due_ = false;   ///< A change of calls in flight or a strike waits to be sent early.
    bool has_few_local_peers_ = true; ///< As of the last periodic message.
    bool loads_changed_ = false;      ///< Since the engine last applied loads.
    time_point next_status_{};
    time_point next_loads_{};
    time_point next_leaders_{};
    time_point next_announcement_{};
    time_point next_seeds_{};
    time_point last_load_send_{};
    time_point next_maintenance_{};
    exchange_counters counters_;
};

} // namespace anvilpost
