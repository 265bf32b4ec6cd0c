// Quotas of organisations in the call engine: a call of an organisation with a limit gets a token before its
// first attempt at an upstream of this node. Retries and hedges use the same token.
#include "core/calls/call_engine.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A call waits for a decision at least this long, also when it is late already.
constexpr duration min_decision_time = 60ms;

} // namespace

bool call_engine::needs_token(const call_state& state) const
{
    if (quotas_ == nullptr || state.admitted_at_ || state.call_.organisation_.empty() ||
        ports_.organisations_ == nullptr) {
        return false;
    }
    const auto* organisation = ports_.organisations_->find(state.call_.organisation_);
    return organisation != nullptr && organisation->config_.rate_per_second_ > 0;
}

/// The call waits only as long as it can still meet its objective, since its caller can do better with a
/// refusal than with a late response.
void call_engine::ask_for_token(call_state& state)
{
    const auto* service = find_service(state.call_.service_);
    const duration work = service == nullptr ? duration{} : service->expected_work(state.call_);
    const auto latest = std::max(now() + min_decision_time, state.call_.objective_ - work);
    const auto answer_by = std::min(latest, state.call_.deadline_ - 1ms);
    state.phase_ = phase::admitting;
    schedule_wakeup(state);
    const std::string organisation = state.call_.organisation_;
    quotas_->admit(state.call_.id_, organisation, answer_by);
}

void call_engine::on_quota_decided(call_id call, const quota_decision& decision)
{
    auto* state = find_call(call);
    if (state == nullptr || state->phase_ != phase::admitting) {
        return;
    }
    state->phase_ = phase::waiting;
    if (!decision.admitted_) {
        reject(*state, problem_kind::quota_exceeded, "the organisation's quota is used up",
               decision.retry_after_);
        return;
    }
    state->admitted_at_ = now();
    claim_or_start(*state);
}

void call_engine::return_token(call_state& state)
{
    if (state.phase_ == phase::admitting) {
        quotas_->withdraw(state.call_.id_, state.call_.organisation_);
    }
    else if (state.admitted_at_) {
        quotas_->refund(state.call_.organisation_, *state.admitted_at_);
    }
    state.admitted_at_.reset();
}

} // namespace anvilpost
