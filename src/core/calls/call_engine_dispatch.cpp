// Attempts at upstreams of services whose slots a dispatcher grants. A call without another attempt waits
// outside the queue meanwhile, in the phase `waiting`; a call that is to be hedged goes on running.
//
// A grant says where a call may be sent without a collision. It lifts no rule of this node: gate, deadline,
// attempts and key are checked when it arrives, since they may have changed while the call waited.
#include "core/calls/call_engine.h"

#include <algorithm>

namespace anvilpost {

/// True when the upstream that this node would choose alone names a rate limit or is cold. Such a rate is
/// divided among a few nodes, which alone may send there, so dispatchers grant no slots of these upstreams.
bool call_engine::chooses_limited_upstream(const call_state& state, service_state& service)
{
    const auto& upstreams = service.upstreams();
    const bool any_limited = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& entry) {
        return entry.second->gate().shares_rate(now());
    });
    const auto* chosen =
        any_limited ? service.choose(state.call_, state.tried_, ports_.random_, now()) : nullptr;
    return chosen != nullptr && chosen->gate().shares_rate(now());
}

bool call_engine::ask_dispatcher(call_state& state, service_state& service, connection_need need)
{
    if (state.awaits_slot_) {
        return true;
    }
    const bool asks = dispatch_ != nullptr && service.uses_earliest_finish() && !state.chooses_alone_ &&
                      dispatch_->grants_slots(service.name()) &&
                      service.has_eligible_upstream(state.tried_) &&
                      service.held_until(state.tried_) <= now() && !chooses_limited_upstream(state, service);
    if (!asks) {
        return false;
    }
    state.awaits_slot_ = true;
    state.slot_need_ = need;
    if (state.active_.empty()) {
        state.phase_ = phase::waiting;
        schedule_wakeup(state);
    }
    dispatch_->request_slot(state.call_, service.expected_work(state.call_), effective_deadline(state),
                            state.tried_);
    return true;
}

void call_engine::withdraw_slot_request(call_state& state)
{
    if (state.awaits_slot_) {
        state.awaits_slot_ = false;
        dispatch_->withdraw(state.call_.id_);
    }
}

grant_use call_engine::on_slot_granted(call_id call, slot_id slot, const std::string& upstream)
{
    auto* state = find_call(call);
    if (state == nullptr || !state->awaits_slot_) {
        return grant_use::not_wanted;
    }
    auto* service = find_service(state->call_.service_);
    const bool is_authorised = authorised(*state);
    const bool wanted = service != nullptr && is_authorised && now() < state->call_.deadline_ &&
                        state->attempts_made_ < state->call_.max_attempts_;
    if (!wanted) {
        state->awaits_slot_ = false;
        if (state->active_.empty()) {
            reject(*state, is_authorised ? problem_kind::deadline_exceeded : problem_kind::unauthorised,
                   "the call may not be sent any more");
        }
        return grant_use::not_wanted;
    }
    auto* target = service->find(upstream);
    const bool allowed = target != nullptr && !state->tried_.contains(upstream) &&
                         target->in_flight() < service->connection_limit();
    const auto permit = allowed ? target->gate().take(send_purpose::call, now()) : std::nullopt;
    if (!permit) {
        return grant_use::forbidden;
    }
    state->awaits_slot_ = false;
    start_attempt(*state, *service, *target, state->slot_need_, *permit, slot);
    return grant_use::used;
}

void call_engine::on_slot_refused(call_id call, duration expected_wait)
{
    auto* state = find_call(call);
    if (state == nullptr || !state->awaits_slot_) {
        return;
    }
    state->awaits_slot_ = false;
    if (state->active_.empty()) {
        state->expected_wait_ = expected_wait;
        reject(*state, problem_kind::overloaded, "the dispatcher expects no free slot in time");
    }
}

void call_engine::on_no_dispatcher(call_id call)
{
    auto* state = find_call(call);
    if (state == nullptr || !state->awaits_slot_) {
        return;
    }
    state->awaits_slot_ = false;
    state->chooses_alone_ = true;
    auto* service = find_service(state->call_.service_);
    if (!state->active_.empty()) {
        try_start(*state, state->slot_need_);
        return;
    }
    if (service == nullptr || now() >= state->call_.deadline_) {
        reject(*state, problem_kind::deadline_exceeded, "no slot was granted in time");
        return;
    }
    if (!authorised(*state)) {
        reject(*state, problem_kind::unauthorised, "the key was withdrawn");
        return;
    }
    if (!try_start(*state, state->slot_need_)) {
        wait_for_upstream(*state, *service);
    }
}

} // namespace anvilpost
