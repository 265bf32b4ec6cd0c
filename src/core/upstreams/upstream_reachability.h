// Decides whether this node has lost its connections to all upstreams, although callers and other nodes still
// reach it: a network partition of the node, in contrast to the failure of some upstreams.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <set>
#include <string>

namespace anvilpost {

/// Two views of the same question. A node that is cut off gets no response from any upstream. One that cannot
/// connect may still use connections that were open before, until they close.
/// Invariant: each set holds the upstreams that failed since the last response, or the last response on a new
/// connection, of any upstream.
class upstream_reachability {
public:
    /// Sets how many upstreams the node knows.
    void set_upstream_count(std::size_t count) { upstream_count_ = count; }

    /// An upstream responded to this node, to a call or to a probe.
    void on_response(bool on_new_connection)
    {
        failed_ = {};
        if (on_new_connection) {
            failed_to_connect_ = {};
        }
    }

    /// A connection to an upstream failed, or a call or a probe got no response.
    void on_failure(const std::string& upstream, time_point now)
    {
        failed_.add(upstream, now);
        failed_to_connect_.add(upstream, now);
    }

    /// True when an upstream failed and no new connection has worked since; probes then tell whether one
    /// does.
    [[nodiscard]] bool in_doubt() const { return !failed_to_connect_.upstreams_.empty(); }

    /// True when several upstreams failed and none has responded for some time.
    [[nodiscard]] bool cut_off(time_point now) const { return exceeds(failed_, failures_when_cut_off, now); }

    /// True when connections to many upstreams failed and no new one has worked for some time.
    [[nodiscard]] bool cannot_connect(time_point now) const
    {
        return cut_off(now) || exceeds(failed_to_connect_, failures_to_connect, now);
    }

private:
    /// Different upstreams that must fail. Two that end together are still an everyday event; new connections
    /// fail at more of them when the service is overloaded.
    static constexpr std::size_t failures_when_cut_off = 3;
    static constexpr std::size_t failures_to_connect = 5;

    /// Longer than a node takes to begin its probes and an upstream to respond to one.
    static constexpr duration min_time_in_doubt = std::chrono::milliseconds(400);

    struct failure_record {
        std::set<std::string> upstreams_;
        time_point since_{};

        void add(const std::string& upstream, time_point now)
        {
            since_ = upstreams_.empty() ? now : since_;
            upstreams_.insert(upstream);
        }
    };

    [[nodiscard]] bool exceeds(const failure_record& failures, std::size_t limit, time_point now) const
    {
        const auto count = failures.upstreams_.size();
        return count > 0 && count >= std::min(limit, upstream_count_) &&
               now - failures.since_ >= min_time_in_doubt;
    }

    std::size_t upstream_count_ = 0;
    failure_record failed_;
    failure_record failed_to_connect_;
};

} // namespace anvilpost
