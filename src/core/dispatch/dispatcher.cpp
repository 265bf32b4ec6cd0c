// Grants, queues and refuses slot requests, and ends grants by release or lease.
#include "core/dispatch/dispatcher.h"

#include "core/fleet/peer_messages.h"

#include <algorithm>
#include <cmath>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Lease of a grant: a multiple of the call's expected time at the granted upstream, plus a fixed part for
/// delays of datagrams and of the holder's event loop.
constexpr double lease_factor = 1.5;
constexpr duration lease_margin = 100ms;

/// Lease after a renewal. Holders renew several times within it.
constexpr duration renewed_lease = 300ms;

/// Period at which expired grants and overdue waiting requests are looked for.
constexpr duration expiry_check_period = 20ms;
constexpr duration queue_check_period = 10ms;

/// Period at which the upstreams that get no grants are determined anew. The holder's own gate decides; this
/// only avoids grants that it would decline.
constexpr duration withheld_check_period = 20ms;

/// A waiting request that its node has not repeated for this long is dropped: the node has turned to another
/// dispatcher, or is gone. After this node was frozen, that holds for all.
constexpr duration waiting_timeout = 200ms;

/// Requests that wait in all pools together; further ones are refused.
constexpr std::size_t max_waiting = 1'000;

/// Waiting requests that are tried in vain, one after the other, before the rest is left for the next event.
constexpr int max_failed_tries = 6;

/// A waiting request is refused once the time to its deadline is less than its expected work divided by this.
constexpr int min_time_left_divisor = 2;

} // namespace

dispatcher::dispatcher(const clock_port& clock, random_port& random, dispatch_outbox& outbox)
    : clock_(clock), random_(random), outbox_(outbox)
{
}

void dispatcher::on_configuration(const configuration& effective)
{
    config_ = effective;
    services_.clear();
    upstreams_.clear();
    for (const auto& [service, config] : config_.services_) {
        services_[service_key(service)] = service;
        for (const auto& [upstream, unused] : config.upstreams_) {
            upstreams_[upstream_key(service, upstream)] = {service, upstream};
        }
    }
    for (auto& [service, known] : pools_) {
        const auto found = config_.services_.find(service);
        if (found != config_.services_.end()) {
            known.state_.configure(found->second, clock_.now());
        }
        else {
            known.state_.unlist_all();
        }
        known.next_check_ = {};
    }
}

dispatcher::pool* dispatcher::find_pool(const std::string& service)
{
    const auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : &found->second;
}

dispatcher::pool* dispatcher::find_pool(std::uint32_t service)
{
    const auto name = services_.find(service);
    if (name == services_.end()) {
        return nullptr;
    }
    if (auto* known = find_pool(name->second)) {
        return known;
    }
    const auto now = clock_.now();
    const auto& config = config_.services_.at(name->second);
    auto& added =
        pools_.emplace(name->second, pool{service_state(name->second, config, now), {}, {}}).first->second;
    const auto* known = initial_loads_ ? initial_loads_(name->second) : nullptr;
    if (known == nullptr) {
        return &added;
    }
    for (const auto& [upstream, tracker] : known->upstreams()) {
        auto* copy = added.state_.find(upstream);
        if (const auto measured_at = tracker->report_time(); copy != nullptr && measured_at) {
            added.state_.on_load(*copy,
                                 {tracker->occupancy(now), tracker->slots(config.policy_.slots_),
                                  tracker->slowdown(now, known->typical_slowdown())},
                                 *measured_at);
        }
    }
    return &added;
}

void dispatcher::on_message(const dispatch_message& message, const std::string& data_centre)
{
    // Renewals come first: a node that turns to this dispatcher reports what it holds with its first request.
    for (const auto& renewal : message.renewals_) {
        on_renewal(renewal, message.sender_);
    }
    for (const auto& release : message.releases_) {
        on_release(release, message.sender_);
    }
    for (const auto& request : message.requests_) {
        on_request(request, message.sender_, data_centre);
    }
    if (!message.releases_.empty()) {
        for (auto& [unused, served] : pools_) {
            serve_queue(served);
        }
    }
}

