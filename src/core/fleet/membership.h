// One node's view of the fleet: which nodes exist, which are alive, which to hold links to, and which
// watch the store. Views differ between nodes; no safety property rests on them.
#pragma once

#include "ports/random_port.h"
#include "vocabulary/core_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilpost {

/// What nodes tell each other about a member. A replaced VM is a new incarnation.
struct member {
    std::string name_;
    std::uint64_t incarnation_ = 0; ///< Milliseconds since the epoch at the node's start.
    std::string data_centre_;
    std::string mesh_ip_;
    std::uint16_t mesh_port_ = 0;
    std::string admin_ip_;
    std::uint16_t admin_port_ = 0;
    std::uint64_t heartbeat_ = 0; ///< Grows with each heartbeat of the member itself.
    std::uint64_t revision_ = 0;  ///< Configuration that it has in force.
    bool stopping_ = false;

    bool operator==(const member&) const = default;
};

struct membership_settings {
    duration silent_after_ = std::chrono::seconds(18); ///< Without a new heartbeat: not alive.
    duration forget_after_ = std::chrono::minutes(2);  ///< Without a new heartbeat: dropped.
    std::size_t links_in_data_centre_ = 8;
    std::size_t links_per_other_data_centre_ = 1;
    std::size_t watchers_per_data_centre_ = 2;
};

/// Invariants: the table never holds this node itself; for each name it holds the greatest incarnation
/// heard of, and of that the greatest heartbeat.
class membership {
public:
    membership(member self, membership_settings settings) : self_(std::move(self)), settings_(settings) {}

    /// Takes over what another node said. Returns true when it was news.
    bool hear(const member& said, time_point now);

    /// Counts this node's own heartbeat.
    void beat() { ++self_.heartbeat_; }
    member& self() { return self_; }
    [[nodiscard]] const member& self() const { return self_; }

    /// Drops members that have been silent for long.
    void forget_silent(time_point now);

    [[nodiscard]] bool alive(const std::string& name, time_point now) const;

    /// Members that are alive, without this node.
    [[nodiscard]] std::vector<member> live(time_point now) const;

    /// All members heard of, alive or not, without this node.
    [[nodiscard]] std::vector<member> known() const;

    /// Members that this node should hold a link to: all (up to a bound) in its data centre, a few in
    /// each other one. Both ends compute by rendezvous hashing, so the choice moves little.
    [[nodiscard]] std::vector<member> wanted_links(time_point now) const;

    /// True when this node is among the few of its data centre that watch the store.
    [[nodiscard]] bool should_watch_store(time_point now) const;

    /// True when this node ranks first for `subject` among the live nodes.
    [[nodiscard]] bool responsible_for(const std::string& subject, time_point now) const;

    /// Picks members to tell others about, this node's own entry first.
    [[nodiscard]] std::vector<member> digest(std::size_t others, random_port& random) const;

private:
    struct entry {
        member member_;
        time_point heard_{};
    };

    member self_;
    membership_settings settings_;
    std::map<std::string, entry> entries_;
};

} // namespace anvilpost
