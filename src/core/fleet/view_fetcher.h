// Fetches later views of the store from the peers that have them, and hands them to the view follower. A
// fetch whose peer is dead or whose packets wait long does not hold up the others.
#pragma once

#include "core/fleet/peer_table.h"
#include "core/fleet/view_follower.h"
#include "core/fleet/view_messages.h"
#include "ports/clock_port.h"
#include "ports/peer_view_port.h"
#include "vocabulary/enum_names.h"

#include <map>
#include <string>

namespace anvilpost {

/// Why a fetch brought no view.
enum class fetch_failure { no_response, earlier_format };

template <>
struct enum_names<fetch_failure> {
    static constexpr std::array<std::pair<fetch_failure, std::string_view>, 2> table{{
        {fetch_failure::no_response, "no_response"},
        {fetch_failure::earlier_format, "earlier_format"},
    }};
};

/// Totals since the start of this node, for its metrics.
struct view_fetch_counters {
    std::uint64_t started_ = 0;
    std::uint64_t failed_ = 0;
};

/// Single-threaded: every member is called from the node's event loop.
class view_fetcher {
public:
    view_fetcher(const clock_port& clock, peer_view_port& peers, view_follower& follower)
        : clock_(clock), peers_(peers), follower_(follower)
    {
    }

    /// Handles a peer's statement that it has a later view than this node, complete up to `revision`.
    void on_later_view(const peer& from, std::uint64_t revision);

    /// Must be called every few tens of milliseconds.
    void on_tick() { start_due_fetch(); }

    /// Called when a fetch failed, with the peer and the time since it was asked.
    std::function<void(const peer& from, fetch_failure why, duration asked_for)> on_failure_;

    [[nodiscard]] const view_fetch_counters& counters() const { return counters_; }

private:
    /// Connecting and asking each wait at this node's link; a node at whose link packets wait half a second
    /// still gets its view within this time.
    static constexpr duration fetch_timeout = std::chrono::milliseconds(1200);

    /// Another peer is asked when the last fetch has run for this long.
    static constexpr duration hedge_delay = std::chrono::milliseconds(150);
    static constexpr std::size_t max_fetches = 3;

    /// A peer that has not repeated for this long that it has a later view is not asked.
    static constexpr duration offer_retention = std::chrono::seconds(1);

    /// A later view that a peer has.
    struct offer {
        peer from_;
        std::uint64_t revision_ = 0;
        time_point heard_at_{};
    };

    [[nodiscard]] std::uint64_t own_revision() const
    {
        return follower_.complete() ? follower_.view().revision() : 0;
    }
    void start_due_fetch();
    void on_view(const peer& from, time_point requested_at, const std::optional<view_message>& view);

    const clock_port& clock_;
    peer_view_port& peers_;
    view_follower& follower_;
    std::map<std::string, offer> offers_;       ///< By peer.
    std::map<std::string, time_point> fetches_; ///< By peer, and when it was asked; at most `max_fetches`.
    time_point last_started_{};
    view_fetch_counters counters_;
};

} // namespace anvilpost
