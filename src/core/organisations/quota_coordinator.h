// The part of a node that grants tokens to nodes which delegate their shares of the organisations' quotas to
// it. Any node can be a coordinator, several at once: what each may grant is bounded by the shares delegated
// to it, and a node delegates its share to one at a time.
//
// Answers this load: most organisations send fewer requests a second than there are nodes, so that a fixed
// share of each node would be less than one request.
#pragma once

#include "core/configuration/configuration.h"
#include "core/organisations/quota_messages.h"
#include "core/organisations/window_count.h"
#include "ports/clock_port.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace anvilpost {

/// Totals since the start of this node.
struct quota_coordinator_counters {
    std::uint64_t requests_ = 0;
    std::uint64_t tokens_asked_ = 0;
    std::uint64_t tokens_granted_ = 0;
};

/// Invariants:
/// - a bucket fills at its rate times the delegated shares, which sum to at most 1, and holds at most its
///   burst, and a part of the slack, times those shares;
/// - a delegation counts only until `delegation_lifetime` after the answer that it echoes, so none is valid
///   after this node was frozen for longer.
class quota_coordinator {
public:
    quota_coordinator(const clock_port& clock, node_identity self, fleet_size& size);

    void apply(const configuration& config);

    /// Answers a request, or ignores it when it is older than the sender's latest one.
    std::optional<quota_answer> on_request(const quota_request& request);

    /// Must be called every few tens of milliseconds.
    void on_tick();

    /// Sum of the valid shares, from 0 to 1.
    [[nodiscard]] double delegated() const { return std::min(1.0, shares_); }
    /// Tokens of the organisation granted in the last window and not returned.
    [[nodiscard]] std::optional<int> used(const std::string& organisation) const;
    [[nodiscard]] const quota_coordinator_counters& counters() const { return counters_; }

private:
    struct delegation {
        double share_ = 0;
        time_point expires_at_{};
        time_point seen_at_{};
        std::uint32_t number_ = 0;
    };

    struct bucket {
        double rate_ = 0;
        double burst_ = 0;
        double tokens_ = 0;
        double initial_tokens_ = 0;  ///< Granted when `tokens_` has run out.
        double credited_ = 0;        ///< `share_seconds_` when it was last filled.
        time_point next_token_at_{}; ///< When the node that is refused next should ask again.
        time_slots<20> used_{std::chrono::seconds(5)};
    };

    void advance(time_point now);
    void drop_expired(time_point now);
    void update_delegation(const quota_request& request, delegation& of, time_point now);
    void fill(bucket& filled) const;
    void start_buckets(time_point now);
    [[nodiscard]] double slack_part() const;
    [[nodiscard]] double capacity_of(const bucket& of) const;
    [[nodiscard]] quota_grant decide(const quota_ask& ask, bucket& from, time_point now);

    const clock_port& clock_;
    node_identity self_;
    fleet_size& size_;
    std::unordered_map<node_identity, delegation> delegations_;
    std::unordered_map<std::uint32_t, bucket> buckets_; ///< By `organisation_key`.
    double slack_ = 0;
    double shares_ = 0;        ///< Sum of the valid delegations.
    double share_seconds_ = 0; ///< Integral of `delegated()` over time.
    time_point advanced_at_{};
    time_point swept_at_{};
    time_point started_buckets_at_{};
    quota_coordinator_counters counters_;
};

} // namespace anvilpost
