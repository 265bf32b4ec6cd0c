// Life cycle of a call in the call engine: its arrival and claim, its attempts at upstreams and their
// outcomes; see call_engine_relaying.cpp for the response that the caller gets and call_engine_retries.cpp
// for what follows a failure.
// Each handler leaves the engine consistent before it calls a port, because a port may report back from
// inside the call (`claim_port::claim` does).
#include "core/calls/call_engine.h"

#include <algorithm>
#include <cmath>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// True for the status of a response that is not passed to the caller while another upstream may be tried.
bool is_server_error(int status)
{
    return status >= 500;
}

} // namespace

call_engine::call_engine(const engine_ports& ports) : ports_(ports) {}

call_engine::call_state* call_engine::find_call(call_id call)
{
    const auto found = calls_.find(call);
    return found == calls_.end() ? nullptr : &found->second;
}

service_state* call_engine::find_service(const std::string& name)
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

void call_engine::apply(const configuration& config)
{
    for (const auto& [name, service] : config.services_) {
        const auto found = services_.find(name);
        if (found == services_.end()) {
            services_.emplace(std::piecewise_construct, std::forward_as_tuple(name),
                              std::forward_as_tuple(name, service, now(), configured_));
        }
        else {
            found->second.configure(service, now());
        }
    }
    for (auto& [name, service] : services_) {
        if (!config.services_.contains(name)) {
            service.unlist_all();
            service.drop_finished_upstreams();
        }
    }
    for (auto& [unused, service] : services_) {
        service.set_evacuated(config.evacuated_, now());
    }
    configured_ = true;
    configuration_revision_ = config.revision_;
    ++warm_up_notices_;
    std::size_t upstream_count = 0;
    for (const auto& [unused, service] : config.services_) {
        upstream_count += service.upstreams_.size();
    }
    reachability_.set_upstream_count(upstream_count);
    suspects_.set_strikes_to_quarantine(static_cast<std::size_t>(config.fleet_.strikes_to_quarantine_));
    set_fleet_position(position_);
    reject_unauthorised_calls();
    for (auto& [unused, service] : services_) {
        start_waiting_calls(service);
    }
    std::erase_if(services_, [&](const auto& entry) {
        return !config.services_.contains(entry.first) && entry.second.upstreams().empty();
    });
}

bool call_engine::authorised(const call_state& state) const
{
    return ports_.organisations_ == nullptr || ports_.organisations_->permits(state.call_);
}

void call_engine::reject_unauthorised_calls()
{
    std::vector<call_id> unauthorised;
    for (const auto& [id, state] : calls_) {
        const bool has_attempt = state.phase_ == phase::running || state.phase_ == phase::relaying;
        if (!has_attempt && !authorised(state)) {
            unauthorised.push_back(id);
        }
    }
    for (const auto id : unauthorised) {
        auto* state = find_call(id);
        if (auto* service = find_service(state->call_.service_)) {
            service->queue_.remove(id);
        }
        reject(*state, problem_kind::unauthorised, "the key was withdrawn");
    }
}

void call_engine::on_call(const call& request)
{
    auto& state = calls_[request.id_];
    state.call_ = request;
    auto* service = find_service(request.service_);
    if (service == nullptr) {
        reject(state, problem_kind::unknown_service, "no service answers to this host");
        return;
    }
    // The node that forwarded a call has counted it already.
    if (!request.forwarded_by_peer_) {
        service->retry_budget_.add_call(now());
        if (&service->hedge_budget() != &service->retry_budget_) {
            service->hedge_budget().add_call(now());
        }
    }
    if (service->schedules_by_cost()) {
        service->admission_.on_arrival(as_waiting(state, *service), now());
    }
    if (request.forwarded_by_peer_ && reachability_.cut_off(now())) {
        reject(state, problem_kind::upstream_unreachable, "this node cannot reach the upstreams either");
        return;
    }
    if (suspects_.quarantined(request.fingerprint_, now())) {
        reject(state, problem_kind::quarantined, "this request broke the upstreams that ran it");
        return;
    }
    if (!service->has_eligible_upstream({})) {
        reject(state, problem_kind::no_upstream, "no upstream of the service receives calls");
        return;
    }
    if (needs_token(state) && !reachability_.cannot_connect(now())) {
        ask_for_token(state);
        return;
    }
    claim_or_start(state);
}

