// Decides whether this node has lost its connections to all upstreams, although callers and other nodes still
// reach it: a network partition of the node, in contrast to the failure of some upstreams.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <set>
#include <string>

namespace anvilpost {

/// Invariant: `failed_` holds the upstreams that failed since the last contact with any upstream.
class upstream_reachability {
public:
    /// Sets how many upstreams the node knows.
    void set_upstream_count(std::size_t count) { upstream_count_ = count; }

    /// An upstream responded to this node, to a call or to a probe.
    void on_contact(time_point now)
    {
        failed_.clear();
        last_contact_ = now;
    }

    /// A connection to an upstream failed, or a call or a probe got no response.
    void on_failure(const std::string& upstream) { failed_.insert(upstream); }

    /// True when an upstream failed after the last contact; probes then tell whether others still respond.
    [[nodiscard]] bool in_doubt() const { return !failed_.empty(); }

    /// True when several upstreams failed, and none responded for some time.
    [[nodiscard]] bool cut_off(time_point now) const
    {
        const auto needed = std::min(failures_needed, upstream_count_);
        return in_doubt() && failed_.size() >= needed && now - last_contact_ >= min_silence;
    }

private:
    /// Different upstreams that must fail. Two that end together are still an everyday event.
    static constexpr std::size_t failures_needed = 3;

    /// Longer than a probe of an upstream that responds takes.
    static constexpr duration min_silence = std::chrono::milliseconds(200);

    std::size_t upstream_count_ = 0;
    std::set<std::string> failed_;
    time_point last_contact_{};
};

} // namespace anvilpost
