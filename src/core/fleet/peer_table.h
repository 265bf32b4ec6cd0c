// A node's table of the other nodes of the fleet, filled from their heartbeats: which exist, which are
// alive, and how they rank for a duty. The tables of two nodes may differ; no safety property depends on
// them.
#pragma once

#include "ports/random_port.h"
#include "vocabulary/core_clock.h"
#include "vocabulary/enum_names.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilpost {

/// What a node can do beyond what every build can. The values are part of the wire format.
struct peer_capability {
    static constexpr std::uint32_t dispatch = 1; ///< Grants slots to nodes that ask; see core/dispatch.
    static constexpr std::uint32_t quotas = 2;   ///< Can be the coordinator of quotas.
};

/// Whether the store answers a node's calls, as far as the node knows; `unknown` when it has not called
/// lately. The values are part of the wire format.
enum class store_access : std::uint8_t { unknown, answers, refuses };

template <>
struct enum_names<store_access> {
    static constexpr std::array<std::pair<store_access, std::string_view>, 3> table{{
        {store_access::unknown, "unknown"},
        {store_access::answers, "answers"},
        {store_access::refuses, "refuses"},
    }};
};

/// What messages say about a node. A VM that replaces another is a new incarnation.
struct peer {
    std::string name_;
    std::uint64_t incarnation_ = 0; ///< Differs between the starts of a node of this name.
    std::string data_centre_;
    std::string ip_;
    std::uint16_t port_ = 0;         ///< For datagrams.
    std::uint16_t control_port_ = 0; ///< For HTTP between nodes.
    std::uint32_t capacity_ = 1;     ///< Processor quota in thousandths of a core.
    bool stopping_ = false;          ///< Still serves callers, but gives up its duties.
    std::uint16_t caller_port_ = 0;  ///< For callers; 0 where it is not known.
    bool cut_off_ = false;           ///< Reaches no upstream; the duties that need one go to others.
    std::uint32_t capabilities_ = 0; ///< Bits of `peer_capability`; an incarnation loses none.
    store_access store_access_ = store_access::unknown;

    bool operator==(const peer&) const = default;
};

/// Hash of a node's name and incarnation; identifies one lifetime of a node in messages.
std::uint64_t identity_of(const peer& node);

/// Times since the last heartbeat of a peer after which it counts as not alive, and is removed.
struct peer_table_settings {
    /// For peers of this node's data centre, whose heartbeats arrive directly.
    duration local_heartbeat_timeout_ = std::chrono::milliseconds(500);

    /// For peers of other data centres, whose heartbeats are relayed.
    duration remote_heartbeat_timeout_ = std::chrono::seconds(5);
    duration removed_after_ = std::chrono::seconds(30);
};

/// Invariants: never contains this node itself; of each name it contains the incarnation with the latest
/// heartbeat.
class peer_table {
public:
    peer_table(peer self, const peer_table_settings& settings) : self_(std::move(self)), settings_(settings)
    {
    }

    [[nodiscard]] const peer& self() const { return self_; }
    void set_self_stopping() { self_.stopping_ = true; }
    void set_self_cut_off(bool cut_off) { self_.cut_off_ = cut_off; }
    void set_self_store_access(store_access access) { self_.store_access_ = access; }
    void set_local_heartbeat_timeout(duration limit) { settings_.local_heartbeat_timeout_ = limit; }

    /// Records a heartbeat of a peer at `heartbeat_at`, received directly or reported by another peer. Of two
    /// incarnations the one with the later heartbeat counts, not the one with the higher number: incarnations
    /// are numbered by the time of day, which may have been set back between two starts.
    void record_heartbeat(const peer& reported, time_point heartbeat_at);

    /// Removes peers without a heartbeat for `removed_after_`.
    void remove_silent(time_point now);

    /// True while a peer sends heartbeats and is not stopping.
    [[nodiscard]] bool alive(const std::string& name, time_point now) const;

    /// True while a peer sends heartbeats, also when it is stopping: a stopping peer serves its callers to
    /// the end and still needs current data.
    [[nodiscard]] bool reachable(const std::string& name, time_point now) const;

    /// Returns the peer of this name, alive or not, or nullptr when there is none.
    [[nodiscard]] const peer* find(const std::string& name) const;

    /// All peers in the table, alive or not, without this node.
    [[nodiscard]] std::vector<const peer*> known() const;

    /// Number of peers in the table, alive or not.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Live peers of this data centre, without this node.
    [[nodiscard]] std::vector<const peer*> live_local_peers(time_point now) const;

    /// Peers of this data centre that are sent loads and changes: the live and the stopping ones.
    [[nodiscard]] std::vector<const peer*> reachable_local_peers(time_point now) const;

    /// Live peers of the whole fleet, without this node.
    [[nodiscard]] std::vector<const peer*> live(time_point now) const;

    /// Peers of the whole fleet that send heartbeats, the stopping ones included.
    [[nodiscard]] std::vector<const peer*> reachable_peers(time_point now) const;

    /// Number of nodes of this data centre that are in the table and not stopping, alive or not, plus this
    /// node.
    [[nodiscard]] std::size_t known_in_data_centre() const;

    /// True when more than half of the known nodes of the data centre are alive, this node included. Of two
    /// groups that a network partition separates, this holds in at most one.
    [[nodiscard]] bool has_local_majority(time_point now) const;

    /// Live nodes of a data centre in their order of preference for a duty: by capacity, largest first, and
    /// by rendezvous hashing among equals. Includes this node when it belongs to that data centre and is not
    /// stopping.
    [[nodiscard]] std::vector<const peer*> ranked(const std::string& data_centre, const std::string& duty,
                                                  time_point now) const;

    /// Data centres with live nodes, sorted by name; always includes this node's own.
    [[nodiscard]] std::vector<std::string> data_centres(time_point now) const;

    /// A peer and the time since its last heartbeat.
    struct sampled_peer {
        const peer* peer_ = nullptr;
        duration age_{};
    };

    /// Picks up to `count` peers to include in a message: consecutive ones by name, from a random start.
    [[nodiscard]] std::vector<sampled_peer> sample(std::size_t count, random_port& random,
                                                   time_point now) const;

private:
    struct entry {
        peer peer_;
        time_point last_heartbeat_{};
    };

    [[nodiscard]] bool is_reachable(const entry& known, time_point now) const;
    [[nodiscard]] bool is_alive(const entry& known, time_point now) const;

    peer self_;
    peer_table_settings settings_;
    std::map<std::string, entry> entries_;
};

} // namespace anvilpost
