// The call engine's use of admission_policy, for services that schedule by cost.
#include "core/calls/call_engine.h"

namespace anvilpost {

std::vector<call_id> call_engine::schedule_waiting_calls(service_state& service, call_state* arriving)
{
    auto waiting = service.queue_.calls();
    if (arriving != nullptr) {
        waiting.push_back(as_waiting(*arriving, service));
    }
    auto decision = service.admission_.decide(waiting, service.capacity(now()), now());
    for (const auto& refused : decision.refused_) {
        if (arriving != nullptr && refused.id_ == arriving->call_.id_) {
            arriving->expected_wait_ = refused.expected_wait_;
            continue;
        }
        service.queue_.remove(refused.id_);
        if (auto* state = find_call(refused.id_); state != nullptr && state->phase_ == phase::waiting) {
            state->expected_wait_ = refused.expected_wait_;
            reject(*state, problem_kind::overloaded, "displaced by calls that cost more to delay");
        }
    }
    return std::move(decision.order_);
}

std::vector<call_id> call_engine::order_of_service(service_state& service)
{
    return service.schedules_by_cost() ? schedule_waiting_calls(service, nullptr)
                                       : service.queue_.in_order(now());
}

} // namespace anvilpost