void dispatcher::on_request(const slot_request& request, const std::string& node,
                            const std::string& data_centre)
{
    ++counters_.requests_;
    const auto now = clock_.now();
    const request_key key{node, request.number_};
    auto* from = stopped_ ? nullptr : find_pool(request.service_);
    if (from == nullptr) {
        answer(key, slot_answer_kind::not_dispatcher, 0, {});
        return;
    }
    if (const auto granted = grants_.find(key); granted != grants_.end()) {
        const auto& at = granted->second.at_;
        answer(key, slot_answer_kind::granted, upstream_key(at.service_, at.upstream_),
               granted->second.expires_at_ - now);
        return;
    }
    if (const auto waiting = waiting_by_key_.find(key); waiting != waiting_by_key_.end()) {
        waiting_.at(waiting->second).last_asked_ = now;
        answer(key, slot_answer_kind::queued, 0, from->state_.expected_queue_wait());
        return;
    }
    waiting_request asked{key, {}, request.kind_, {}, data_centre, now};
    auto& wanted = asked.call_;
    wanted.id_ = call_id{next_call_++};
    wanted.service_ = from->state_.name();
    wanted.route_ = std::to_string(request.route_);
    wanted.repeatable_ = request.repeatable_;
    wanted.priority_ = request.priority_;
    wanted.is_resend_ = request.is_resend_;
    wanted.arrival_ = now;
    wanted.objective_ = now + request.objective_left_;
    wanted.deadline_ = now + request.deadline_left_;
    for (const auto tried : request.tried_) {
        if (const auto found = upstreams_.find(tried); found != upstreams_.end()) {
            asked.tried_.insert(found->second.upstream_);
        }
    }
    from->state_.expect_work(wanted.route_, request.work_);
    const bool first_attempt = request.tried_.empty();
    if (from->state_.schedules_by_cost() && first_attempt) {
        from->state_.admission_.on_arrival(as_waiting(*from, wanted, asked.kind_), now);
    }
    if (try_grant(*from, asked)) {
        return;
    }
    if (!from->state_.has_eligible_upstream(asked.tried_) || !may_wait(*from, asked)) {
        refuse(*from, asked, from->state_.expected_queue_wait());
        return;
    }
    const auto waiting = as_waiting(*from, wanted, asked.kind_);
    asked.counted_as_late_ = now + waiting.work_ > waiting.objective_;
    from->state_.queue_.add(waiting);
    waiting_by_key_[key] = wanted.id_;
    answer(key, slot_answer_kind::queued, 0, from->state_.expected_queue_wait());
    waiting_.emplace(asked.call_.id_, std::move(asked));
}

void dispatcher::check_withheld(pool& checked)
{
    const auto now = clock_.now();
    if (!may_grant_ || now < checked.next_check_) {
        return;
    }
    checked.next_check_ = now + withheld_check_period;
    checked.withheld_.clear();
    for (const auto& [name, unused] : checked.state_.upstreams()) {
        if (!may_grant_(checked.state_.name(), name)) {
            checked.withheld_.insert(name);
        }
    }
}

/// Grants the slot that the service chooses now. Returns false, changing nothing, when no upstream has room,
/// or the request should wait instead or leave the slot to others.
bool dispatcher::try_grant(pool& from, waiting_request& request)
{
    const auto now = clock_.now();
    auto& state = from.state_;
    check_withheld(from);
    auto left_out = from.withheld_;
    left_out.insert(request.tried_.begin(), request.tried_.end());
    state.set_fleet_position({1, request.data_centre_, 0});
    auto& connections = connections_.try_emplace(request.key_.first, clock_).first->second;
    state.set_connections(&connections);
    state.set_makes_all_calls(true);
    auto* upstream = state.choose(request.call_, left_out, random_, now);
    const auto expected =
        upstream == nullptr ? duration{} : expected_finish(*upstream, state.context_for(request.call_, now));
    if (const auto reason = state.reason_to_hold(request.call_, upstream, now)) {
        request.held_ = *reason;
        request.offered_finish_ = expected;
        return false;
    }
    const auto lease = std::chrono::duration_cast<duration>(expected * lease_factor) + lease_margin;
    if (state.schedules_by_cost()) {
        state.admission_.on_started(as_waiting(from, request.call_, request.kind_), now);
    }
    grants_[request.key_] = {{state.name(), upstream->name()},
                             request.call_,
                             request.kind_,
                             now,
                             now + lease,
                             upstream->cumulative_work(now),
                             1 + static_cast<int>(std::lround(upstream->occupancy(now)))};
    upstream->on_started();
    connections.on_granted(upstream->config().ip_, upstream->config().port_);
    ++counters_.granted_;
    answer(request.key_, slot_answer_kind::granted, upstream_key(state.name(), upstream->name()), lease);
    return true;
}

waiting_call dispatcher::as_waiting(const pool& in, const call& wanted, std::uint64_t kind)
{
    return {wanted.id_,
            wanted.priority_,
            wanted.objective_,
            wanted.deadline_,
            wanted.is_resend_,
            in.state_.expected_work(wanted),
            kind};
}

