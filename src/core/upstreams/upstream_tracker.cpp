// Implements latency smoothing, outlier ejection, backoff and slow start of one upstream.
#include "core/upstreams/upstream_tracker.h"

#include <algorithm>
#include <cmath>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

constexpr double rising_weight = 0.3;
constexpr double falling_weight = 0.15;
constexpr duration latency_memory = 5s;
constexpr duration report_memory = 100ms;
constexpr duration arrival_ramp = 10s;
constexpr double initial_ramp_share = 0.1;
constexpr int failures_before_ejection = 3;
constexpr duration first_ejection = 500ms;
constexpr duration longest_ejection = 10s;

/// Time constant at which a reported speed goes out of date: noisy neighbours on shared machines change it
/// about twice a second (docs/design/placing.md).
constexpr duration speed_memory = 500ms;

/// Time constant of the counts behind `failure_rate`: long enough to measure a failure rate at few calls per
/// second, short enough to forget failures from which the upstream has recovered.
constexpr duration outcome_memory = 3s;

/// Number of successes that `failure_rate` adds to the counted calls, so that a single failure does not give
/// a high rate.
constexpr double prior_outcomes = 4.0;

/// The in-flight count of a peer is ignored when the peer has sent none for this long.
constexpr duration peer_memory = 1s;

/// Backoff after the first failed connection; it doubles with each further failure.
constexpr duration first_unreachable_pause = 250ms;
constexpr duration longest_unreachable_pause = 2s;

double decay(duration age, duration memory)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(memory.count()));
}

} // namespace

upstream_tracker::upstream_tracker(std::string name, const upstream_config& config, time_point now)
    : name_(std::move(name))
{
    reset(config, now);
}

void upstream_tracker::reset(const upstream_config& config, time_point now)
{
    config_ = config;
    sticky_leaving_.reset();
    consecutive_failures_ = 0;
    ejected_until_ = {};
    last_answer_ = now;
    ramp_start_ = now;
    latency_ = {};
    others_in_flight_ = 0;
    report_time_ = now;
    load_known_ = false;
    reported_slots_ = 0;
    slowdown_ = 1.0;
    work_done_ = {};
    peers_.clear();
    recent_served_ = 0;
    recent_failed_ = 0;
    outcomes_time_ = now;
    unreachable_until_ = {};
    unreachable_in_a_row_ = 0;
    says_unhealthy_ = false;
    warm_at_ = now + config.warm_up_;
}

void upstream_tracker::configure(const upstream_config& config, time_point now)
{
    const bool other_upstream = config.ip_ != config_.ip_ || config.port_ != config_.port_ ||
                                config.incarnation_ != config_.incarnation_;
    if (other_upstream || !listed_) {
        reset(config, now);
    }
    if (config.state_ == upstream_state::arriving && config_.state_ != upstream_state::arriving) {
        ramp_start_ = now;
    }
    config_ = config;
    listed_ = true;
}

void upstream_tracker::mark_leaving(leaving_source source)
{
    if (source != leaving_source::configuration && !sticky_leaving_) {
        sticky_leaving_ = source;
    }
}

bool upstream_tracker::leaving() const
{
    return reason_for_leaving().has_value();
}

std::optional<leaving_source> upstream_tracker::reason_for_leaving() const
{
    if (config_.state_ == upstream_state::leaving || config_.state_ == upstream_state::stopping) {
        return leaving_source::configuration;
    }
    return sticky_leaving_;
}

void upstream_tracker::smooth(duration sample, time_point now)
{
    last_answer_ = now;
    if (latency_ == duration{}) {
        latency_ = sample;
        return;
    }
    const double weight = sample > latency_ ? rising_weight : falling_weight;
    const auto change = static_cast<double>((sample - latency_).count()) * weight;
    latency_ += duration(static_cast<duration::rep>(change));
}

void upstream_tracker::on_answer(duration latency, const answer_head& head, time_point now)
{
    smooth(latency, now);
    on_success(now);
    ++served_here_;
    count_outcomes(1, 0, now);
    says_unhealthy_ = false;
    if (head.load_) {
        on_load(*head.load_, now);
    }
}

void upstream_tracker::on_load(const load_report& report, time_point taken)
{
    if (load_known_ && taken < report_time_) {
        return;
    }
    work_done_ = work_clock(taken);
    load_known_ = true;
    report_time_ = taken;
    others_in_flight_ = std::max(0.0, report.in_flight_ - in_flight_ - peers_in_flight(taken));
    reported_slots_ = report.slots_.value_or(reported_slots_);
    slowdown_ = std::max(0.01, report.slowdown_.value_or(slowdown_));
    unreachable_in_a_row_ = 0;
    unreachable_until_ = std::min(unreachable_until_, taken);
}

