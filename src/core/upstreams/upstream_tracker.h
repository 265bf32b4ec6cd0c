// What one node knows of one upstream: its own calls in flight, how fast answers come, failures, the
// last load report, and whether the upstream is leaving.
#pragma once

#include "core/configuration/configuration.h"
#include "vocabulary/call.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvilpost {

/// Where a node heard that an upstream is leaving.
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

/// Invariants: `in_flight() >= 0`; once marked as leaving by a source other than the configuration, the
/// tracker stays leaving until `reset` for a new incarnation.
class upstream_tracker {
public:
    upstream_tracker(std::string name, const upstream_config& config, time_point now);

    /// Takes over changed settings. A changed address or incarnation is a new upstream.
    void configure(const upstream_config& config, time_point now);

    /// The upstream is no longer part of the configuration; it only finishes calls in flight.
    void mark_unlisted() { listed_ = false; }
    void mark_leaving(leaving_source source);

    /// Slots of the upstream that this node may count as its own; see slot_ownership.h.
    void set_owned_slots(int count) { owned_slots_ = count; }
    [[nodiscard]] int owned_slots() const { return owned_slots_; }

    void on_started() { ++in_flight_; }
    void on_ended() { --in_flight_; }

    /// Takes over a load report, of an answer to this node or passed on by another, as of `taken`.
    /// Reports older than the last one are ignored.
    void on_load(const load_report& report, time_point taken);

    /// Another node of this data centre told how many calls it has in flight here.
    void set_peer_in_flight(std::uint64_t peer, int count, time_point now);

    /// A probe, by this node or another, got an answer or none.
    void on_probe(bool answered, bool says_healthy, time_point taken);

    /// Calls that this node had served or failed here since the upstream became known.
    [[nodiscard]] std::uint32_t served_here() const { return served_here_; }
    [[nodiscard]] std::uint32_t failed_here() const { return failed_here_; }

    /// Counts what callers got from this upstream elsewhere in the fleet.
    void on_peer_outcomes(int served, int failed, time_point now);

    /// Records the time to an answer's head.
    void on_answer(duration latency, const answer_head& head, time_point now);

    /// Records a failure; it counts as an answer that took `penalty`.
    void on_failure(duration penalty, time_point now);

    /// Records that it refused a request without running it.
    void on_shed(time_point now)
    {
        ++failed_here_;
        count_outcomes(0, 1, now);
    }

    /// Records that a probe or an answer showed the upstream working.
    void on_success(time_point now);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const upstream_config& config() const { return config_; }
    [[nodiscard]] bool listed() const { return listed_; }
    [[nodiscard]] int in_flight() const { return in_flight_; }
    [[nodiscard]] bool leaving() const;
    [[nodiscard]] std::optional<leaving_source> reason_for_leaving() const;

    /// True when new calls may be sent to it.
    [[nodiscard]] bool receives_calls() const { return listed_ && !leaving(); }

    /// True while consecutive failures keep it out; a single call at a time is let through when the
    /// pause has passed.
    [[nodiscard]] bool ejected(time_point now) const;

    /// Smoothed time to an answer's head; decays towards `typical` while no answers arrive.
    [[nodiscard]] duration smoothed_latency(time_point now, duration typical) const;

    /// Estimated requests at the upstream: own ones plus those of other nodes as last reported, the
    /// latter discounted by the report's age.
    [[nodiscard]] double estimated_load(time_point now) const;

    /// Share of normal traffic during the start-up ramp, in (0, 1].
    [[nodiscard]] double ramp(time_point now) const;

    /// Calls that it works on at the same time; `otherwise` where nobody has told.
    [[nodiscard]] int slots(int otherwise) const;

    /// Requests running or waiting there, as far as this node can tell: the last report plus what this
    /// node and its peers have started or ended since.
    [[nodiscard]] double occupancy(time_point now) const;

    /// How long work takes there now, as a multiple of the usual; drifts to `typical` as the last report
    /// gets older.
    [[nodiscard]] double slowdown(time_point now, double typical) const;

    /// Work done by a call that has been running there all the while, in usual time, since an arbitrary
    /// origin: differences tell how far a call has got.
    [[nodiscard]] duration work_clock(time_point now) const;

    /// Share of calls that failed lately, in [0, 1]; recent ones count most.
    [[nodiscard]] double failure_rate(time_point now) const;

    /// False while connections fail or probes stay unanswered.
    [[nodiscard]] bool reachable(time_point now) const { return now >= unreachable_until_; }
    void on_unreachable(time_point now);

    /// True while probes say so and no call has been served since.
    [[nodiscard]] bool says_unhealthy() const { return says_unhealthy_; }

    /// Slow start after its arrival.
    [[nodiscard]] bool warming_up(time_point now) const { return now < warm_at_; }

    [[nodiscard]] std::optional<time_point> report_taken() const;

    [[nodiscard]] time_point last_answer() const { return last_answer_; }
    [[nodiscard]] int consecutive_failures() const { return consecutive_failures_; }

private:
    void reset(const upstream_config& config, time_point now);
    void smooth(duration sample, time_point now);

    std::string name_;
    upstream_config config_;
    bool listed_ = true;
    std::optional<leaving_source> sticky_leaving_;
    int in_flight_ = 0;
    int owned_slots_ = 0;
    int consecutive_failures_ = 0;
    time_point ejected_until_{};
    time_point last_answer_{};
    time_point ramp_start_{};
    duration latency_{}; ///< Zero until the first sample.
    double others_in_flight_ = 0;
    time_point report_time_{};

    struct peer_load {
        std::uint64_t peer_ = 0;
        int in_flight_ = 0;
        time_point heard_{};
    };

    [[nodiscard]] int peers_in_flight(time_point now) const;
    void count_outcomes(double served, double failed, time_point now);

    bool load_known_ = false;
    int reported_slots_ = 0;
    double slowdown_ = 1.0;
    duration work_done_{}; ///< `work_clock` at `report_time_`.
    std::vector<peer_load> peers_;
    double recent_served_ = 0; ///< Decaying counts as of `outcomes_time_`.
    double recent_failed_ = 0;
    time_point outcomes_time_{};
    std::uint32_t served_here_ = 0;
    std::uint32_t failed_here_ = 0;
    time_point unreachable_until_{};
    int unreachable_in_a_row_ = 0;
    bool says_unhealthy_ = false;
    time_point warm_at_{};
};

} // namespace anvilpost
