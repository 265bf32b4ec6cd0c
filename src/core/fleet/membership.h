// The membership table of one node, kept current by gossiped heartbeats: which nodes exist, which are alive,
// which of them this node connects to, and which watch the store. The tables of two nodes may differ at any
// moment, so nothing that must be safe may depend on them.
#pragma once

#include "ports/random_port.h"
#include "vocabulary/core_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilpost {

/// One node as it is described in heartbeats. A replaced VM is a new incarnation of its node.
struct member {
    std::string name_;
    std::uint64_t incarnation_ = 0; ///< Milliseconds since the epoch at the node's start.
    std::string data_centre_;
    std::string mesh_ip_;
    std::uint16_t mesh_port_ = 0;
    std::string admin_ip_;
    std::uint16_t admin_port_ = 0;
    std::uint64_t heartbeat_ = 0; ///< Counter that only the member itself increments.
    std::uint64_t revision_ = 0;  ///< Of the configuration that it has in force.
    bool stopping_ = false;       ///< Shutting down: no longer counted as alive.

    bool operator==(const member&) const = default;
};

struct membership_settings {
    /// Time without a new heartbeat after which a member counts as dead.
    duration heartbeat_timeout_ = std::chrono::seconds(18);
    /// Time without a new heartbeat after which a member is removed from the table.
    duration removal_timeout_ = std::chrono::minutes(2);
    std::size_t links_in_data_centre_ = 8;
    std::size_t links_per_other_data_centre_ = 1;
    std::size_t watchers_per_data_centre_ = 2;
};

/// Invariants: the table never contains this node itself; for each name it holds the highest incarnation
/// received, and for that incarnation the highest heartbeat counter.
class membership {
public:
    membership(member self, membership_settings settings) : self_(std::move(self)), settings_(settings) {}

    /// Merges a member entry received from another node. Returns true when it was newer than the known one.
    bool merge_report(const member& received, time_point now);

    /// Increments this node's own heartbeat counter.
    void increment_heartbeat() { ++self_.heartbeat_; }
    member& self() { return self_; }
    [[nodiscard]] const member& self() const { return self_; }

    /// Removes members whose last new heartbeat is older than the removal time.
    void remove_expired(time_point now);

    [[nodiscard]] bool alive(const std::string& name, time_point now) const;

    /// Returns the members that are alive, without this node.
    [[nodiscard]] std::vector<member> live(time_point now) const;

    /// Returns all members in the table, alive or not, without this node.
    [[nodiscard]] std::vector<member> known() const;

    /// Returns the members that this node should hold a link to: all in its data centre up to a limit, and
    /// a few in each other data centre. Both ends choose by rendezvous hashing, so a node that joins or
    /// leaves changes few links.
    [[nodiscard]] std::vector<member> wanted_links(time_point now) const;

    /// Returns true when this node is among the few of its data centre that watch the store.
    [[nodiscard]] bool should_watch_store(time_point now) const;

    /// Returns true when this node ranks first for `subject` among the live nodes.
    [[nodiscard]] bool responsible_for(const std::string& subject, time_point now) const;

    /// Returns the entries for a heartbeat to `receiver`: this node's own first, then up to `others` random
    /// members. The receiver is not among them, since a heartbeat tells it nothing about itself.
    [[nodiscard]] std::vector<member> digest(std::size_t others, const std::string& receiver,
                                             random_port& random) const;

private:
    struct entry {
        member member_;
        time_point last_heartbeat_{}; ///< Time of the last new heartbeat.
    };

    member self_;
    membership_settings settings_;
    std::map<std::string, entry> entries_;
};

} // namespace anvilpost
