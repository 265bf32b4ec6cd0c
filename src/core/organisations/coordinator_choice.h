// Which node a node delegates its share of the quotas to: the first in rank that answers it. Also tells when
// the share may be delegated, so that it is never valid at two coordinators.
//
// Answers this load: nodes are killed, frozen and cut off from each other, and every node that is left must
// find, within a second, the same coordinator as the others that it can reach.
#pragma once

#include "core/organisations/quota_messages.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace anvilpost {

/// A request to a node, with what has become of it. `release_` asks the coordinator to give up the share.
struct contact_request {
    node_identity to_ = 0;
    node_identity via_ = 0;
    std::uint32_t echo_ = 0;
    bool delegates_ = false;
    bool release_ = false;
};

/// Invariant: a request delegates only to the present coordinator, and only when what was delegated to any
/// other one has expired or was given up by it.
class coordinator_choice {
public:
    coordinator_choice(node_identity self, time_point started_at);

    /// Sets the nodes that can be coordinators, the first in rank first; includes this node.
    void set_candidates(std::vector<node_identity> ranked) { ranked_ = std::move(ranked); }

    /// Sets nodes of other data centres that can pass messages on to nodes that do not answer: where two data
    /// centres cannot reach each other, a third may reach both.
    void set_relays(std::vector<node_identity> relays) { relays_ = std::move(relays); }

    [[nodiscard]] std::optional<node_identity> current() const { return current_; }

    /// Describes the next request to the present coordinator, which must exist and be sent to. Records that
    /// the share is delegated with it.
    contact_request make_request(std::optional<time_point> unanswered_since, time_point now);

    /// The present coordinator answered the latest request; `released` tells that this was one that asked it
    /// to give up the share.
    void on_answer(const quota_answer& answer, bool released, time_point now);

    /// Another node answered a probe.
    void on_probe_answer(const quota_answer& answer, time_point now);

    /// Changes the coordinator where necessary, and returns the nodes to probe now. `unanswered_since` is
    /// when the first of the requests that the present coordinator has not answered was sent.
    std::vector<contact_request> on_tick(std::optional<time_point> unanswered_since, time_point now);

    /// True while the coordinator is asked to give up the share.
    [[nodiscard]] bool releasing() const { return successor_.has_value(); }

    /// When the share is free at the latest.
    [[nodiscard]] time_point delegated_until() const { return delegated_until_; }

private:
    /// A node that has answered.
    struct contact {
        node_identity via_ = 0;
        std::uint32_t stamp_ = 0;
        time_point answered_at_{};
    };

    /// When a node stopped answering as coordinator, and how often it has done so.
    struct loss {
        time_point at_{};
        int times_ = 0;
    };

    void change_to(node_identity next, time_point now);
    void lose_current(time_point now);
    void add_probes(std::vector<contact_request>& probes, std::size_t count, std::size_t end, time_point now);
    void start_search(time_point now);
    [[nodiscard]] node_identity next_relay();
    [[nodiscard]] std::optional<node_identity> best_answering(time_point now) const;
    [[nodiscard]] bool lost_lately(node_identity node, time_point now) const;
    [[nodiscard]] std::size_t rank_of(node_identity node) const;
    [[nodiscard]] bool may_coordinate(node_identity node, time_point now) const;

    node_identity self_;
    time_point started_at_;
    std::vector<node_identity> ranked_;
    std::vector<node_identity> relays_;
    std::optional<node_identity> current_;
    std::optional<node_identity> successor_; ///< Takes over when `current_` has given up the share.
    std::map<node_identity, contact> contacts_;
    time_point delegated_until_{};
    std::optional<node_identity> delegated_to_; ///< Whose delegation `delegated_until_` tells of.
    time_point next_probe_at_{};
    time_point next_return_at_{};
    std::size_t next_candidate_ = 0; ///< Of the present round of probes.
    bool searching_ = false;
    std::size_t next_relay_ = 0;
    time_point next_direct_at_{};           ///< When the present coordinator is asked without a relay again.
    std::map<node_identity, loss> lost_at_; ///< Former coordinators that stopped answering.
};

} // namespace anvilpost