void call_engine::claim_or_start(call_state& state)
{
    const auto& request = state.call_;
    const bool needs_claim = !request.repeatable_ && !request.idempotency_key_.empty() && !state.claimed_;
    if (!needs_claim) {
        start_or_wait(state);
        return;
    }
    state.phase_ = phase::claiming;
    schedule_wakeup(state);
    ports_.claims_.claim(request.id_, request.service_, request.idempotency_key_);
}

void call_engine::on_claim_decided(call_id call, claim_decision decision)
{
    auto* state = find_call(call);
    if (state == nullptr || state->phase_ != phase::claiming) {
        return;
    }
    switch (decision) {
    case claim_decision::granted:
        state->claimed_ = true;
        start_or_wait(*state);
        return;
    case claim_decision::duplicate:
        state->verdict_ = verdict::may_have_run;
        reject(*state, problem_kind::duplicate_request, "a request with this key was accepted before");
        return;
    case claim_decision::key_expired:
        state->verdict_ = verdict::may_have_run;
        reject(*state, problem_kind::key_expired, "the key is older than claims are kept");
        return;
    case claim_decision::store_unusable:
        reject(*state, problem_kind::claims_unavailable,
               "the claim could not be stored; send the request again");
        return;
    }
}

bool call_engine::try_start(call_state& state, connection_need need)
{
    auto* service = find_service(state.call_.service_);
    if (service == nullptr || !authorised(state)) {
        return false;
    }
    if ((reachability_.cannot_connect(now()) || service->reaches_none(now())) && start_at_peer(state)) {
        return true;
    }
    if (needs_token(state)) {
        return false;
    }
    if (ask_dispatcher(state, *service, need)) {
        return true;
    }
    auto* upstream = service->choose(state.call_, state.tried_, ports_.random_, now());
    if (service->reason_to_hold(state.call_, upstream, now())) {
        return false;
    }
    const auto permit = upstream->gate().take(send_purpose::call, now());
    if (!permit) {
        return false;
    }
    start_attempt(state, *service, *upstream, need, *permit);
    return true;
}

void call_engine::start_attempt(call_state& state, service_state& service, upstream_tracker& upstream,
                                connection_need need, const send_permit& permit, std::optional<slot_id> slot)
{
    const attempt_id attempt{next_attempt_++};
    const bool first = state.attempts_made_ == 0;
    report_decision(first ? decision_kind::started : decision_kind::extra_attempt, state, &upstream, "");
    attempts_[attempt] = {state.call_.id_,
                          service.name(),
                          upstream.name(),
                          now(),
                          false,
                          upstream.cumulative_work(now()),
                          1 + static_cast<int>(std::lround(upstream.occupancy(now()))),
                          "",
                          0,
                          slot,
                          {slot_outcome::cancelled, std::nullopt}};
    if (first && service.schedules_by_cost()) {
        service.admission_.on_started(as_waiting(state, service), now());
    }
    upstream.on_started();
    upstream.on_attempt(now());
    state.phase_ = phase::running;
    state.active_.push_back(attempt);
    state.tried_.insert(upstream.name());
    ++state.attempts_made_;
    if (state.call_.repeatable_ && state.active_.size() == 1) {
        plan_hedge(state, service, upstream);
    }
    schedule_wakeup(state);
    if (on_in_flight_changed_) {
        on_in_flight_changed_(service.name(), upstream.name());
    }
    const bool needs_recent_connection = !state.call_.repeatable_ && need == connection_need::any;
    ports_.upstreams_.start({permit, attempt, state.call_.id_, service.name(), upstream.name(),
                             upstream.config().ip_, upstream.config().port_,
                             needs_recent_connection ? connection_need::recently_used : need,
                             service.connection_limit(), state.call_.deadline_ - now()});
}

