// The call engine's timers and queueing: waiting for a free slot, hedged requests, and deadlines.
#include "core/calls/call_engine.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A waiting call is rejected once the time to its deadline is less than its expected work divided by this.
constexpr int min_time_left_divisor = 2;

/// An attempt is considered stuck after this many times its expected time, and a repeatable call is then
/// hedged.
constexpr int stuck_factor = 3;
constexpr duration min_stuck_time = 60ms;

/// A hedge on a slowed upstream's call must be expected to finish earlier than the running attempt by at
/// least this share of the call's expected work.
constexpr double min_hedge_gain_share = 0.5;

/// The work that a running call still needs is estimated as at least its expected work divided by this, since
/// a call may need more work than expected.
constexpr int min_work_left_divisor = 4;

/// Upstreams with at least this slowdown have their running calls considered for a hedge.
constexpr double min_hedge_slowdown_factor = 2.0;

} // namespace

void call_engine::start_or_wait(call_state& state)
{
    state.phase_ = phase::waiting;
    auto* service = find_service(state.call_.service_);
    if (service == nullptr) {
        reject(state, problem_kind::unknown_service, "the service was removed from the configuration");
        return;
    }
    if (now() >= state.call_.deadline_) {
        reject(state, problem_kind::deadline_exceeded, "the deadline passed before an attempt was made");
        return;
    }
    if (!authorised(state)) {
        reject(state, problem_kind::unauthorised, "the key was withdrawn");
        return;
    }
    if (!try_start(state, connection_need::any)) {
        wait_for_upstream(state, *service);
    }
}

time_point call_engine::effective_deadline(const call_state& state) const
{
    return waiting_deadline_ ? std::min(*waiting_deadline_, state.call_.deadline_) : state.call_.deadline_;
}

void call_engine::set_waiting_deadline(time_point end)
{
    waiting_deadline_ = end;
    for (auto& [unused, state] : calls_) {
        if (state.phase_ == phase::waiting) {
            schedule_wakeup(state);
        }
    }
}

waiting_call call_engine::as_waiting(const call_state& state, const service_state& service) const
{
    return {state.call_.id_,           state.call_.priority_,  state.call_.objective_,
            effective_deadline(state), state.call_.is_resend_, service.expected_work(state.call_),
            kind_of(state.call_)};
}

bool call_engine::may_wait(call_state& state, service_state& service)
{
    const auto& policy = service.config().policy_;
    if (service.queue_.size() >= static_cast<std::size_t>(policy.queue_length_)) {
        return false;
    }
    if (service.schedules_by_cost()) {
        schedule_waiting_calls(service, &state);
        return !state.expected_wait_;
    }
    if (!service.uses_earliest_finish()) {
        return service.expected_queue_wait() <=
               std::min<duration>(policy.queue_wait_, state.call_.deadline_ - now());
    }
    return service.may_wait(as_waiting(state, service), now());
}

void call_engine::wait_for_upstream(call_state& state, service_state& service)
{
    if (needs_token(state)) {
        ask_for_token(state);
        return;
    }
    if (!service.has_eligible_upstream(state.tried_)) {
        reject(state, problem_kind::no_upstream, "no further upstream of the service receives calls");
        return;
    }
    if (service.held_until(state.tried_) > now()) {
        reject(state, problem_kind::overloaded, "every upstream asked for a pause");
        return;
    }
    if (!may_wait(state, service)) {
        reject(state, problem_kind::overloaded, "the wait would be too long");
        return;
    }
    state.phase_ = phase::waiting;
    service.queue_.add(as_waiting(state, service));
    report_decision(decision_kind::waits, state, nullptr, "no free slot that would answer earlier");
    schedule_wakeup(state);
}

