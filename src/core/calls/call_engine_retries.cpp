// What follows an attempt that failed: another attempt within the limits and budgets of the call, or a
// rejection that tells the caller whether the request may have run and when to come back.
#include "core/calls/call_engine.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Upstreams that one call tries before it is rejected. This limits failed connections: no byte of the
/// request was sent on them, so they count neither as attempts nor against the retry budget.
constexpr std::size_t max_upstreams_tried = 8;

/// A call that got no connection this often is forwarded to another node, also when this node is not known to
/// be cut off: its open connections may go on working while new ones are refused.
constexpr int unsent_attempts_before_forwarding = 2;

/// Bounds of the `Retry-After` time of rejections. A service that is short of slots has usually recovered
/// within the longest one.
constexpr std::chrono::milliseconds min_retry_after = 50ms;
constexpr std::chrono::milliseconds max_retry_after = 5s;

/// `Retry-After` while every upstream of a service is evacuated. Nothing tells when that ends; it takes an
/// operator's action and then up to the time in which a configuration gets into force.
constexpr std::chrono::milliseconds evacuated_retry_after = 2s;

/// Callers that are told when an upstream wants requests again return over this share of the time later.
constexpr double max_pause_jitter_share = 0.1;

} // namespace

/// Starts or queues another attempt in place of `failed`, within the call's attempt limit and the retry
/// budget. Returns false, changing nothing, when that is not possible.
bool call_engine::retry_elsewhere(call_state& state, service_state& service, attempt_id failed)
{
    auto avoided = state.tried_;
    const bool possible = state.attempts_made_ < state.call_.max_attempts_ && authorised(state) &&
                          service.has_eligible_upstream(avoided) && service.held_until(avoided) <= now() &&
                          now() + service.expected_work(state.call_) < state.call_.deadline_;
    if (!possible) {
        return false;
    }
    const bool room_now = service.choose(state.call_, avoided, ports_.random_, now()) != nullptr;
    if (!room_now && !service.uses_earliest_finish()) {
        return false;
    }
    if (!service.take_retry(state.call_, now())) {
        return false;
    }
    drop_attempt(failed);
    if (!try_start(state, connection_need::any)) {
        wait_for_upstream(state, service);
    }
    return true;
}

void call_engine::retry_or_reject(call_state& state, problem_kind kind, std::string detail)
{
    if (!state.active_.empty()) {
        return;
    }
    auto* service = find_service(state.call_.service_);
    const bool nothing_ran = state.verdict_ == verdict::not_run;
    const bool allowed =
        (nothing_ran || state.call_.repeatable_) && state.attempts_made_ < state.call_.max_attempts_ &&
        state.tried_.size() < max_upstreams_tried && service != nullptr && authorised(state) &&
        service->has_eligible_upstream(state.tried_) &&
        !suspects_.quarantined(state.call_.fingerprint_, now()) && now() < state.call_.deadline_;
    const bool only_peers_left = kind == problem_kind::upstream_unreachable && nothing_ran &&
                                 service != nullptr && !service->has_eligible_upstream(state.tried_) &&
                                 now() < state.call_.deadline_;
    if (only_peers_left && start_at_peer(state)) {
        return;
    }
    const bool uses_retry_budget = kind != problem_kind::upstream_unreachable;
    if (!allowed || (uses_retry_budget && !service->take_retry(state.call_, now()))) {
        reject(state, kind, std::move(detail));
        return;
    }
    if (state.unsent_attempts_ >= unsent_attempts_before_forwarding && start_at_peer(state)) {
        return;
    }
    if (!try_start(state, connection_need::fresh)) {
        wait_for_upstream(state, *service);
    }
}

void call_engine::reject(call_state& state, problem_kind kind, std::string detail,
                         std::optional<std::chrono::milliseconds> retry_after_given)
{
    const call_id call = state.call_.id_;
    auto* service = find_service(state.call_.service_);
    constexpr int service_unavailable = 503;
    const bool promises_not_run = status_of(kind) == service_unavailable ||
                                  kind == problem_kind::unauthorised || kind == problem_kind::quota_exceeded;
    if (state.verdict_ != verdict::not_run && promises_not_run) {
        // Callers may read these as a promise that the request was not run and send it again.
        kind = problem_kind::upstream_broken;
    }
    problem why{kind, state.verdict_, std::move(detail), retry_after_given};
    const int status = status_of(kind);
    if (!retry_after_given && (status == 503 || status == 504)) {
        why.retry_after_ = retry_after(service, state.expected_wait_);
    }
    withdraw_slot_request(state);
    report_decision(decision_kind::rejected, state, nullptr, why.detail_);
    auto record = record_of(state);
    record.status_ = status;
    record.problem_ = kind;
    const bool can_release_claim = state.verdict_ == verdict::not_run;
    if (can_release_claim) {
        return_token(state);
    }
    wakeups_.erase({state.wake_at_, call});
    calls_.erase(call);
    if (can_release_claim) {
        ports_.claims_.release(call);
    }
    else {
        ports_.claims_.keep(call);
    }
    ports_.observer_.on_call_finished(record);
    ports_.callers_.reject(call, why);
}

/// Returns how long a rejected caller should wait before it sends the request again: the time to serve the
/// calls that wait now, which a dispatcher may have stated, or until an upstream wants requests again, plus a
/// random jitter of up to as long again, so that callers which were rejected together do not return together.
std::chrono::milliseconds call_engine::retry_after(const service_state* service,
                                                   std::optional<duration> expected_wait)
{
    const duration wait =
        expected_wait.value_or(service == nullptr ? duration{} : service->expected_queue_wait());
    const duration held = service == nullptr ? duration{} : service->held_until({}) - now();
    if (held > duration{}) {
        const double spread = 1.0 + max_pause_jitter_share * random_unit(ports_.random_);
        return std::chrono::ceil<std::chrono::milliseconds>(held * spread);
    }
    if (service != nullptr && !service->has_eligible_upstream({}) && service->has_evacuated_upstream()) {
        const double spread = 1.0 + max_pause_jitter_share * random_unit(ports_.random_);
        return std::chrono::ceil<std::chrono::milliseconds>(evacuated_retry_after * spread);
    }
    const double jitter_factor = 1.0 + random_unit(ports_.random_);
    const auto jittered_wait = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::chrono::duration<double, std::milli>(wait).count() * jitter_factor));
    return std::clamp(jittered_wait, min_retry_after, max_retry_after);
}

} // namespace anvilpost
