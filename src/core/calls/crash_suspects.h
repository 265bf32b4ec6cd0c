// Detects requests that crash the upstreams that run them, so that a resend cannot take down one upstream
// after another. A request whose connection breaks without a response at several different upstreams is
// quarantined; a response from any upstream clears it. Requests are identified by their fingerprint.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace anvilpost {

/// Strikes per request; a strike is an upstream whose connection broke while it ran the request.
/// Invariant: holds at most `max_suspects` requests; the one whose last strike is oldest is dropped first.
class crash_suspects {
public:
    static constexpr std::size_t max_suspects = 1'000;

    /// A request is no longer suspected this long after its last strike.
    static constexpr duration strike_lifetime = std::chrono::minutes(10);

    /// Sets at how many different upstreams a request must fail before it is quarantined.
    void set_strikes_to_quarantine(std::size_t strikes) { strikes_to_quarantine_ = strikes; }

    /// Records that the connection to `upstream` broke while it ran the request. Returns true when this is
    /// the request's first strike at that upstream.
    bool add_strike(std::uint64_t fingerprint, const std::string& upstream, time_point now);

    /// Removes all strikes of a request, since an upstream has answered it.
    /// Returns true when the request had any.
    bool clear(std::uint64_t fingerprint);

    /// Returns whether the request has enough unexpired strikes that it must not be forwarded.
    [[nodiscard]] bool quarantined(std::uint64_t fingerprint, time_point now) const;

    /// Returns the number of suspected requests.
    [[nodiscard]] std::size_t size() const { return suspects_.size(); }

private:
    struct suspect {
        std::set<std::string> upstreams_; ///< Names of the upstreams with a strike.
        time_point last_strike_{};
    };

    /// Drops suspects whose strikes have expired and, if the table is still full, the oldest suspect.
    void make_room(time_point now);

    std::size_t strikes_to_quarantine_ = 2;

    std::map<std::uint64_t, suspect> suspects_; ///< By fingerprint.
};

} // namespace anvilpost
