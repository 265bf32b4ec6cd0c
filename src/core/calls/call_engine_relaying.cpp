// Relaying of an upstream's response to the caller, from its head to its end, and the time limit of that.
//
// The deadline of a call applies to the whole response: a caller whose response has stopped arriving is not
// kept waiting after it. A response that is still arriving then is passed on to its end, since cutting it off
// would waste what the caller has, and so is one that only waits for its caller to read.
#include "core/calls/call_engine.h"

#include <utility>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Time between two samples of the progress of a response that is incomplete after the deadline.
constexpr duration progress_period = 100ms;

/// A response of which fewer bytes than these arrive in a `progress_period` has stopped arriving: an upstream
/// could otherwise keep its caller waiting with a byte now and then.
constexpr std::uint64_t min_bytes_per_period = 4096;

} // namespace

void call_engine::relay_response(call_state& state, attempt_id attempt, const response_head& head)
{
    const auto& answered = attempts_.at(attempt);
    auto* service = find_service(answered.service_);
    auto* upstream = service == nullptr ? nullptr : service->find(answered.upstream_);
    state.verdict_ = verdict::ran;
    state.phase_ = phase::relaying;
    state.hedge_at_.reset();
    withdraw_slot_request(state);
    auto record = record_of(state);
    record.status_ = head.status_;
    record.upstream_ = answered.upstream_;
    record.data_centre_ = upstream == nullptr ? "" : upstream->config().data_centre_;
    state.relayed_ = record;
    cancel_attempts(state, attempt);
    schedule_wakeup(state);
    ports_.callers_.relay(state.call_.id_, attempt);
}

void call_engine::check_progress(call_state& state)
{
    const progress_sample current{now(), now() + progress_period,
                                  ports_.callers_.progress_of(state.call_.id_)};
    const auto previous = std::exchange(state.progress_, current);
    // If the sample is late, this process was held up, and what arrived meanwhile has not been read yet.
    const bool comparable = previous && current.at_ < previous->next_ + progress_period;
    const bool stalled =
        comparable && previous->progress_.awaits_upstream_ && current.progress_.awaits_upstream_ &&
        current.progress_.body_bytes_ - previous->progress_.body_bytes_ < min_bytes_per_period;
    if (!stalled) {
        schedule_wakeup(state);
        return;
    }
    const auto attempt = state.active_.front();
    ports_.upstreams_.cancel(attempt);
    on_attempt_ended(attempt, attempt_outcome::stalled_answer);
}

void call_engine::finish_relayed(const call_state& state, attempt_outcome outcome)
{
    const call_id call = state.call_.id_;
    if (state.relayed_) {
        auto record = *state.relayed_;
        if (outcome != attempt_outcome::complete) {
            record.problem_ = outcome == attempt_outcome::stalled_answer ? problem_kind::deadline_exceeded
                                                                         : problem_kind::upstream_broken;
            record.status_ = status_of(*record.problem_);
        }
        ports_.observer_.on_call_finished(record);
    }
    if (outcome != attempt_outcome::complete) {
        ports_.callers_.abort(call);
    }
    ports_.claims_.keep(call);
    wakeups_.erase({state.wake_at_, call});
    calls_.erase(call);
}

} // namespace anvilpost
