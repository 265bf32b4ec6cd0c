// Keeps a node's view of the store current within a bounded staleness. Nodes take changes from each other
// where they can; a node reads the store itself when the last moment at which its view is known to have been
// current lies too far back. The bound holds however views are relayed between nodes, so the relay protocol
// needs no guarantees of its own.
#pragma once

#include "core/fleet/peer_table.h"
#include "core/fleet/store_view.h"
#include "ports/clock_port.h"
#include "ports/random_port.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace anvilpost {

struct follower_settings {
    /// Maximum staleness of the view: a change of the store must be in force within this time. Set by the
    /// operators.
    duration max_staleness_ = std::chrono::seconds(2);

    /// Longest wait of one blocking query, made by the node that follows the store for the others. Only the
    /// response proves that the view was current; a pending query proves nothing, since its connection may
    /// be dead.
    duration watch_timeout_ = std::chrono::milliseconds(600);

    /// Pause after a query that returned changes, so that the next one returns several in a batch.
    duration batch_pause_ = std::chrono::milliseconds(150);

    /// Entries whose leases expired while the store was unreachable are registered again within this time of
    /// its return.
    duration lapse_grace_ = std::chrono::milliseconds(2200);

    /// Limits the grace period where an upstream that left must get nothing more within `drain_time`: the
    /// entry of one that left during an outage looks lapsed too. Upstreams register again within about 2 s of
    /// the store's return, most within 1.5 s; one that comes back after its grace period arrives anew.
    void limit_lapse_grace(duration drain_time)
    {
        lapse_grace_ = std::min(lapse_grace_, std::max(duration{}, drain_time - lapse_reaction_time));
    }

    /// Part of the drain time that is left for relaying the lapse to other nodes and for a node's own
    /// reaction.
    static constexpr duration lapse_reaction_time = std::chrono::milliseconds(400);
};

struct follower_counters {
    std::uint64_t store_calls_ = 0;
    std::uint64_t store_failures_ = 0;
    std::uint64_t full_reads_ = 0;         ///< Full reads, also counted in `store_calls_`.
    std::uint64_t changes_from_peers_ = 0; ///< Changes that peers sent.
    std::uint64_t store_restores_ = 0;     ///< Full reads that found the store restored from an older copy.
};

/// The peer whose view a node took over.
struct view_origin {
    std::string peer_;
    /// When the first node of the fleet had the view's revision, on this node's clock. May be too early by
    /// the time that the fetch took, never too late.
    time_point known_since_{};
};

/// A later revision of the view: how this node got it, and how late it can be.
struct view_update {
    std::uint64_t revision_ = 0;
    std::string peer_;        ///< The peer that it came from; empty: this node read the store.
    std::size_t changes_ = 0; ///< Items that changed.
    duration age_before_{};   ///< Age of the view until now. No change of this update is older.
    duration known_for_{};    ///< Time since the first node had the revision; at most overstated.
};

/// Invariant: the view holds every change that the store made before `verified_at()`.
class view_follower {
public:
    using change_listener = std::function<void(const std::vector<stored_item>& changes)>;
    using update_listener = std::function<void(const view_update& update)>;

    view_follower(registry_store_port& store, const clock_port& clock, random_port& random,
                  const follower_settings& settings);

    /// Sets the listener for each batch of changes. It is called after the view holds them.
    void on_change(change_listener listener) { listener_ = std::move(listener); }

    /// Sets the listener for each later revision of a complete view.
    void on_update(update_listener listener) { update_listener_ = std::move(listener); }

    /// Must be called every `tick_period`.
    void on_tick();
    static constexpr duration tick_period = std::chrono::milliseconds(50);

    /// Sets this node's position in the order in which nodes read the store. Nodes at 0 query the store
    /// continuously; the others read it only when their view gets old, each later one at a greater age.
    void set_rank(std::size_t rank) { rank_ = rank; }

    /// Delays the first read of the store by `max_wait`, so that peers can send their view first.
    void wait_for_peers(duration max_wait);

    /// Handles a peer's statement that its view, complete up to `revision`, was current at `verified_at` or
    /// later. Returns true when the peer has changes that this node lacks.
    bool on_peer_view(std::uint64_t revision, time_point verified_at);

