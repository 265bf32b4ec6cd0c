// Assigns the duties that only some nodes of the fleet have: watching the store, relaying messages between
// data centres, and probing upstreams. Each node computes the assignment from its own table of peers, without
// coordination; nodes whose tables differ may both perform the same duty.
#pragma once

#include "core/fleet/peer_table.h"

#include <string>
#include <vector>

namespace anvilpost {

/// This node's duties, and the leaders of other data centres.
class duty_assignment {
public:
    explicit duty_assignment(const peer_table& peers) : peers_(peers) {}

    /// Recomputes the duties; to be called when the table may have changed.
    void update(time_point now);

    /// This node's rank among the nodes that read the store when views get old; those of rank 0 watch it all
    /// the time. The leaders of the data centres have the first ranks, but one that the store refuses is
    /// replaced: by the next data centre's leader, and by a node of its own data centre.
    [[nodiscard]] std::size_t store_rank() const { return store_rank_; }

    /// True when this node is its data centre's leader and relays messages between it and the others.
    [[nodiscard]] bool leads() const { return leads_; }

    /// Name of a data centre's leader according to this node's table; empty when it has no live node.
    [[nodiscard]] std::string leader_of(const std::string& data_centre, time_point now) const;

    /// True when this node must probe the upstream, which is in `data_centre`. Without live nodes there,
    /// another data centre probes it.
    [[nodiscard]] bool probes(const std::string& upstream, const std::string& data_centre) const;

    /// This node's share, in [0, 1], of what all nodes together may send to an upstream in `data_centre` that
    /// `sharers` nodes use. They are nodes of that data centre, which learn of each other's loss soonest. A
    /// node that sees only a minority of them takes no more than an equal part, so that separated groups
    /// together stay within the whole.
    [[nodiscard]] double share_of(const std::string& upstream, const std::string& data_centre,
                                  std::size_t sharers, time_point now) const;

    /// True when this node is one of its data centre's probers.
    [[nodiscard]] bool is_prober() const;

private:
    /// Number of probers in a data centre of more than `small_data_centre_nodes` nodes; in a smaller one all
    /// nodes probe. Several, so that probing survives the loss of some of them; few, since each one sends its
    /// results to all nodes.
    static constexpr std::size_t probers_in_large_data_centre = 3;
    static constexpr std::size_t small_data_centre_nodes = 8;

    /// The data centre whose nodes have the duties for an upstream: its own, or another one while no node
    /// lives there. Empty before the first `update`.
    [[nodiscard]] std::string responsible_data_centre(const std::string& upstream,
                                                      const std::string& data_centre) const;

    /// True when this node watches the store because its data centre's leader is refused: the first node of
    /// `order` that the store answers, or, until there is one, each of the first nodes that have not tried.
    [[nodiscard]] bool replaces_refused_leader(const std::vector<const peer*>& order) const;

    const peer_table& peers_;
    std::size_t store_rank_ = 0;
    bool leads_ = true;
    std::vector<std::string> data_centres_;
    std::vector<std::string> probers_; ///< Of this data centre.
};

} // namespace anvilpost