bool dispatcher::may_wait(pool& in, const waiting_request& request)
{
    if (waiting_.size() >= max_waiting) {
        return false;
    }
    if (!in.state_.schedules_by_cost()) {
        return in.state_.may_wait(as_waiting(in, request.call_, request.kind_), clock_.now());
    }
    const auto decision = schedule(in, &request);
    return std::none_of(decision.refused_.begin(), decision.refused_.end(),
                        [&](const refused_call& refused) { return refused.id_ == request.call_.id_; });
}

admission_decision dispatcher::schedule(pool& in, const waiting_request* arriving)
{
    const auto now = clock_.now();
    auto waiting = in.state_.queue_.calls();
    if (arriving != nullptr) {
        waiting.push_back(as_waiting(in, arriving->call_, arriving->kind_));
    }
    auto decision = in.state_.admission_.decide(waiting, in.state_.capacity(now), now);
    for (const auto& refused : decision.refused_) {
        if (const auto found = waiting_.find(refused.id_); found != waiting_.end()) {
            const auto request = found->second;
            remove_waiting(refused.id_);
            refuse(in, request, refused.expected_wait_);
        }
    }
    return decision;
}

std::vector<call_id> dispatcher::order_of_service(pool& in)
{
    return in.state_.schedules_by_cost() ? schedule(in, nullptr).order_
                                         : in.state_.queue_.in_order(clock_.now());
}

void dispatcher::answer(const request_key& key, slot_answer_kind kind, std::uint32_t upstream, duration time)
{
    outbox_.to(key.first).answers_.push_back({key.second, kind, upstream, time});
}

void dispatcher::refuse(pool& in, const waiting_request& request, duration expected_wait)
{
    ++counters_.refused_;
    answer(request.key_, slot_answer_kind::refused, 0, expected_wait);
    if (!on_refused_) {
        return;
    }
    const auto now = clock_.now();
    const auto& state = in.state_;
    int granted = 0;
    for (const auto& [unused, upstream] : state.upstreams()) {
        granted += upstream->in_flight();
    }
    on_refused_({state.name(), request.call_.priority_, state.expected_work(request.call_),
                 request.call_.objective_ - now, request.call_.deadline_ - now, request.held_,
                 request.offered_finish_, state.typical_slowdown(), state.slots_of_this_node(), granted,
                 state.queue_.size()});
}

void dispatcher::on_release(const slot_release& release, const std::string& node)
{
    const request_key key{node, release.number_};
    if (const auto waiting = waiting_by_key_.find(key); waiting != waiting_by_key_.end()) {
        remove_waiting(waiting->second);
    }
    end_grant(key, release);
}

/// Ends a grant and applies what the holder learnt at the upstream. Releases of unknown grants are ignored:
/// most are repetitions, whose load reports are out of date.
void dispatcher::end_grant(const request_key& key, const slot_release& release)
{
    const auto now = clock_.now();
    const auto found = grants_.find(key);
    if (found == grants_.end()) {
        return;
    }
    const auto ended = found->second;
    grants_.erase(found);
    auto* in = find_pool(ended.at_.service_);
    auto* upstream = in == nullptr ? nullptr : in->state_.find(ended.at_.upstream_);
    if (upstream == nullptr) {
        return;
    }
    // The upstream's report still counts the call that it answers.
    if (release.load_) {
        in->state_.on_load(*upstream, *release.load_, now);
    }
    const bool served = static_cast<slot_outcome>(release.outcome_) == slot_outcome::served;
    if (!served && ended.call_ && in->state_.schedules_by_cost()) {
        in->state_.admission_.on_not_served(as_waiting(*in, *ended.call_, ended.kind_), now);
    }
    switch (static_cast<slot_outcome>(release.outcome_)) {
    case slot_outcome::served: {
        connections_.try_emplace(key.first, clock_)
            .first->second.on_served(upstream->config().ip_, upstream->config().port_);
        const auto latency = now - ended.granted_at_;
        upstream->on_response(latency, {}, now);
        if (ended.call_) {
            in->state_.latencies_.add(latency);
            in->state_.learn_work(*ended.call_, *upstream, ended.running_at_start_,
                                  upstream->cumulative_work(now) - ended.cumulative_work_at_start_);
        }
        break;
    }
    case slot_outcome::shed: upstream->on_shed(now); break;
    case slot_outcome::not_sent: upstream->on_unreachable(now); [[fallthrough]];
    case slot_outcome::failed:
        upstream->on_failure(std::max(now - ended.granted_at_, in->state_.failure_penalty()), now);
        break;
    default: break;
    }
    upstream->on_ended();
    in->state_.drop_finished_upstreams();
}