/// Updates the tracker of an attempt's upstream, and the service's estimates, from the head of its response.
void call_engine::record_outcome(const attempt_state& answered, const call_state& state,
                                 const response_head& head)
{
    auto* service = find_service(answered.service_);
    auto* upstream = service == nullptr ? nullptr : service->find(answered.upstream_);
    if (upstream == nullptr) {
        return;
    }
    if (head.misdirected_) {
        // The rest of the response is the word of the instance that has the address now.
        upstream->gate().mark_leaving(leaving_source::upstream_itself, now());
        upstream->on_shed(now());
        return;
    }
    apply_self_report(*service, *upstream, head.self_, head.status_ < 500, answered.started_);
    const auto latency = now() - answered.started_;
    if (head.not_run_) {
        upstream->on_shed(now());
    }
    else if (head.status_ >= 500) {
        upstream->on_failure(std::max(latency, service->failure_penalty()), now());
    }
    else {
        upstream->on_response(latency, head, now());
        service->latencies_.add(latency);
        service->learn_work(state.call_, *upstream, answered.running_at_start_,
                            upstream->cumulative_work(now()) - answered.cumulative_work_at_start_);
    }
    if (head.self_.load_) {
        service->on_load(*upstream, *head.self_.load_, now());
        ports_.observer_.on_load_reported(answered.service_, answered.upstream_, *head.self_.load_);
    }
}

void call_engine::on_response_started(attempt_id attempt, const response_head& head)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    found->second.answered_ = true;
    const attempt_state answered = found->second;
    auto& state = calls_.at(answered.call_);
    if (answered.peer_.empty()) {
        reachability_.on_response(head.on_new_connection_);
    }
    else if (head.not_run_ && head.status_ == status_of(problem_kind::quota_exceeded)) {
        // No other node has a token for the call, either.
        relay_response(state, attempt, head);
        state.relayed_->verdict_ = verdict::not_run;
        return;
    }
    else if (head.not_run_) {
        on_refused_by_peer(state, attempt);
        return;
    }
    record_outcome(answered, state, head);
    found->second.end_ = {head.not_run_                   ? slot_outcome::shed
                          : is_server_error(head.status_) ? slot_outcome::failed
                                                          : slot_outcome::served,
                          head.self_.load_};
    if (!head.not_run_) {
        suspects_.clear(state.call_.fingerprint_);
    }
    const bool failed = head.not_run_ || is_server_error(head.status_);
    if (!failed) {
        relay_response(state, attempt, head);
        return;
    }
    if (!head.not_run_) {
        state.verdict_ = combine_verdicts(state.verdict_, verdict::may_have_run);
    }
    auto* service = find_service(answered.service_);
    if (state.active_.size() > 1) {
        drop_attempt(attempt);
        return;
    }
    const bool may_run_again = state.verdict_ == verdict::not_run || state.call_.repeatable_;
    if (may_run_again && service != nullptr && retry_elsewhere(state, *service, attempt)) {
        return;
    }
    if (!head.not_run_) {
        relay_response(state, attempt, head);
        return;
    }
    // The last upstream's refusal covers only its own attempt. The verdict covers earlier ones too, so the
    // caller gets this node's rejection in place of the upstream's response.
    drop_attempt(attempt);
    const bool nothing_ran = state.verdict_ == verdict::not_run;
    reject(state, nothing_ran ? problem_kind::overloaded : problem_kind::upstream_broken,
           "every upstream that was tried refused the request");
}

/// Cancels an attempt whose response is not passed on to the caller.
void call_engine::drop_attempt(attempt_id attempt)
{
    ports_.upstreams_.cancel(attempt);
    end_attempt(attempt);
}

