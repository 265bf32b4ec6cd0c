// The call engine's reports to the observer about its decisions, and its handlers for what probes and other
// nodes report about upstreams: health, load, outcomes, leaving, and requests that break upstreams.
#include "core/calls/call_engine.h"

namespace anvilpost {
namespace {

/// Number of nodes from which on upstreams with an idle connection are preferred. In smaller fleets most
/// connections are used again anyway, and the choice among equals is better left to chance: preferring cost
/// 0.03 of the worth of heavy days at 13 and 18 nodes.
constexpr std::size_t min_nodes_to_prefer_connections = 30;

} // namespace

void call_engine::report_decision(decision_kind kind, const call_state& state,
                                  const upstream_tracker* upstream, std::string reason)
{
    call_decision decision;
    decision.kind_ = kind;
    decision.call_ = &state.call_;
    decision.reason_ = std::move(reason);
    decision.attempts_ = state.attempts_made_;
    if (const auto* service = find_service(state.call_.service_)) {
        decision.waiting_ = service->queue_.size();
        if (kind == decision_kind::rejected || kind == decision_kind::waits) {
            decision.restricted_ = service->restricted(now());
        }
        if (upstream != nullptr) {
            decision.expected_finish_ = expected_finish(*upstream, service->context_for(state.call_, now()));
            decision.slowdown_ = upstream->slowdown(now(), service->typical_slowdown());
        }
    }
    if (upstream != nullptr) {
        decision.upstream_ = upstream->name();
        decision.occupancy_ = upstream->occupancy(now());
        if (const auto measured_at = upstream->report_time()) {
            decision.report_age_ = now() - *measured_at;
        }
    }
    ports_.observer_.on_decision(decision);
}

call_record call_engine::record_of(const call_state& state) const
{
    call_record record;
    record.request_id_ = state.call_.request_id_;
    record.route_ = state.call_.route_;
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
        tracker->gate().mark_leaving(source, now());
    }
    start_waiting_calls(*state);
}

void call_engine::on_probe_result(const std::string& service, const std::string& upstream, bool healthy)
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
    start_waiting_calls(*state);
}

void call_engine::set_fleet_position(const fleet_position& position)
{
    position_ = position;
    for (auto& [unused, service] : services_) {
        service.set_fleet_position(position);
        service.set_connections(position.nodes_ >= min_nodes_to_prefer_connections ? &ports_.upstreams_
                                                                                   : nullptr);
    }
}

upstream_tracker* call_engine::find_upstream(const std::string& service, const std::string& upstream)
{
    auto* state = find_service(service);
    return state == nullptr ? nullptr : state->find(upstream);
}

void call_engine::on_load(const std::string& service, const std::string& upstream, const load_report& report,
                          time_point measured_at)
{
    if (auto* tracker = find_upstream(service, upstream)) {
        find_service(service)->on_load(*tracker, report, measured_at);
    }
    if (dispatch_ != nullptr) {
        dispatch_->on_load(service, upstream, report, measured_at);
    }
}

void call_engine::on_probe(const std::string& service, const std::string& upstream, bool answered,
                           bool healthy, time_point measured_at)
{
    if (auto* tracker = find_upstream(service, upstream)) {
        tracker->on_probe(answered, healthy, measured_at);
    }
    if (dispatch_ != nullptr) {
        dispatch_->on_probe(service, upstream, answered, healthy, measured_at);
    }
}

void call_engine::on_peer_load(const std::string& service, const std::string& upstream, std::uint64_t peer,
                               int in_flight)
{
    if (auto* tracker = find_upstream(service, upstream)) {
        tracker->set_peer_in_flight(peer, in_flight, now());
    }
}

void call_engine::on_peer_outcomes(const std::string& service, const std::string& upstream, int served,
                                   int failed)
{
    if (auto* tracker = find_upstream(service, upstream)) {
        tracker->on_peer_outcomes(served, failed, now());
    }
}

void call_engine::apply_self_report(const service_state& service, upstream_tracker& upstream,
                                    const self_report& report, bool served, time_point sent_at)
{
    const auto learnt_at = upstream.gate().limit().latest().learnt_at_;
    const auto changed = upstream.gate().on_report(report, served, sent_at, now());
    rate_limit_notices_ += upstream.gate().limit().latest().learnt_at_ != learnt_at ? 1 : 0;
    if (changed.leaving_ && on_leaving_) {
        on_leaving_(service.name(), upstream.name());
    }
    if (report.warm_up_left_ && *report.warm_up_left_ > duration{} &&
        upstream.gate().warm_up().active(now())) {
        warm_up_notices_ += changed.warm_up_ ? 1 : 0;
        if (on_warm_up_) {
            on_warm_up_(service.name(), upstream.name(), *report.warm_up_left_, changed.warm_up_);
        }
    }
    if (changed.warm_up_) {
        ports_.observer_.on_warm_up(service.name(), upstream.name(), *report.warm_up_left_);
    }
    if (changed.paused_) {
        ports_.observer_.on_pause_asked(service.name(), upstream.name(), *report.retry_after_);
    }
    if (changed.rate_limit_) {
        ports_.observer_.on_rate_limit_changed(service.name(), upstream.name(),
                                               upstream.gate().limit().latest().per_second_);
    }
}

void call_engine::on_probe_report(const std::string& service, const std::string& upstream,
                                  const self_report& report)
{
    if (auto* tracker = find_upstream(service, upstream)) {
        apply_self_report(*find_service(service), *tracker, report, false, now());
    }
}

void call_engine::on_peer_rate_limit(const std::string& service, const std::string& upstream,
                                     const rate_limit_notice& notice)
{
    if (auto* tracker = find_upstream(service, upstream)) {
        const auto learnt_at = tracker->gate().limit().latest().learnt_at_;
        tracker->gate().on_peer_limit(notice, now());
        rate_limit_notices_ += tracker->gate().limit().latest().learnt_at_ != learnt_at ? 1 : 0;
    }
}

void call_engine::on_peer_warm_up(const std::string& service, const std::string& upstream, duration left)
{
    auto* tracker = find_upstream(service, upstream);
    if (tracker != nullptr && tracker->gate().warm_up().per_second() > 0) {
        warm_up_notices_ += tracker->gate().extend_warm_up(left, now()) ? 1 : 0;
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
