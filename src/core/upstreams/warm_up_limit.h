// What a node knows of the warm-up of one upstream, and the pace at which it may send requests there
// meanwhile. A cold upstream tolerates a few requests a second from all nodes together and crashes well above
// that; docs/design/restricted-upstreams.md tells who learns of a warm-up and how the rate is divided.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstddef>

namespace anvilpost {

/// Number of nodes that share the rate of a cold upstream: as many as can each send a request a second, at
/// least one.
std::size_t warm_up_sharers(double per_second);

/// Invariants: a warm-up is never shortened; while it lasts under a rate, two requests of this node are at
/// least the interval of its share apart, and the first one comes an interval after the warm-up or the share
/// became known; the share is 0 at the start of each warm-up.
class warm_up_limit {
public:
    /// Sets the requests per second that all nodes together may send to the upstream while it is cold; 0: no
    /// limit.
    void set_rate(double per_second) { per_second_ = per_second; }

    /// Records that the upstream stays cold for `left`. Returns true when this begins a warm-up, or prolongs
    /// the one that is known by more than the jitter of messages.
    bool extend(duration left, time_point now);

    /// Sets this node's share of the rate, in [0, 1].
    void set_share(double share, time_point now);

    /// True while the upstream is cold, with or without a rate.
    [[nodiscard]] bool cold(time_point now) const { return now < ends_at_; }

    /// True while the upstream is cold and its rate is limited.
    [[nodiscard]] bool active(time_point now) const { return per_second_ > 0 && cold(now); }

    /// True when this node may send a request now.
    [[nodiscard]] bool allows(time_point now) const;

    void on_sent(time_point now) { paced_from_ = now; }

    [[nodiscard]] double per_second() const { return per_second_; }
    [[nodiscard]] time_point began_at() const { return began_at_; }
    [[nodiscard]] time_point ends_at() const { return ends_at_; }

private:
    double per_second_ = 0;
    double share_ = 0;
    time_point began_at_{};
    time_point ends_at_{};
    time_point paced_from_{}; ///< The next request may be sent an interval later.
};

} // namespace anvilpost