void dispatcher::on_renewal(const slot_renewal& renewal, const std::string& node)
{
    const auto now = clock_.now();
    const request_key key{node, renewal.number_};
    if (const auto known = grants_.find(key); known != grants_.end()) {
        known->second.expires_at_ = std::max(known->second.expires_at_, now + renewed_lease);
        return;
    }
    const auto at = upstreams_.find(renewal.upstream_);
    auto* in = at == upstreams_.end() || stopped_ ? nullptr : find_pool(service_key(at->second.service_));
    auto* upstream = in == nullptr ? nullptr : in->state_.find(at->second.upstream_);
    if (upstream == nullptr) {
        return;
    }
    grants_[key] = {at->second, std::nullopt, 0, now, now + renewed_lease, {}, 1};
    upstream->on_started();
    ++counters_.took_over_;
}

void dispatcher::on_load(const std::string& service, const std::string& upstream, const load_report& report,
                         time_point measured_at)
{
    auto* in = find_pool(service);
    if (auto* tracker = in == nullptr ? nullptr : in->state_.find(upstream)) {
        in->state_.on_load(*tracker, report, measured_at);
    }
}

void dispatcher::on_probe(const std::string& service, const std::string& upstream, bool answered,
                          bool healthy, time_point measured_at)
{
    auto* in = find_pool(service);
    if (auto* tracker = in == nullptr ? nullptr : in->state_.find(upstream)) {
        tracker->on_probe(answered, healthy, measured_at);
    }
}

void dispatcher::stop()
{
    stopped_ = true;
    for (const auto& [unused, request] : waiting_) {
        answer(request.key_, slot_answer_kind::not_dispatcher, 0, {});
    }
    waiting_.clear();
    waiting_by_key_.clear();
    grants_.clear();
    connections_.clear();
    pools_.clear();
}

void dispatcher::remove_waiting(call_id id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return;
    }
    if (auto* in = find_pool(found->second.call_.service_)) {
        in->state_.queue_.remove(id);
    }
    waiting_by_key_.erase(found->second.key_);
    waiting_.erase(found);
}

/// Grants slots to waiting requests in the order of the queue.
void dispatcher::serve_queue(pool& served)
{
    auto& state = served.state_;
    if (state.queue_.empty()) {
        return;
    }
    const auto now = clock_.now();
    int failed = 0;
    for (const auto id : order_of_service(served)) {
        if (!state.has_any_room(now) || failed >= max_failed_tries) {
            return;
        }
        auto& request = waiting_.at(id);
        if (now - request.last_asked_ > waiting_timeout) {
            remove_waiting(id);
            continue;
        }
        if (try_grant(served, request)) {
            remove_waiting(id);
        }
        else {
            ++failed;
        }
    }
}

/// Drops requests that are no longer repeated, and refuses those that can no longer be served in time.
void dispatcher::give_up_waiting(pool& in)
{
    const auto now = clock_.now();
    for (const auto id : in.state_.queue_.in_order(now)) {
        auto& request = waiting_.at(id);
        const auto work = in.state_.expected_work(request.call_);
        if (now - request.last_asked_ > waiting_timeout) {
            remove_waiting(id);
            continue;
        }
        bool gives_up = now >= request.call_.deadline_ - work / min_time_left_divisor;
        if (!gives_up && !in.state_.schedules_by_cost() && !request.counted_as_late_ &&
            now + work > request.call_.objective_) {
            request.counted_as_late_ = true;
            in.state_.queue_.remove(id);
            gives_up = !may_wait(in, request);
            in.state_.queue_.add(as_waiting(in, request.call_, request.kind_));
        }
        if (gives_up) {
            const auto refused = request;
            remove_waiting(id);
            refuse(in, refused, in.state_.expected_queue_wait());
        }
    }
}

std::optional<time_point> dispatcher::next_wakeup() const
{
    if (!waiting_.empty()) {
        return next_queue_check_;
    }
    return grants_.empty() ? std::nullopt : std::optional(next_expiry_check_);
}

void dispatcher::on_wakeup()
{
    const auto now = clock_.now();
    if (now >= next_expiry_check_) {
        next_expiry_check_ = now + expiry_check_period;
        for (auto next = grants_.begin(); next != grants_.end();) {
            const auto& [key, known] = *next++;
            if (known.expires_at_ <= now) {
                ++counters_.expired_;
                end_grant(request_key(key), {key.second, 0, static_cast<int>(slot_outcome::unused), {}});
            }
        }
    }
    if (now >= next_queue_check_) {
        next_queue_check_ = now + queue_check_period;
        for (auto& [unused, served] : pools_) {
            give_up_waiting(served);
            serve_queue(served);
        }
    }
}

} // namespace anvilpost
