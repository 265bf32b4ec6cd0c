// What a node knows of the rate limit of one upstream, and the pace at which it may send requests there. An
// upstream in need names in its responses how many requests a second it accepts from all nodes together; the
// limit holds until its responses no longer name one.
//
// A limit of a few requests a second cannot be divided among dozens of nodes: each would send too rarely, and
// requests that each sends without knowing of the others would add up to many times the limit. So only as
// many nodes use a limited upstream as can each send about one request a second; `peer_exchange` says which.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstddef>
#include <optional>

namespace anvilpost {

/// A limit that an upstream named, or the end of one, with the time at which a node learnt of it.
struct rate_limit_notice {
    std::optional<double> per_second_; ///< Requests per second of all nodes together; empty: no limit.
    time_point learnt_at_{};
};

/// Number of nodes that share a limit: as many as can each send a request a second, at least one.
std::size_t rate_limit_sharers(double per_second);

/// Invariants: of several notices, the one that was learnt last by any node counts; while a limit is active,
/// two requests of this node are at least the interval of its share apart, and the first one comes an
/// interval after the limit or the share became known.
class rate_limit {
public:
    /// Records a notice of this node or another one. Returns whether it changed the limit.
    bool apply(const rate_limit_notice& notice, time_point now);

    /// Records a response of the upstream to a call that started at `started`; `named` is the limit that it
    /// names and `served` is false for an error. The absence of a limit counts only in a successful response
    /// to a call that was sent after the limit was known: earlier ones may have been answered before it.
    bool on_response(std::optional<double> named, bool served, time_point started, time_point now);

    /// Sets this node's share of the limit, in [0, 1]; 0 until it is set.
    void set_share(double share, time_point now);

    /// True when this node may send a request now; always true without a limit.
    [[nodiscard]] bool allows(time_point now) const;

    void on_sent(time_point now) { paced_from_ = now; }

    [[nodiscard]] bool active() const { return latest_.per_second_.has_value(); }
    [[nodiscard]] const rate_limit_notice& latest() const { return latest_; }

private:
    rate_limit_notice latest_;
    double share_ = 0;
    time_point paced_from_{}; ///< The next request may be sent an interval later.
};

} // namespace anvilpost
