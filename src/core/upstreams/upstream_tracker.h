// Tracks what one node knows about one upstream: this node's calls in flight there, its latency, its
// failures, its last load report, and whether it may be sent requests.
#pragma once

#include "core/configuration/configuration.h"
#include "core/upstreams/send_gate.h"
#include "vocabulary/call.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilpost {

/// Invariants: `in_flight() >= 0`; the gate is replaced by `reset`, for a new incarnation.
class upstream_tracker {
public:
    upstream_tracker(std::string name, const upstream_config& config, time_point now);

    /// Applies changed settings. After a changed address or incarnation, or a return to the configuration,
    /// this is another upstream: its latency, failures, load reports and leaving mark are reset. Returns true
    /// in that case.
    bool configure(const upstream_config& config, time_point now);

    /// Marks the upstream as removed from the configuration; it only finishes its calls in flight.
    void mark_unlisted();

    /// What the upstream says of itself, and whether it may be sent a request now.
    [[nodiscard]] send_gate& gate() { return gate_; }
    [[nodiscard]] const send_gate& gate() const { return gate_; }

    /// Sets the number of slots of the upstream that this node owns; see slot_ownership.h.
    void set_owned_slots(int count) { owned_slots_ = count; }
    [[nodiscard]] int owned_slots() const { return owned_slots_; }

    void on_started() { ++in_flight_; }
    void on_ended() { --in_flight_; }

    /// Applies a load report that was measured at `measured_at`, taken from a response to this node or
    /// forwarded by another node. A report older than the last one is ignored.
    void on_load(const load_report& report, time_point measured_at);

    /// Records how many calls another node of this data centre has in flight at this upstream.
    void set_peer_in_flight(std::uint64_t peer, int count, time_point now);

    /// Records the result of a probe by this node or another. `reported_healthy` counts only when `answered`.
    void on_probe(bool answered, bool reported_healthy, time_point measured_at);

    /// Number of this node's calls that the upstream served or failed, since this tracker was created.
    [[nodiscard]] std::uint32_t own_calls_served() const { return own_calls_served_; }
    [[nodiscard]] std::uint32_t own_calls_failed() const { return own_calls_failed_; }

    /// Counts calls that other nodes had served or failed at this upstream.
    void on_peer_outcomes(int served, int failed, time_point now);

    /// Records a served call; `latency` is the time to the response head.
    void on_response(duration latency, const response_head& head, time_point now);

    /// Records a failed call; in the smoothed latency it counts as a response that took `penalty`.
    void on_failure(duration penalty, time_point now);

    /// Records that the upstream refused a request without running it.
    void on_shed(time_point now)
    {
        ++own_calls_failed_;
        count_outcomes(0, 1, now);
    }

    /// Records that a probe or a response showed that the upstream works, which ends its ejection.
    void on_success(time_point now);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const upstream_config& config() const { return config_; }
    [[nodiscard]] bool listed() const { return listed_; }
    [[nodiscard]] int in_flight() const { return in_flight_; }
    [[nodiscard]] bool leaving() const { return gate_.reason_for_leaving().has_value(); }
    [[nodiscard]] bool receives_calls() const { return gate_.receives_calls(); }

    /// True while the upstream is excluded for consecutive failures. After the ejection time, one call at a
    /// time is let through.
    [[nodiscard]] bool ejected(time_point now) const;

    /// Exponentially smoothed time to the response head; decays towards `typical` while no responses arrive.
    [[nodiscard]] duration smoothed_latency(time_point now, duration typical) const;

    /// Estimated number of requests at the upstream: this node's calls plus those of others in the last load
    /// report, the latter discounted by the age of the report.
    [[nodiscard]] double estimated_load(time_point now) const;

    /// Share of the usual traffic that the upstream gets, in (0, 1]; below 1 only while it is arriving.
    [[nodiscard]] double ramp(time_point now) const;

    /// Number of calls that the upstream works on at the same time: as it last reported, else as configured,
    /// else `default_slots`.
    [[nodiscard]] int slots(int default_slots) const;

    /// Estimated number of requests running or queued at the upstream: this node's and its peers' calls in
    /// flight, plus those of others in the last load report, discounted by its age.
    [[nodiscard]] double occupancy(time_point now) const;

    /// Factor by which work takes longer at the upstream now than usual; tends to `typical` as the last load
    /// report ages.
    [[nodiscard]] double slowdown(time_point now, double typical) const;

