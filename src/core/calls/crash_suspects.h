// Finds requests that crash the upstreams that run them. A request whose connection breaks without an
// answer on several different upstreams is quarantined; an answer from any upstream clears it.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace anvilpost {

/// Invariant: holds at most `max_suspects` requests; the one with the oldest strike is dropped first.
class crash_suspects {
public:
    static constexpr std::size_t max_suspects = 1'000;
    static constexpr duration strike_life = std::chrono::minutes(10);

    /// Sets how many different upstreams a request must break before it is quarantined.
    void set_strikes_to_quarantine(std::size_t strikes) { strikes_to_quarantine_ = strikes; }

    /// Records that `upstream` broke while it ran the request. Returns true when this is a new strike.
    bool add_strike(std::uint64_t fingerprint, const std::string& upstream, time_point now);

    /// An upstream answered the request, so the request does not crash upstreams.
    /// Returns true when the request had been a suspect.
    bool clear(std::uint64_t fingerprint);

    [[nodiscard]] bool quarantined(std::uint64_t fingerprint, time_point now) const;
    [[nodiscard]] std::size_t size() const { return suspects_.size(); }

private:
    struct suspect {
        std::set<std::string> upstreams_;
        time_point last_strike_{};
    };

    void drop_expired(time_point now);

    std::size_t strikes_to_quarantine_ = 2;

    std::map<std::uint64_t, suspect> suspects_;
};

} // namespace anvilpost