void call_engine::start_waiting_calls(service_state& service)
{
    if (service.queue_.empty()) {
        return;
    }
    const bool may_start = service.has_any_room(now()) || reachability_.cut_off(now()) ||
                           service.held_until({}) > now() || !service.has_eligible_upstream({});
    if (!may_start) {
        return;
    }
    for (const call_id next : order_of_service(service)) {
        auto* state = find_call(next);
        if (state == nullptr || state->phase_ != phase::waiting) {
            continue;
        }
        if (now() >= state->call_.deadline_) {
            service.queue_.remove(next);
            reject(*state, problem_kind::deadline_exceeded, "no upstream became free in time");
            continue;
        }
        if (service.held_until(state->tried_) > now()) {
            service.queue_.remove(next);
            reject(*state, problem_kind::overloaded, "every upstream asked for a pause");
            continue;
        }
        if (!service.has_eligible_upstream(state->tried_)) {
            service.queue_.remove(next);
            reject(*state, problem_kind::no_upstream, "no further upstream of the service receives calls");
            continue;
        }
        service.queue_.remove(next);
        if (!try_start(*state, connection_need::any)) {
            service.queue_.add(as_waiting(*state, service));
            if (!service.uses_earliest_finish()) {
                return;
            }
        }
    }
}

void call_engine::plan_hedge(call_state& state, const service_state& service,
                             const upstream_tracker& upstream)
{
    if (service.uses_earliest_finish()) {
        const auto expected = expected_finish(upstream, service.context_for(state.call_, now()));
        state.hedge_at_ = now() + std::max<duration>(min_stuck_time, expected * stuck_factor);
    }
    else if (state.attempts_made_ == 1 && service.latencies_.has_enough_samples()) {
        state.hedge_at_ = now() + service.latencies_.p95();
    }
}

void call_engine::hedge(call_state& state)
{
    state.hedge_at_.reset();
    auto* service = find_service(state.call_.service_);
    const bool may_hedge = state.phase_ == phase::running && state.active_.size() == 1 &&
                           !state.awaits_slot_ && service != nullptr &&
                           state.attempts_made_ < state.call_.max_attempts_;
    if (!may_hedge || !service->queue_.empty() || !service->has_eligible_upstream(state.tried_)) {
        return;
    }
    if (service->choose(state.call_, state.tried_, ports_.random_, now()) == nullptr ||
        !service->take_hedge(now())) {
        return;
    }
    try_start(state, connection_need::fresh);
}

/// True when a call that runs at a slowed upstream would miss its latency objective there and a second
/// attempt at another upstream is expected to meet it.
bool call_engine::should_hedge_slowed_call(const call_state& state, service_state& service)
{
    const bool possible = state.phase_ == phase::running && state.active_.size() == 1 &&
                          !state.awaits_slot_ && state.call_.repeatable_ &&
                          state.attempts_made_ < state.call_.max_attempts_;
    if (!possible) {
        return false;
    }
    const auto& running = attempts_.at(state.active_.front());
    const auto* slow = service.find(running.upstream_);
    if (slow == nullptr) {
        return false;
    }
    const auto context = service.context_for(state.call_, now());
    const double slowdown = slow->slowdown(now(), service.typical_slowdown());
    if (slowdown < min_hedge_slowdown_factor) {
        return false;
    }
    const duration work_done = slow->cumulative_work(now()) - running.cumulative_work_at_start_;
    const duration work_left = std::max(context.work_ / min_work_left_divisor, context.work_ - work_done);
    const duration remaining_time = expected_duration(
        work_left, slowdown, std::max(1.0, slow->mean_slowdown(service.typical_slowdown())));
    if (now() + remaining_time <= state.call_.objective_) {
        return false;
    }
    const auto* other = service.choose(state.call_, state.tried_, ports_.random_, now());
    if (other == nullptr) {
        return false;
    }
    const duration hedge_time = expected_finish(*other, context);
    const auto gain = static_cast<double>((remaining_time - hedge_time).count());
    return now() + hedge_time <= state.call_.objective_ &&
           gain >= min_hedge_gain_share * static_cast<double>(context.work_.count());
}

void call_engine::apply_loads()
{
    std::vector<call_id> running;
    for (const auto& [unused, attempt] : attempts_) {
        running.push_back(attempt.call_);
    }
    for (const call_id id : running) {
        auto* state = find_call(id);
        auto* service = state == nullptr ? nullptr : find_service(state->call_.service_);
        if (service == nullptr || !service->uses_earliest_finish() ||
            !should_hedge_slowed_call(*state, *service)) {
            continue;
        }
        if (service->take_hedge(now())) {
            try_start(*state, connection_need::any);
        }
    }
    for (auto& [unused, service] : services_) {
        start_waiting_calls(service);
    }
}

