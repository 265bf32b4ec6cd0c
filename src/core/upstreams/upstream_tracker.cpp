// Implements latency smoothing, outlier ejection, backoff and slow start of one upstream.
#include "core/upstreams/upstream_tracker.h"

#include <algorithm>
#include <cmath>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

constexpr double rising_latency_weight = 0.3;
constexpr double falling_latency_weight = 0.15;
constexpr duration latency_time_constant = 5s;
constexpr duration load_report_time_constant = 100ms;
constexpr duration arrival_ramp = 10s;
constexpr double initial_ramp_share = 0.1;
constexpr int failures_before_ejection = 3;
constexpr duration initial_ejection_time = 500ms;
constexpr duration max_ejection_time = 10s;

/// Time constant at which a reported speed goes out of date: noisy neighbours on shared machines change it
/// about twice a second (docs/design/placing.md).
constexpr duration slowdown_time_constant = 500ms;

/// Time constant of `mean_slowdown`: several changes of speed by noisy neighbours, and short enough to notice
/// within a second that an upstream itself has become slow.
constexpr duration mean_slowdown_time_constant = 3s;

/// Weight, in seconds of reports, of what is typical of other upstreams in `mean_slowdown`.
constexpr double typical_slowdown_weight_s = 0.5;

/// Time constant of the counts behind `failure_rate`: long enough to measure a failure rate at few calls per
/// second, short enough to forget failures from which the upstream has recovered.
constexpr duration outcome_time_constant = 3s;

/// Number of successes that `failure_rate` adds to the counted calls, so that a single failure does not give
/// a high rate.
constexpr double prior_success_count = 4.0;

/// The in-flight count of a peer is ignored when the peer has sent none for this long.
constexpr duration peer_report_timeout = 1s;

/// Backoff after the first failed connection; it doubles with each further failure.
constexpr duration initial_unreachable_backoff = 250ms;
constexpr duration max_unreachable_backoff = 2s;

double decay(duration age, duration time_constant)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(time_constant.count()));
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
    gate_ = {};
    gate_.set_configured(listed_, config.state_);
    consecutive_failures_ = 0;
    ejected_until_ = {};
    last_response_ = now;
    ramp_start_ = now;
    latency_ = {};
    others_in_flight_ = 0;
    report_time_ = now;
    has_load_report_ = false;
    reported_slots_ = 0;
    slowdown_ = 1.0;
    reported_time_ = 0;
    reported_work_ = 0;
    slowdown_integral_ = 0;
    work_done_ = {};
    peers_.clear();
    recent_served_ = 0;
    recent_failed_ = 0;
    outcomes_updated_at_ = now;
    unreachable_until_ = {};
    unreached_until_ = {};
    consecutive_unreachable_ = 0;
    reported_unhealthy_ = false;
    gate_.extend_warm_up(config.warm_up_, now);
}

bool upstream_tracker::configure(const upstream_config& config, time_point now)
{
    const bool is_new_upstream = config.ip_ != config_.ip_ || config.port_ != config_.port_ ||
                                 config.incarnation_ != config_.incarnation_;
    const bool resets = is_new_upstream || !listed_;
    if (resets) {
        reset(config, now);
    }
    else if (config.warm_up_ != config_.warm_up_ || config.entry_revision_ != config_.entry_revision_) {
        // The entry was written again: the upstream became cold again.
        gate_.extend_warm_up(gate_.warm_up().per_second() > 0 ? duration(config.warm_up_) : duration{}, now);
    }
    if (config.state_ == upstream_state::arriving && config_.state_ != upstream_state::arriving) {
        ramp_start_ = now;
    }
    config_ = config;
    listed_ = true;
    gate_.set_configured(listed_, config.state_);
    return resets;
}

void upstream_tracker::mark_unlisted()
{
    listed_ = false;
    gate_.set_configured(listed_, config_.state_);
}

void upstream_tracker::update_smoothed_latency(duration sample, time_point now)
{
    last_response_ = now;
    if (latency_ == duration{}) {
        latency_ = sample;
        return;
    }
    const double weight = sample > latency_ ? rising_latency_weight : falling_latency_weight;
    const auto change = static_cast<double>((sample - latency_).count()) * weight;
    latency_ += duration(static_cast<duration::rep>(change));
}

void upstream_tracker::on_response(duration latency, const response_head& head, time_point now)
{
    update_smoothed_latency(latency, now);
    on_success(now);
    ++own_calls_served_;
    count_outcomes(1, 0, now);
    reported_unhealthy_ = false;
    if (head.self_.load_) {
        on_load(*head.self_.load_, now);
    }
}

void upstream_tracker::on_load(const load_report& report, time_point measured_at)
{
    if (has_load_report_ && measured_at < report_time_) {
        return;
    }
    work_done_ = cumulative_work(measured_at);
    const auto since_last = measured_at - report_time_;
    const double remaining_share = decay(since_last, mean_slowdown_time_constant);
    reported_time_ *= remaining_share;
    reported_work_ *= remaining_share;
    slowdown_integral_ *= remaining_share;
    if (has_load_report_) {
        // A report tells nothing of the time long after it.
        const std::chrono::duration<double> covered = std::min(since_last, slowdown_time_constant);
        reported_time_ += covered.count();
        reported_work_ += covered.count() / slowdown_;
        slowdown_integral_ += covered.count() * slowdown_;
    }
    has_load_report_ = true;
    report_time_ = measured_at;
    others_in_flight_ = std::max(0.0, report.in_flight_ - in_flight_ - peers_in_flight(measured_at));
    reported_slots_ = report.slots_.value_or(reported_slots_);
    slowdown_ = std::max(0.01, report.slowdown_.value_or(slowdown_));
    consecutive_unreachable_ = 0;
    unreachable_until_ = std::min(unreachable_until_, measured_at);
}

