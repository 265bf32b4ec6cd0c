// The engine's part that deals with time: queueing for an upstream, hedging, and deadlines.
#include "core/calls/call_engine.h"

#include <algorithm>

namespace anvilpost {

void call_engine::enqueue(call_state& state)
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
    if (!try_start(state, connection_need::any)) {
        wait_for_upstream(state, *service);
    }
}

void call_engine::wait_for_upstream(call_state& state, service_state& service)
{
    if (!service.has_receiver(state.tried_)) {
        reject(state, problem_kind::no_upstream, "no further upstream of the service receives calls");
        return;
    }
    const auto wait = service.expected_queue_wait();
    const auto longest =
        std::min<duration>(service.config().policy_.queue_wait_, state.call_.deadline_ - now());
    const bool queue_full =
        service.waiting_.size() >= static_cast<std::size_t>(service.config().policy_.queue_length_);
    if (queue_full || wait > longest) {
        reject(state, problem_kind::overloaded,
               queue_full ? "too many calls wait" : "the wait would be too long");
        return;
    }
    state.phase_ = phase::waiting;
    service.waiting_.push_back(state.call_.id_);
    schedule(state);
}

void call_engine::serve_waiting(service_state& service)
{
    std::size_t left = service.waiting_.size();
    while (left-- > 0) {
        const call_id next = service.waiting_.front();
        service.waiting_.pop_front();
        auto& state = calls_.at(next);
        if (now() >= state.call_.deadline_) {
            reject(state, problem_kind::deadline_exceeded, "no upstream became free in time");
            continue;
        }
        if (!service.has_receiver(state.tried_)) {
            reject(state, problem_kind::no_upstream, "no further upstream of the service receives calls");
            continue;
        }
        if (!try_start(state, connection_need::any)) {
            service.waiting_.push_front(next);
            return;
        }
    }
}

void call_engine::hedge(call_state& state)
{
    state.hedge_at_.reset();
    auto* service = find_service(state.call_.service_);
    const bool may_hedge = state.phase_ == phase::running && state.active_.size() == 1 && service != nullptr;
    if (may_hedge && service->waiting_.empty() && service->has_receiver(state.tried_) &&
        service->hedges_.take()) {
        try_start(state, connection_need::fresh);
    }
}

void call_engine::schedule(call_state& state)
{
    wakeups_.erase({state.wake_at_, state.call_.id_});
    if (state.phase_ == phase::relaying) {
        return;
    }
    state.wake_at_ = state.call_.deadline_;
    if (state.phase_ == phase::waiting) {
        const auto* service = find_service(state.call_.service_);
        state.wake_at_ = std::min(state.wake_at_, now() + service->config().policy_.queue_wait_);
    }
    if (state.hedge_at_) {
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
        const bool deadline_passed = now() >= state.call_.deadline_;
        if (deadline_passed || state.phase_ == phase::waiting) {
            on_deadline(state);
            continue;
        }
        hedge(state);
        schedule(state);
    }
}

void call_engine::on_deadline(call_state& state)
{
    auto* service = find_service(state.call_.service_);
    if (state.phase_ == phase::waiting) {
        std::erase(service->waiting_, state.call_.id_);
        const bool deadline_passed = now() >= state.call_.deadline_;
        reject(state, deadline_passed ? problem_kind::deadline_exceeded : problem_kind::overloaded,
               "no upstream became free in time");
        return;
    }
    // Each active attempt counts as a failure of its upstream, whatever the upstream reports.
    for (const auto attempt : state.active_) {
        auto* upstream = service == nullptr ? nullptr : service->find(attempts_.at(attempt).upstream_);
        if (upstream != nullptr) {
            upstream->on_failure(std::max(now() - attempts_.at(attempt).started_, service->failure_penalty()),
                                 now());
        }
    }
    if (!state.active_.empty()) {
        state.verdict_ = weaken(state.verdict_, verdict::may_have_run);
    }
    cancel_attempts(state, std::nullopt);
    reject(state, problem_kind::deadline_exceeded, "no upstream answered in time");
}

} // namespace anvilpost
