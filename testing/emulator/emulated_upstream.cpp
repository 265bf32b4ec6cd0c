// Implements the emulated upstream: work advances at the speed of each moment, and is brought up to date
// whenever the speed or the set of running requests changes.
#include "emulator/emulated_upstream.h"

#include <algorithm>

namespace anvilpost::testing {
namespace {

constexpr double microseconds_per_millisecond = 1000;

/// Work below this is done; it absorbs rounding.
constexpr double work_tolerance_ms = 1e-6;

} // namespace

emulated_upstream::emulated_upstream(virtual_time& time, const upstream_model& model, std::uint64_t seed)
    : time_(time), model_(model), random_(seed), advanced_to_(time.now())
{
    // Upstreams change their speeds at different times.
    const double phase = random_unit(random_);
    slow_ = random_unit(random_) < model_.slow_share_;
    time_.schedule_after(
        duration(static_cast<duration::rep>(static_cast<double>(model_.speed_period_.count()) * phase)),
        [this] { draw_speed(); });
}

double emulated_upstream::slowdown() const
{
    const bool full = static_cast<int>(running_.size()) >= model_.slots_;
    return (slow_ ? model_.slow_factor_ : 1.0) * (full ? model_.contention_factor_ : 1.0);
}

load_report emulated_upstream::load() const
{
    return {static_cast<double>(running_.size() + waiting_.size()), model_.slots_,
            slow_ ? model_.slow_factor_ : 1.0};
}

void emulated_upstream::draw_speed()
{
    advance();
    slow_ = random_unit(random_) < model_.slow_share_;
    schedule_next_end();
    time_.schedule_after(model_.speed_period_, [this] { draw_speed(); });
}

void emulated_upstream::advance()
{
    const double passed_ms =
        static_cast<double>((time_.now() - advanced_to_).count()) / microseconds_per_millisecond;
    const double work_ms = passed_ms / slowdown();
    for (auto& each : running_) {
        each.work_left_ms_ -= work_ms;
    }
    advanced_to_ = time_.now();
}

std::uint64_t emulated_upstream::request(duration work, done_function done)
{
    const auto number = next_number_++;
    const bool has_room = static_cast<int>(running_.size()) < model_.slots_ ||
                          static_cast<int>(waiting_.size()) < model_.queue_length_;
    if (!has_room) {
        done(false, load());
        return number;
    }
    advance();
    waiting_.push_back(
        {number, static_cast<double>(work.count()) / microseconds_per_millisecond, std::move(done)});
    start_waiting();
    schedule_next_end();
    return number;
}

void emulated_upstream::cancel(std::uint64_t number)
{
    advance();
    const auto is_cancelled = [&](const job& each) { return each.number_ == number; };
    std::erase_if(running_, is_cancelled);
    std::erase_if(waiting_, is_cancelled);
    start_waiting();
    schedule_next_end();
}

void emulated_upstream::start_waiting()
{
    while (static_cast<int>(running_.size()) < model_.slots_ && !waiting_.empty()) {
        running_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
}

void emulated_upstream::schedule_next_end()
{
    const auto scheduled = ++schedule_;
    if (running_.empty()) {
        return;
    }
    const auto first = std::min_element(running_.begin(), running_.end(), [](const job& a, const job& b) {
        return a.work_left_ms_ < b.work_left_ms_;
    });
    const double left_ms = std::max(0.0, first->work_left_ms_) * slowdown();
    // Rounds up, so that the work is done when the event runs.
    const duration delay(static_cast<duration::rep>(left_ms * microseconds_per_millisecond) + 1);
    time_.schedule_after(delay, [this, scheduled] {
        if (scheduled == schedule_) {
            finish_ended();
        }
    });
}

void emulated_upstream::finish_ended()
{
    advance();
    std::vector<job> ended;
    for (auto& each : running_) {
        if (each.work_left_ms_ <= work_tolerance_ms) {
            ended.push_back(std::move(each));
        }
    }
    std::erase_if(running_, [](const job& each) { return each.work_left_ms_ <= work_tolerance_ms; });
    start_waiting();
    schedule_next_end();
    for (auto& each : ended) {
        each.done_(true, load());
    }
}

} // namespace anvilpost::testing