void upstream_tracker::set_peer_in_flight(std::uint64_t peer, int count, time_point now)
{
    const auto found = std::find_if(peers_.begin(), peers_.end(),
                                    [&](const peer_load& known) { return known.peer_ == peer; });
    if (found != peers_.end()) {
        *found = {peer, count, now};
        return;
    }
    if (count > 0) {
        std::erase_if(peers_, [&](const peer_load& known) { return now - known.heard_ > peer_memory; });
        peers_.push_back({peer, count, now});
    }
}

int upstream_tracker::peers_in_flight(time_point now) const
{
    int sum = 0;
    for (const auto& peer : peers_) {
        sum += now - peer.heard_ <= peer_memory ? peer.in_flight_ : 0;
    }
    return sum;
}

void upstream_tracker::on_probe(bool answered, bool says_healthy, time_point taken)
{
    if (!answered) {
        on_unreachable(taken);
        return;
    }
    unreachable_in_a_row_ = 0;
    unreachable_until_ = std::min(unreachable_until_, taken);
    says_unhealthy_ = !says_healthy && last_answer_ < taken;
}

void upstream_tracker::on_unreachable(time_point now)
{
    if (now < unreachable_until_) {
        return;
    }
    const int doublings = std::min(unreachable_in_a_row_, 4);
    unreachable_until_ =
        now + std::min(longest_unreachable_pause, first_unreachable_pause * (1 << doublings));
    ++unreachable_in_a_row_;
}

void upstream_tracker::count_outcomes(double served, double failed, time_point now)
{
    const double kept = decay(now - outcomes_time_, outcome_memory);
    recent_served_ = recent_served_ * kept + served;
    recent_failed_ = recent_failed_ * kept + failed;
    outcomes_time_ = now;
}

void upstream_tracker::on_peer_outcomes(int served, int failed, time_point now)
{
    count_outcomes(served, failed, now);
}

double upstream_tracker::failure_rate(time_point now) const
{
    const double kept = decay(now - outcomes_time_, outcome_memory);
    return recent_failed_ * kept / ((recent_served_ + recent_failed_) * kept + prior_outcomes);
}

int upstream_tracker::slots(int otherwise) const
{
    if (reported_slots_ > 0) {
        return reported_slots_;
    }
    return config_.slots_ > 0 ? config_.slots_ : otherwise;
}

double upstream_tracker::occupancy(time_point now) const
{
    return in_flight_ + peers_in_flight(now) + others_in_flight_ * decay(now - report_time_, speed_memory);
}

double upstream_tracker::slowdown(time_point now, double typical) const
{
    const double kept = load_known_ ? decay(now - report_time_, speed_memory) : 0.0;
    return slowdown_ * kept + typical * (1 - kept);
}

duration upstream_tracker::work_clock(time_point now) const
{
    const auto since = static_cast<double>((now - report_time_).count()) / slowdown_;
    return work_done_ + duration(static_cast<duration::rep>(since));
}

std::optional<time_point> upstream_tracker::report_taken() const
{
    return load_known_ ? std::optional(report_time_) : std::nullopt;
}

void upstream_tracker::on_success(time_point now)
{
    consecutive_failures_ = 0;
    ejected_until_ = {};
    last_answer_ = now;
}

void upstream_tracker::on_failure(duration penalty, time_point now)
{
    smooth(penalty, now);
    ++failed_here_;
    count_outcomes(0, 1, now);
    ++consecutive_failures_;
    if (consecutive_failures_ < failures_before_ejection) {
        return;
    }
    const int doublings = std::min(consecutive_failures_ - failures_before_ejection, 8);
    ejected_until_ = now + std::min(longest_ejection, first_ejection * (1 << doublings));
}

bool upstream_tracker::ejected(time_point now) const
{
    if (consecutive_failures_ < failures_before_ejection) {
        return false;
    }
    return now < ejected_until_ || in_flight_ > 0;
}

duration upstream_tracker::smoothed_latency(time_point now, duration typical) const
{
    if (latency_ == duration{}) {
        return typical;
    }
    const double kept = decay(now - last_answer_, latency_memory);
    const double blended =
        static_cast<double>(latency_.count()) * kept + static_cast<double>(typical.count()) * (1 - kept);
    return duration(static_cast<duration::rep>(blended));
}

double upstream_tracker::estimated_load(time_point now) const
{
    return in_flight_ + others_in_flight_ * decay(now - report_time_, report_memory);
}

double upstream_tracker::ramp(time_point now) const
{
    if (config_.state_ != upstream_state::arriving) {
        return 1.0;
    }
    const double passed =
        static_cast<double>((now - ramp_start_).count()) / static_cast<double>(arrival_ramp.count());
    return std::clamp(passed, initial_ramp_share, 1.0);
}

} // namespace anvilpost
