// Holds what one incarnation of an upstream says of itself, in responses to this node or to others, and what
// the configuration says of it, and decides whether this node may send it a request now.
//
// Answers this load: an upstream in need says so in its responses, long before the registry does. Each way in
// which a request can leave a node asks here: a call's first attempt, retries, hedges, calls that waited or
// that another node forwarded, and probes.
#pragma once

#include "core/configuration/configuration.h"
#include "core/upstreams/rate_limit.h"
#include "core/upstreams/warm_up_limit.h"
#include "vocabulary/call.h"
#include "vocabulary/send_permit.h"

namespace anvilpost {

/// Source from which a node learned that an upstream is leaving.
enum class leaving_source { configuration, vm_list, upstream_itself, peer };

template <>
struct enum_names<leaving_source> {
    static constexpr std::array<std::pair<leaving_source, std::string_view>, 4> table{{
        {leaving_source::configuration, "configuration"},
        {leaving_source::vm_list, "vm_list"},
        {leaving_source::upstream_itself, "upstream_itself"},
        {leaving_source::peer, "peer"},
    }};
};

/// Purpose of a request to an upstream.
enum class send_purpose {
    call,
    health_probe,
    reachability_probe ///< Sent rarely, to find out whether this node is cut off.
};

/// Reason why a node must not send a request to an upstream now.
enum class send_obstacle { unlisted, leaving, retry_after, rate_limit, warming_up, evacuated };

template <>
struct enum_names<send_obstacle> {
    static constexpr std::array<std::pair<send_obstacle, std::string_view>, 6> table{{
        {send_obstacle::unlisted, "unlisted"},
        {send_obstacle::leaving, "leaving"},
        {send_obstacle::retry_after, "retry_after"},
        {send_obstacle::rate_limit, "rate_limit"},
        {send_obstacle::warming_up, "warming_up"},
        {send_obstacle::evacuated, "evacuated"},
    }};
};

/// Why an upstream gets nothing, or little, at present; for operators.
struct send_restriction {
    send_obstacle because_{};
    std::optional<leaving_source> source_{}; ///< Of leaving.
    std::optional<time_point> since_{};      ///< When this node learnt of it; unknown from the configuration.
    std::optional<time_point> ends_at_{};
    std::optional<double> per_second_{};
};

/// Invariant: once an incarnation is known to be leaving by a source other than the configuration, it stays
/// so; a gate for another incarnation is a new object.
class send_gate {
public:
    /// What a report changed.
    struct changes {
        bool leaving_ = false;
        bool rate_limit_ = false;
        bool paused_ = false;  ///< A pause began; it is not told of those that prolong one.
        bool warm_up_ = false; ///< A warm-up began or became longer.
    };

    /// Applies what the upstream said in a response, at `now`, to a request that was sent at `sent_at`.
    /// `served` is false for errors and for probes: the absence of a rate limit counts only in a successful
    /// response to a call.
    changes on_report(const self_report& report, bool served, time_point sent_at, time_point now);

    void set_configured(bool listed, upstream_state state);

    /// Sets whether the upstream's data centre is evacuated. Returns true when that ends an evacuation.
    bool set_evacuated(bool evacuated, time_point now);
    [[nodiscard]] bool evacuated() const { return evacuated_since_.has_value(); }

    /// Marks the upstream as leaving. Has no effect for `leaving_source::configuration`, which
    /// `set_configured` applies.
    void mark_leaving(leaving_source source, time_point now);

    /// Applies a rate limit that the upstream named to another node.
    void on_peer_limit(const rate_limit_notice& notice, time_point now) { limit_.apply(notice, now); }

    /// Sets this node's share of the rate limit, in [0, 1].
    void set_limit_share(double share, time_point now) { limit_.set_share(share, now); }

    /// Sets the rate of a cold upstream, in requests per second of all nodes together; 0: no limit.
    void set_warm_up_rate(double per_second) { warm_up_.set_rate(per_second); }

    /// Records that the upstream is cold for `left`, by the word of its entry, of itself or of another node.
    /// Returns true when a warm-up began or became longer.
    bool extend_warm_up(duration left, time_point now) { return warm_up_.extend(left, now); }

    /// Sets this node's share of the rate of a cold upstream, in [0, 1].
    void set_warm_up_share(double share, time_point now) { warm_up_.set_share(share, now); }

    [[nodiscard]] std::optional<send_obstacle> obstacle(send_purpose purpose, time_point now) const;

    /// Returns the permit to send one request now, or nothing when there is an obstacle.
    std::optional<send_permit> take(send_purpose purpose, time_point now);

    [[nodiscard]] std::optional<leaving_source> reason_for_leaving() const;

    /// Returns the longest-lasting restriction on requests to the upstream, also when a request could be sent
    /// now within it.
    [[nodiscard]] std::optional<send_restriction> restriction(time_point now) const;
    [[nodiscard]] const rate_limit& limit() const { return limit_; }
    [[nodiscard]] const warm_up_limit& warm_up() const { return warm_up_; }

    /// True while the nodes that send to the upstream share a rate: it names a limit, or it is cold.
    [[nodiscard]] bool shares_rate(time_point now) const { return limit_.active() || warm_up_.active(now); }

    /// End of the pause that the upstream asked this node for; in the past when there is none.
    [[nodiscard]] time_point paused_until() const { return paused_until_; }

    /// True when the upstream may get calls at some time, though perhaps not now.
    [[nodiscard]] bool receives_calls() const { return listed_ && !reason_for_leaving() && !evacuated(); }

private:
    bool listed_ = true;
    bool leaves_by_configuration_ = false;
    std::optional<leaving_source> sticky_leaving_; ///< Never `configuration`.
    time_point leaving_since_{};                   ///< Set with `sticky_leaving_`.
    time_point paused_since_{};
    time_point paused_until_{};
    std::optional<time_point> evacuated_since_; ///< Set while its data centre is evacuated.
    rate_limit limit_;
    warm_up_limit warm_up_;
};

} // namespace anvilpost
