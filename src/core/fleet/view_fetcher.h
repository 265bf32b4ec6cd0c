// Fetches later views of the store from the peers that have them, and hands them to the view follower.
#pragma once

#include "core/fleet/peer_table.h"
#include "core/fleet/view_follower.h"
#include "core/fleet/view_messages.h"
#include "ports/clock_port.h"
#include "ports/peer_view_port.h"
#include "vocabulary/enum_names.h"

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

    /// Handles a peer's statement that it has a later view than this node.
    void on_later_view(const peer& from);

    /// Called when a fetch failed, with the peer and the time since it was asked.
    std::function<void(const peer& from, fetch_failure why, duration asked_for)> on_failure_;

    [[nodiscard]] const view_fetch_counters& counters() const { return counters_; }

private:
    /// Fetches are given up after this time.
    static constexpr duration fetch_timeout = std::chrono::milliseconds(400);

    void on_view(const peer& from, time_point requested_at, const std::optional<view_message>& view);

    const clock_port& clock_;
    peer_view_port& peers_;
    view_follower& follower_;
    bool fetching_ = false;
    view_fetch_counters counters_;
};

} // namespace anvilpost