    /// Mean of the slowdown that the upstream reported over the last seconds, and the slowdown at which it
    /// did the work of that time as a whole, which is lower where its speed varies. `typical` counts where it
    /// has reported for a short time only.
    [[nodiscard]] double mean_slowdown(double typical) const;
    [[nodiscard]] double slowdown_of_work(double typical) const;

    /// Cumulative work, as time at the usual speed, that a call running at the upstream all along would have
    /// received since an arbitrary origin. The difference between two readings is the progress of a call that
    /// ran in between.
    [[nodiscard]] duration cumulative_work(time_point now) const;

    /// Share of recent calls that failed, in [0, 1]; the weight of a call decays with its age.
    [[nodiscard]] double failure_rate(time_point now) const;

    /// False for a backoff time after a failed connection or an unanswered probe.
    [[nodiscard]] bool reachable(time_point now) const { return now >= unreachable_until_; }

    /// Records a failed connection or an unanswered probe. Further ones during the backoff do not extend it.
    void on_unreachable(time_point now);

    /// Records a failed connection of this node.
    void on_connection_failed(time_point now);

    /// Records that a call is sent there. While the upstream is not reached, the next one that tries it
    /// follows only after another such time.
    void on_attempt(time_point now);

    /// False for a time after a failed connection of this node, unless the upstream responded to it since. In
    /// contrast to `reachable`, what other nodes report does not count.
    [[nodiscard]] bool reached_by_this_node(time_point now) const { return now >= unreached_until_; }

    /// True when the last answered probe reported that the upstream is unhealthy and it has served no call
    /// since.
    [[nodiscard]] bool reported_unhealthy() const { return reported_unhealthy_; }

    /// True while the upstream is cold without a limited rate. Under a rate, the gate keeps the calls few,
    /// and a cold upstream that calls avoid besides would get none.
    [[nodiscard]] bool assumed_slow(time_point now) const
    {
        return gate_.warm_up().cold(now) && !gate_.warm_up().active(now);
    }

    /// Time at which the last load report was measured; nothing before the first one.
    [[nodiscard]] std::optional<time_point> report_time() const;

    /// Time of the last response or failure; before the first one, the time of `reset`.
    [[nodiscard]] time_point last_response() const { return last_response_; }
    [[nodiscard]] int consecutive_failures() const { return consecutive_failures_; }

private:
    void reset(const upstream_config& config, time_point now);
    void update_smoothed_latency(duration sample, time_point now);

    std::string name_;
    upstream_config config_;
    bool listed_ = true;
    send_gate gate_;
    int in_flight_ = 0;
    int owned_slots_ = 0;
    int consecutive_failures_ = 0;
    time_point ejected_until_{};
    time_point last_response_{};
    time_point ramp_start_{};
    duration latency_{};          ///< Zero until the first sample.
    double others_in_flight_ = 0; ///< In the last report, beyond the calls of this node and its peers.
    time_point report_time_{};    ///< Of the last load report, or of `reset` before the first one.

    struct peer_load {
        std::uint64_t peer_ = 0;
        int in_flight_ = 0;
        time_point received_at_{};
    };

    [[nodiscard]] int peers_in_flight(time_point now) const;
    void count_outcomes(double served, double failed, time_point now);

    bool has_load_report_ = false;
    int reported_slots_ = 0;
    double slowdown_ = 1.0;
    double reported_time_ = 0;     ///< Decayed time, in seconds, for which reports tell the speed.
    double reported_work_ = 0;     ///< Work that a call received in that time, decayed alike.
    double slowdown_integral_ = 0; ///< The slowdown over that time, decayed alike.
    duration work_done_{};         ///< `cumulative_work` at `report_time_`.
    std::vector<peer_load> peers_;
    double recent_served_ = 0; ///< Decayed count as of `outcomes_updated_at_`, as is `recent_failed_`.
    double recent_failed_ = 0;
    time_point outcomes_updated_at_{};
    std::uint32_t own_calls_served_ = 0;
    std::uint32_t own_calls_failed_ = 0;
    time_point unreachable_until_{};
    time_point unreached_until_{}; ///< By this node, whatever other nodes report; the epoch when reached.
    int consecutive_unreachable_ = 0;
    bool reported_unhealthy_ = false;
};

} // namespace anvilpost