void call_engine::on_attempt_ended(attempt_id attempt, attempt_outcome outcome)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    const attempt_state ended = found->second;
    auto& state = calls_.at(ended.call_);
    auto* service = find_service(ended.service_);
    auto* upstream = service == nullptr ? nullptr : service->find(ended.upstream_);
    const bool at_peer = !ended.peer_.empty();
    if (!at_peer && (outcome == attempt_outcome::not_sent || outcome == attempt_outcome::broken)) {
        reachability_.on_failure(ended.upstream_, now());
    }
    if (upstream != nullptr && outcome != attempt_outcome::complete) {
        upstream->on_failure(std::max(now() - ended.started_, service->failure_penalty()), now());
    }
    if ((upstream != nullptr || at_peer) && outcome != attempt_outcome::complete) {
        const std::string at = at_peer ? " at node " + ended.peer_ : "";
        report_decision(decision_kind::attempt_failed, state, upstream, std::string(name_of(outcome)) + at);
    }
    if (outcome == attempt_outcome::not_sent) {
        state.attempts_made_ = at_peer ? ended.attempts_before_ : state.attempts_made_ - 1;
        ++state.unsent_attempts_;
        if (upstream != nullptr) {
            upstream->on_connection_failed(now());
        }
        if (at_peer && on_peer_unreached_) {
            on_peer_unreached_(ended.peer_);
        }
    }
    if (outcome == attempt_outcome::broken) {
        if (!at_peer) {
            record_strike(ended, state);
        }
        state.verdict_ = combine_verdicts(state.verdict_, verdict::may_have_run);
    }
    if (outcome != attempt_outcome::complete) {
        found->second.end_.outcome_ =
            outcome == attempt_outcome::not_sent ? slot_outcome::not_sent : slot_outcome::failed;
    }
    end_attempt(attempt);
    switch (outcome) {
    case attempt_outcome::complete:
    case attempt_outcome::broken_answer:
    case attempt_outcome::stalled_answer: finish_relayed(state, outcome); return;
    case attempt_outcome::not_sent:
        retry_or_reject(state, problem_kind::upstream_unreachable,
                        "no connection to an upstream could be made");
        return;
    case attempt_outcome::broken:
        retry_or_reject(state, problem_kind::upstream_broken,
                        "the upstream's connection failed before its answer");
        return;
    }
}

void call_engine::record_strike(const attempt_state& attempt, const call_state& state)
{
    if (suspects_.add_strike(state.call_.fingerprint_, attempt.upstream_, now()) && on_strike_) {
        on_strike_(state.call_.fingerprint_, attempt.upstream_);
    }
}

void call_engine::end_attempt(attempt_id attempt)
{
    const auto found = attempts_.find(attempt);
    const attempt_state ended = found->second;
    attempts_.erase(found);
    std::erase(calls_.at(ended.call_).active_, attempt);
    if (ended.slot_ && dispatch_ != nullptr) {
        dispatch_->release(*ended.slot_, ended.end_);
    }
    auto* service = find_service(ended.service_);
    if (service == nullptr) {
        return;
    }
    if (auto* upstream = service->find(ended.upstream_)) {
        upstream->on_ended();
        if (on_in_flight_changed_) {
            on_in_flight_changed_(ended.service_, ended.upstream_);
        }
    }
    service->drop_finished_upstreams();
    start_waiting_calls(*service);
}

void call_engine::on_caller_gone(call_id call)
{
    auto* state = find_call(call);
    if (state == nullptr) {
        return;
    }
    ports_.observer_.on_call_finished(state->relayed_.value_or(record_of(*state)));
    const bool never_sent = state->attempts_made_ == 0;
    if (auto* service = find_service(state->call_.service_)) {
        service->queue_.remove(call);
    }
    wakeups_.erase({state->wake_at_, call});
    withdraw_slot_request(*state);
    cancel_attempts(*state, std::nullopt);
    if (never_sent) {
        return_token(*state);
        ports_.claims_.release(call);
    }
    else {
        ports_.claims_.keep(call);
    }
    calls_.erase(call);
}

void call_engine::cancel_attempts(call_state& state, std::optional<attempt_id> except)
{
    const auto active = state.active_;
    for (const auto attempt : active) {
        if (attempt == except) {
            continue;
        }
        ports_.upstreams_.cancel(attempt);
        end_attempt(attempt);
    }
}

} // namespace anvilpost
