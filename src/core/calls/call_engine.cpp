// Event handlers of the call path. Each handler leaves the engine consistent before it calls a port,
// because a port may report back from inside the call.
#include "core/calls/call_engine.h"

#include <algorithm>

namespace anvilpost {
namespace {

constexpr int max_attempts = 3;
constexpr std::chrono::seconds shortest_retry_after{1};

bool worth_another_upstream(int status)
{
    return status == 502 || status == 503 || status == 504;
}

std::chrono::seconds retry_after(duration expected_wait)
{
    return std::max(shortest_retry_after, std::chrono::ceil<std::chrono::seconds>(expected_wait));
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
                              std::forward_as_tuple(name, service, now()));
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
    set_nodes(nodes_);
    for (auto& [unused, service] : services_) {
        serve_waiting(service);
    }
    std::erase_if(services_, [&](const auto& entry) {
        return !config.services_.contains(entry.first) && entry.second.upstreams().empty();
    });
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
    service->retries_.credit(service->config().policy_.retry_share_);
    service->hedges_.credit(service->config().policy_.hedge_share_);
    if (suspects_.quarantined(request.fingerprint_, now())) {
        reject(state, problem_kind::quarantined, "this request broke two upstreams that ran it");
        return;
    }
    if (!service->has_receiver({})) {
        reject(state, problem_kind::no_upstream, "no upstream of the service receives calls");
        return;
    }
    const bool needs_claim = !request.repeatable_ && !request.idempotency_key_.empty();
    if (!needs_claim) {
        enqueue(state);
        return;
    }
    state.phase_ = phase::claiming;
    schedule(state);
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
        enqueue(*state);
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
    if (service == nullptr) {
        return false;
    }
    auto* upstream = service->choose(state.tried_, ports_.random_, now());
    if (upstream == nullptr) {
        return false;
    }
    start_attempt(state, *service, *upstream, need);
    return true;
}

void call_engine::start_attempt(call_state& state, service_state& service, upstream_tracker& upstream,
                                connection_need need)
{
    const attempt_id attempt{next_attempt_++};
    attempts_[attempt] = {state.call_.id_, service.name(), upstream.name(), now(), false};
    upstream.on_started();
    state.phase_ = phase::running;
    state.active_.push_back(attempt);
    state.tried_.insert(upstream.name());
    ++state.attempts_made_;
    const bool first = state.attempts_made_ == 1;
    if (first && state.call_.repeatable_ && service.latencies_.full_enough()) {
        state.hedge_at_ = now() + service.latencies_.p95();
    }
    schedule(state);
    const bool must_be_proved = !state.call_.repeatable_ && need == connection_need::any;
    ports_.upstreams_.start({attempt, state.call_.id_, service.name(), upstream.name(), upstream.config().ip_,
                             upstream.config().port_,
                             must_be_proved ? connection_need::recently_proved : need,
                             service.connection_limit(), state.call_.deadline_ - now()});
}

void call_engine::on_answer_started(attempt_id attempt, const answer_head& head)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    auto& tried = found->second;
    tried.answered_ = true;
    auto& state = calls_.at(tried.call_);
    auto* service = find_service(tried.service_);
    auto* upstream = service == nullptr ? nullptr : service->find(tried.upstream_);
    const auto latency = now() - tried.started_;
    if (upstream != nullptr) {
        if (head.upstream_is_leaving_ && !upstream->leaving()) {
            upstream->mark_leaving(leaving_source::upstream_itself);
            if (on_leaving_) {
                on_leaving_(tried.service_, tried.upstream_);
            }
        }
        if (head.status_ >= 500) {
            upstream->on_failure(std::max(latency, service->failure_penalty()), now());
        }
        else {
            upstream->on_answer(latency, head, now());
            service->latencies_.add(latency);
        }
    }
    suspects_.clear(state.call_.fingerprint_);
    const bool could_retry = worth_another_upstream(head.status_) && state.call_.repeatable_ &&
                             state.attempts_made_ < max_attempts && service != nullptr;
    if (could_retry && state.active_.size() > 1) {
        state.verdict_ = weaken(state.verdict_, verdict::may_have_run);
        ports_.upstreams_.cancel(attempt);
        end_attempt(attempt);
        return;
    }
    if (could_retry && service->choose(state.tried_, ports_.random_, now()) != nullptr &&
        service->retries_.take()) {
        state.verdict_ = weaken(state.verdict_, verdict::may_have_run);
        ports_.upstreams_.cancel(attempt);
        end_attempt(attempt);
        try_start(state, connection_need::any);
        return;
    }
    state.verdict_ = verdict::ran;
    state.phase_ = phase::relaying;
    state.hedge_at_.reset();
    cancel_attempts(state, attempt);
    schedule(state);
    auto record = record_of(state);
    record.status_ = head.status_;
    record.upstream_ = tried.upstream_;
    record.data_centre_ = upstream == nullptr ? "" : upstream->config().data_centre_;
    state.relayed_ = record;
    ports_.callers_.relay(state.call_.id_, attempt);
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
    if (upstream != nullptr && outcome != attempt_outcome::complete) {
        upstream->on_failure(std::max(now() - ended.started_, service->failure_penalty()), now());
    }
    if (outcome == attempt_outcome::broken) {
        record_strike(ended, state);
        state.verdict_ = weaken(state.verdict_, verdict::may_have_run);
    }
    const call_id call = ended.call_;
    end_attempt(attempt);
    switch (outcome) {
    case attempt_outcome::complete:
    case attempt_outcome::broken_answer:
        if (state.relayed_) {
            auto record = *state.relayed_;
            if (outcome == attempt_outcome::broken_answer) {
                record.status_ = status_of(problem_kind::upstream_broken);
                record.problem_ = problem_kind::upstream_broken;
            }
            ports_.observer_.on_call_finished(record);
        }
        if (outcome == attempt_outcome::broken_answer) {
            ports_.callers_.abort(call);
        }
        ports_.claims_.keep(call);
        wakeups_.erase({state.wake_at_, call});
        calls_.erase(call);
        return;
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

void call_engine::retry_or_reject(call_state& state, problem_kind kind, std::string detail)
{
    if (!state.active_.empty()) {
        return;
    }
    auto* service = find_service(state.call_.service_);
    const bool nothing_ran = state.verdict_ == verdict::not_run;
    const bool allowed = (nothing_ran || state.call_.repeatable_) && state.attempts_made_ < max_attempts &&
                         service != nullptr && service->has_receiver(state.tried_) &&
                         !suspects_.quarantined(state.call_.fingerprint_, now()) &&
                         now() < state.call_.deadline_;
    if (!allowed || (!nothing_ran && !service->retries_.take())) {
        reject(state, kind, std::move(detail));
        return;
    }
    if (!try_start(state, connection_need::fresh)) {
        wait_for_upstream(state, *service);
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
    auto* service = find_service(ended.service_);
    if (service == nullptr) {
        return;
    }
    if (auto* upstream = service->find(ended.upstream_)) {
        upstream->on_ended();
    }
    service->drop_finished_upstreams();
    serve_waiting(*service);
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
        std::erase(service->waiting_, call);
    }
    wakeups_.erase({state->wake_at_, call});
    cancel_attempts(*state, std::nullopt);
    if (never_sent) {
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

void call_engine::reject(call_state& state, problem_kind kind, std::string detail)
{
    const call_id call = state.call_.id_;
    auto* service = find_service(state.call_.service_);
    problem why{kind, state.verdict_, std::move(detail), std::nullopt};
    const int status = status_of(kind);
    if (status == 503 || status == 504) {
        why.retry_after_ = retry_after(service == nullptr ? duration{} : service->expected_queue_wait());
    }
    auto record = record_of(state);
    record.status_ = status;
    record.problem_ = kind;
    const bool claim_is_useless = state.verdict_ == verdict::not_run;
    wakeups_.erase({state.wake_at_, call});
    calls_.erase(call);
    if (claim_is_useless) {
        ports_.claims_.release(call);
    }
    else {
        ports_.claims_.keep(call);
    }
    ports_.observer_.on_call_finished(record);
    ports_.callers_.reject(call, why);
}

call_record call_engine::record_of(const call_state& state) const
{
    call_record record;
    record.service_ = state.call_.service_;
    record.verdict_ = state.verdict_;
    record.latency_ = now() - state.call_.arrival_;
    record.attempts_ = state.attempts_made_;
    return record;
}

void call_engine::on_upstream_leaving(const std::string& service, const std::string& upstream,
                                      leaving_source source)
{
    auto* state = find_service(service);
    if (state == nullptr) {
        return;
    }
    if (auto* tracker = state->find(upstream)) {
        tracker->mark_leaving(source);
    }
    serve_waiting(*state);
}

void call_engine::on_probe_finding(const std::string& service, const std::string& upstream, bool healthy)
{
    auto* state = find_service(service);
    auto* tracker = state == nullptr ? nullptr : state->find(upstream);
    if (tracker == nullptr) {
        return;
    }
    if (healthy) {
        tracker->on_success(now());
    }
    else {
        tracker->on_failure(state->failure_penalty(), now());
    }
    serve_waiting(*state);
}

void call_engine::set_nodes(std::size_t nodes)
{
    nodes_ = nodes;
    for (auto& [unused, service] : services_) {
        service.set_nodes(nodes);
    }
}

void call_engine::set_owned_slots(const std::string& service, const std::map<std::string, int>& owned)
{
    auto* state = find_service(service);
    if (state == nullptr) {
        return;
    }
    for (const auto& [name, upstream] : state->upstreams()) {
        const auto found = owned.find(name);
        upstream->set_owned_slots(found == owned.end() ? 0 : found->second);
    }
}

void call_engine::on_peer_strike(std::uint64_t fingerprint, const std::string& upstream)
{
    suspects_.add_strike(fingerprint, upstream, now());
}

} // namespace anvilpost
