// Smoothing, ejection and ramps of one upstream.
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
    if (head.load_) {
        others_in_flight_ = std::max(0.0, head.load_->in_flight_ - in_flight_);
        report_time_ = now;
    }
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