void call_engine::schedule_wakeup(call_state& state)
{
    wakeups_.erase({state.wake_at_, state.call_.id_});
    state.wake_at_ = state.phase_ == phase::waiting ? effective_deadline(state) : state.call_.deadline_;
    if (state.progress_) {
        state.wake_at_ = state.progress_->next_;
    }
    const auto* service = find_service(state.call_.service_);
    if (state.phase_ == phase::waiting && service != nullptr) {
        if (service->uses_earliest_finish()) {
            const auto work = service->expected_work(state.call_);
            const auto latest_timely_start = state.call_.objective_ - work;
            const auto latest_start = effective_deadline(state) - work / min_time_left_divisor;
            state.wake_at_ = latest_timely_start > now() && latest_timely_start < latest_start
                                 ? latest_timely_start
                                 : std::max(latest_start, now() + 1ms);
        }
        else {
            state.wake_at_ = std::min(state.wake_at_, now() + service->config().policy_.queue_wait_);
        }
    }
    if (state.hedge_at_ && state.phase_ == phase::running) {
        state.wake_at_ = std::min(state.wake_at_, *state.hedge_at_);
    }
    const auto added = wakeups_.insert({state.wake_at_, state.call_.id_}).first;
    if (added == wakeups_.begin() && on_earlier_wakeup_) {
        on_earlier_wakeup_();
    }
}

std::optional<time_point> call_engine::next_wakeup() const
{
    return wakeups_.empty() ? std::nullopt : std::optional(wakeups_.begin()->first);
}

void call_engine::on_wakeup()
{
    while (!wakeups_.empty() && wakeups_.begin()->first <= now()) {
        auto& state = calls_.at(wakeups_.begin()->second);
        wakeups_.erase(wakeups_.begin());
        if (state.phase_ == phase::relaying) {
            check_progress(state);
            continue;
        }
        const bool deadline_passed = now() >= state.call_.deadline_;
        if (!deadline_passed && state.phase_ == phase::waiting && start_or_wait_again(state)) {
            continue;
        }
        if (deadline_passed || state.phase_ == phase::waiting) {
            on_deadline(state);
            continue;
        }
        hedge(state);
        schedule_wakeup(state);
    }
}

/// Handles a waiting call that can no longer meet its objective: starts it if an upstream has room, or queues
/// it again among the late calls. Returns false when it must be rejected.
bool call_engine::start_or_wait_again(call_state& state)
{
    auto* service = find_service(state.call_.service_);
    if (service == nullptr || !service->uses_earliest_finish()) {
        return false;
    }
    const auto work = service->expected_work(state.call_);
    if (now() >= effective_deadline(state) - work / min_time_left_divisor) {
        return false;
    }
    if (state.awaits_slot_) {
        schedule_wakeup(state);
        return true;
    }
    service->queue_.remove(state.call_.id_);
    if (try_start(state, connection_need::any)) {
        return true;
    }
    if (!may_wait(state, *service)) {
        return false;
    }
    service->queue_.add(as_waiting(state, *service));
    schedule_wakeup(state);
    return true;
}

void call_engine::on_deadline(call_state& state)
{
    auto* service = find_service(state.call_.service_);
    if (state.phase_ == phase::waiting) {
        if (service != nullptr) {
            service->queue_.remove(state.call_.id_);
        }
        const bool deadline_passed = now() >= state.call_.deadline_;
        reject(state, deadline_passed ? problem_kind::deadline_exceeded : problem_kind::overloaded,
               "no upstream became free in time");
        return;
    }
    // An attempt without a response by the deadline counts as a failure of its upstream, whatever load and
    // health the upstream reports.
    for (const auto attempt : state.active_) {
        if (attempts_.at(attempt).peer_.empty()) {
            reachability_.on_failure(attempts_.at(attempt).upstream_, now());
        }
        auto* upstream = service == nullptr ? nullptr : service->find(attempts_.at(attempt).upstream_);
        if (upstream != nullptr) {
            upstream->on_failure(std::max(now() - attempts_.at(attempt).started_, service->failure_penalty()),
                                 now());
        }
    }
    if (!state.active_.empty()) {
        state.verdict_ = combine_verdicts(state.verdict_, verdict::may_have_run);
    }
    cancel_attempts(state, std::nullopt);
    reject(state, problem_kind::deadline_exceeded, "no upstream answered in time");
}

} // namespace anvilpost