    /// Merges what a peer sent: a full view when `is_snapshot`, otherwise changes.
    void on_peer_changes(const std::vector<stored_item>& changes, bool is_snapshot, std::uint64_t revision,
                         time_point verified_at, const view_origin& origin = {});

    [[nodiscard]] const store_view& view() const { return view_; }

    /// Returns false until a full view has arrived.
    [[nodiscard]] bool complete() const { return complete_; }

    /// Returns the latest moment at which the view is known to have been current.
    [[nodiscard]] time_point verified_at() const { return verified_at_; }
    [[nodiscard]] duration age() const { return clock_.now() - verified_at_; }

    /// Returns the time since the first node of the fleet had the revision of this view.
    [[nodiscard]] duration known_for() const { return clock_.now() - known_since_; }

    /// Returns the peer from which the revision of this view came; empty when this node read it.
    [[nodiscard]] const std::string& revision_from() const { return revision_from_; }

    /// True while a change of the store may have been missing here for longer than the bound.
    [[nodiscard]] bool overdue() const { return complete_ && age() > settings_.max_staleness_; }

    /// False while the view is overdue and can be brought up to date, from the store or from a peer: that
    /// must happen before anything is decided by the view. While neither is possible, the last view counts.
    [[nodiscard]] bool usable() const { return !overdue() || (!store_reachable_ && !peer_has_later_view()); }
    [[nodiscard]] bool store_reachable() const { return store_reachable_; }

    /// Returns what this node's latest calls tell of its access to the store.
    [[nodiscard]] store_access access() const;
    [[nodiscard]] const follower_counters& counters() const { return counters_; }

private:
    void read_all();
    void read_changes(duration max_wait);
    void on_full_read(const items_result& result, time_point started);
    void on_changes(const items_result& result, time_point started, duration wait);
    void begin_call(duration max_wait);
    /// True when this node had no processor time while it waited for the response that it now counts as
    /// missing.
    [[nodiscard]] bool own_delay(store_status status, time_point started) const;
    [[nodiscard]] bool may_call() const;
    void on_store_response(store_status status, time_point started);
    void publish(const std::vector<stored_item>& updates);
    /// Dates the view's revision and reports it if it is later than `before`.
    void report_update(std::uint64_t before, duration age_before, std::size_t changes,
                       const view_origin& origin);
    [[nodiscard]] bool leases_may_have_lapsed() const;
    /// True while a peer that was heard lately has a revision that this view lacks.
    [[nodiscard]] bool peer_has_later_view() const;
    [[nodiscard]] duration age_before_read() const;

    registry_store_port& store_;
    const clock_port& clock_;
    random_port& random_;
    follower_settings settings_;
    change_listener listener_;
    update_listener update_listener_;
    store_view view_;
    bool complete_ = false; ///< A full view has arrived.
    bool full_read_due_ = false;
    int calls_pending_ = 0;      ///< At most two.
    time_point response_due_{};  ///< When the latest call should have been answered.
    time_point last_answered_{}; ///< Start of the latest call that the store answered.
    std::size_t rank_ = 0;
    time_point verified_at_{};
    time_point known_since_{}; ///< When the first node had the view's revision.
    std::string revision_from_;
    std::uint64_t latest_peer_revision_ = 0; ///< The latest that a peer stated.
    time_point later_view_heard_{};          ///< When a peer last stated a later revision than this view's.
    time_point next_call_{};                 ///< Earliest time of the next store call.
    bool store_reachable_ = true;
    bool response_overdue_ = false; ///< The latest call should have been answered by now.
    time_point last_success_{};     ///< When the store last answered a call.
    time_point last_failure_{};     ///< When a call last failed or became overdue.
    int consecutive_failures_ = 0;
    int consecutive_own_delays_ = 0; ///< Time-outs that say nothing of the store, one after the other.
    time_point last_tick_{};
    time_point last_late_tick_{};
    time_point outage_began_{};
    time_point outage_ended_{};
    bool long_outage_ = false; ///< The last outage may have let leases expire.
    follower_counters counters_;
};

} // namespace anvilpost
