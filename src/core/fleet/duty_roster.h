// Which node does what for the others: following the store, passing word on between data centres, probing
// upstreams. Each node works it out from its own table of peers; two nodes that disagree do a duty twice.
#pragma once

#include "core/fleet/peer_table.h"

#include <string>

namespace anvilpost {

class duty_roster {
public:
    explicit duty_roster(const peer_table& peers) : peers_(peers) {}

    /// Recomputes the duties; to be called when the table may have changed.
    void update(time_point now);

    /// Position among the nodes that read the store when views get old; 0 follows it all the time. The
    /// leaders of the data centres come first.
    [[nodiscard]] std::size_t store_rank() const { return store_rank_; }

    /// True when this node passes word on between its data centre and the others.
    [[nodiscard]] bool leads() const { return leads_; }

    /// Name of the node that leads a data centre, as far as this node knows; empty where none lives.
    [[nodiscard]] std::string leader_of(const std::string& data_centre, time_point now) const;

    /// True when this node is to probe the upstream.
    [[nodiscard]] bool probes(const std::string& upstream, const std::string& data_centre) const;

    /// True when this node probes at all.
    [[nodiscard]] bool is_prober() const;

private:
    /// Nodes of a data centre that share its probing: enough to lose some, few enough that their findings
    /// are few messages.
    static constexpr std::size_t probers_in_large_data_centre = 3;
    static constexpr std::size_t small_data_centre = 8;

    const peer_table& peers_;
    std::size_t store_rank_ = 0;
    bool leads_ = true;
    std::vector<std::string> data_centres_;
    std::vector<std::string> probers_; ///< Of this data centre.
};

} // namespace anvilpost