void upstream_tracker::set_peer_in_flight(std::uint64_t peer, int count, time_point now)
{
    const auto found = std::find_if(peers_.begin(), peers_.end(),
                                    [&](const peer_load& entry) { return entry.peer_ == peer; });
    if (found != peers_.end()) {
        *found = {peer, count, now};
        return;
    }
    if (count > 0) {
        std::erase_if(peers_,
                      [&](const peer_load& entry) { return now - entry.received_at_ > peer_report_timeout; });
        peers_.push_back({peer, count, now});
    }
}

int upstream_tracker::peers_in_flight(time_point now) const
{
    int total = 0;
    for (const auto& peer : peers_) {
        total += now - peer.received_at_ <= peer_report_timeout ? peer.in_flight_ : 0;
    }
    return total;
}

void upstream_tracker::on_probe(bool answered, bool reported_healthy, time_point measured_at)
{
    if (!answered) {
        on_unreachable(measured_at);
        return;
    }
    consecutive_unreachable_ = 0;
    unreachable_until_ = std::min(unreachable_until_, measured_at);
    reported_unhealthy_ = !reported_healthy && last_response_ < measured_at;
}

void upstream_tracker::on_unreachable(time_point now)
{
    if (now < unreachable_until_) {
        return;
    }
    const int doublings = std::min(consecutive_unreachable_, 4);
    unreachable_until_ =
        now + std::min(max_unreachable_backoff, initial_unreachable_backoff * (1 << doublings));
    ++consecutive_unreachable_;
}

void upstream_tracker::on_connection_failed(time_point now)
{
    on_unreachable(now);
    unreached_until_ = now + max_unreachable_backoff;
}

void upstream_tracker::on_attempt(time_point now)
{
    if (unreached_until_ != time_point{}) {
        unreached_until_ = now + max_unreachable_backoff;
    }
}

void upstream_tracker::count_outcomes(double served, double failed, time_point now)
{
    const double remaining_share = decay(now - outcomes_updated_at_, outcome_time_constant);
    recent_served_ = recent_served_ * remaining_share + served;
    recent_failed_ = recent_failed_ * remaining_share + failed;
    outcomes_updated_at_ = now;
}

void upstream_tracker::on_peer_outcomes(int served, int failed, time_point now)
{
    count_outcomes(served, failed, now);
}

double upstream_tracker::failure_rate(time_point now) const
{
    const double remaining_share = decay(now - outcomes_updated_at_, outcome_time_constant);
    return recent_failed_ * remaining_share /
           ((recent_served_ + recent_failed_) * remaining_share + prior_success_count);
}

int upstream_tracker::slots(int default_slots) const
{
    if (reported_slots_ > 0) {
        return reported_slots_;
    }
    return config_.slots_ > 0 ? config_.slots_ : default_slots;
}

double upstream_tracker::occupancy(time_point now) const
{
    return in_flight_ + peers_in_flight(now) +
           others_in_flight_ * decay(now - report_time_, slowdown_time_constant);
}

double upstream_tracker::slowdown(time_point now, double typical) const
{
    const double remaining_share = has_load_report_ ? decay(now - report_time_, slowdown_time_constant) : 0.0;
    return slowdown_ * remaining_share + typical * (1 - remaining_share);
}

double upstream_tracker::mean_slowdown(double typical) const
{
    return (slowdown_integral_ + typical_slowdown_weight_s * typical) /
           (reported_time_ + typical_slowdown_weight_s);
}

double upstream_tracker::slowdown_of_work(double typical) const
{
    return (reported_time_ + typical_slowdown_weight_s) /
           (reported_work_ + typical_slowdown_weight_s / typical);
}

duration upstream_tracker::cumulative_work(time_point now) const
{
    const auto work_since_report = static_cast<double>((now - report_time_).count()) / slowdown_;
    return work_done_ + duration(static_cast<duration::rep>(work_since_report));
}

std::optional<time_point> upstream_tracker::report_time() const
{
    return has_load_report_ ? std::optional(report_time_) : std::nullopt;
}

void upstream_tracker::on_success(time_point now)
{
    consecutive_failures_ = 0;
    ejected_until_ = {};
    last_response_ = now;
    unreached_until_ = {};
}

void upstream_tracker::on_failure(duration penalty, time_point now)
{
    update_smoothed_latency(penalty, now);
    ++own_calls_failed_;
    count_outcomes(0, 1, now);
    ++consecutive_failures_;
    if (consecutive_failures_ < failures_before_ejection) {
        return;
    }
    const int doublings = std::min(consecutive_failures_ - failures_before_ejection, 8);
    ejected_until_ = now + std::min(max_ejection_time, initial_ejection_time * (1 << doublings));
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
    const double remaining_share = decay(now - last_response_, latency_time_constant);
    const double blended = static_cast<double>(latency_.count()) * remaining_share +
                           static_cast<double>(typical.count()) * (1 - remaining_share);
    return duration(static_cast<duration::rep>(blended));
}

double upstream_tracker::estimated_load(time_point now) const
{
    return in_flight_ + others_in_flight_ * decay(now - report_time_, load_report_time_constant);
}

double upstream_tracker::ramp(time_point now) const
{
    if (config_.state_ != upstream_state::arriving) {
        return 1.0;
    }
    const double elapsed_share =
        static_cast<double>((now - ramp_start_).count()) / static_cast<double>(arrival_ramp.count());
    return std::clamp(elapsed_share, initial_ramp_share, 1.0);
}

} // namespace anvilpost
