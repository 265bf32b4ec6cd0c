// Asks dispatchers for slots, passes their answers to the call engine, and renews and releases held slots.
#include "core/dispatch/dispatch_client.h"

#include "core/fleet/peer_messages.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <array>
#include <limits>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Waits for an answer after each send of a request, to the preferred dispatcher and to the next in rank. A
/// round trip takes 0.4 to 3 ms, but the event loop of a small node may be late by some milliseconds. With a
/// datagram loss of 2.5%, one request in 8,000 gets no answer to three sends. Together: `max_silence`.
constexpr std::array<duration, 3> first_waits{6ms, 8ms, 10ms};
constexpr std::array<duration, 2> next_waits{8ms, 8ms};
static_assert(first_waits[0] + first_waits[1] + first_waits[2] + next_waits[0] + next_waits[1] ==
              dispatch_client::max_silence);
constexpr std::size_t max_dispatchers_asked = 2;

/// A silent dispatcher is not asked for this long; then requests try it again. A node that has died stays in
/// the peer table for half a minute, so that a fortieth of the calls waits longer meanwhile. With a longer
/// time, nodes would take longer to return to a dispatcher that is back, and two would grant until then.
constexpr duration silence_time = 1s;

/// A queued request is repeated at this period, which shows the dispatcher that it is still wanted, and this
/// node that the dispatcher lives.
constexpr duration queued_period = 50ms;

/// A held slot is first renewed this long before its lease ends, and then at this period.
constexpr duration renewal_margin = 60ms;
constexpr duration renewal_period = 100ms;

/// Grants of one request that this node's own rules may forbid to use, before the call chooses alone.
constexpr int max_declined = 2;

} // namespace

dispatch_client::dispatch_client(const clock_port& clock, random_port& random, call_engine& engine,
                                 dispatch_outbox& outbox)
    : clock_(clock), engine_(engine), outbox_(outbox),
      // Dispatchers must not take the requests of a restarted node for those of its earlier incarnation.
      next_number_(
          static_cast<std::uint32_t>(random_below(random, std::numeric_limits<std::uint32_t>::max())))
{
}

void dispatch_client::on_configuration(const configuration& effective)
{
    upstreams_.clear();
    for (const auto& [service, config] : effective.services_) {
        for (const auto& [upstream, unused] : config.upstreams_) {
            upstreams_[upstream_key(service, upstream)] = {service, upstream};
        }
    }
}

void dispatch_client::set_dispatchers(const std::string& service, std::vector<std::string> ranked)
{
    if (ranked.empty()) {
        dispatchers_.erase(service);
        return;
    }
    dispatchers_[service] = std::move(ranked);
}

bool dispatch_client::silent(const std::string& dispatcher) const
{
    const auto found = silent_until_.find(dispatcher);
    return found != silent_until_.end() && clock_.now() < found->second;
}

std::optional<std::string> dispatch_client::choose_dispatcher(const std::string& service,
                                                              const std::vector<std::string>& asked) const
{
    const auto known = dispatchers_.find(service);
    if (known == dispatchers_.end() || asked.size() >= max_dispatchers_asked) {
        return std::nullopt;
    }
    const auto& ranked = known->second;
    const auto found = std::find_if(ranked.begin(), ranked.end(), [&](const std::string& candidate) {
        return !silent(candidate) && std::find(asked.begin(), asked.end(), candidate) == asked.end();
    });
    return found == ranked.end() ? std::nullopt : std::optional(*found);
}

bool dispatch_client::has_dispatcher(const std::string& service) const
{
    return choose_dispatcher(service, {}).has_value();
}

void dispatch_client::request_slot(const call& wanted, duration work, time_point deadline,
                                   const std::set<std::string>& tried)
{
    const auto number = ++next_number_;
    auto& open = open_[number];
    number_of_call_[wanted.id_] = number;
    open.service_ = wanted.service_;
    open.call_ = wanted.id_;
    open.objective_ = wanted.objective_;
    open.deadline_ = deadline;
    auto& request = open.request_;
    request.number_ = number;
    request.service_ = service_key(wanted.service_);
    request.route_ = static_cast<std::uint32_t>(stable_hash(wanted.route_));
    request.kind_ = static_cast<std::uint32_t>(kind_of(wanted));
    request.work_ = work;
    request.priority_ = wanted.priority_;
    request.repeatable_ = wanted.repeatable_;
    request.is_resend_ = wanted.is_resend_;
    for (const auto& upstream : tried) {
        request.tried_.push_back(upstream_key(wanted.service_, upstream));
    }
    ++counters_.asked_;
    if (const auto dispatcher = choose_dispatcher(wanted.service_, {})) {
        ask(open, *dispatcher);
    }
    else {
        open.due_ = clock_.now();
    }
}

/// Asks a dispatcher for the first time. When the service had another one before, this node's slots are
/// reported to the new one.
void dispatch_client::ask(open_request& open, const std::string& dispatcher)
{
    open.asked_.push_back(dispatcher);
    open.sends_ = 0;
    auto& current = current_[open.service_];
    if (current != dispatcher) {
        current = dispatcher;
        for (auto& [number, held] : held_) {
            if (held.service_ == open.service_ && held.dispatcher_ != dispatcher) {
                held.dispatcher_ = dispatcher;
                held.renew_at_ = clock_.now() + renewal_period;
                outbox_.to(dispatcher).renewals_.push_back({number, held.upstream_});
            }
        }
    }
    send(open);
}

void dispatch_client::send(open_request& open)
{
    const auto now = clock_.now();
    open.request_.objective_left_ = std::max<duration>(0ms, open.objective_ - now);
    open.request_.deadline_left_ = std::max<duration>(0ms, open.deadline_ - now);
    open.unanswered_since_ = open.sends_ == 0 ? now : open.unanswered_since_;
    const auto attempt = static_cast<std::size_t>(open.sends_++);
    const bool first = open.asked_.size() == 1;
    open.due_ = now + (first ? first_waits.at(std::min(attempt, first_waits.size() - 1))
                             : next_waits.at(std::min(attempt, next_waits.size() - 1)));
    outbox_.to(open.asked_.back()).requests_.push_back(open.request_);
}

dispatch_client::open_request dispatch_client::take_open(std::uint32_t number)
{
    const auto found = open_.find(number);
    auto taken = std::move(found->second);
    open_.erase(found);
    number_of_call_.erase(taken.call_);
    return taken;
}

void dispatch_client::give_back(const std::string& dispatcher, std::uint32_t number, std::uint32_t upstream)
{
    outbox_.to(dispatcher)
        .releases_.push_back({number, upstream, static_cast<int>(slot_outcome::unused), std::nullopt});
}

void dispatch_client::withdraw(call_id call)
{
    const auto number = number_of_call_.find(call);
    if (number == number_of_call_.end()) {
        return;
    }
    const auto open = take_open(number->second);
    for (const auto& dispatcher : open.asked_) {
        give_back(dispatcher, open.request_.number_, 0);
    }
}

void dispatch_client::release(slot_id slot, const slot_end& end)
{
    const auto found = held_.find(static_cast<std::uint32_t>(slot));
    if (found == held_.end()) {
        return;
    }
    outbox_.to(found->second.dispatcher_)
        .releases_.push_back(
            {found->first, found->second.upstream_, static_cast<int>(end.outcome_), end.load_});
    held_.erase(found);
}

void dispatch_client::on_message(const dispatch_message& message)
{
    if (message.answers_.empty()) {
        return;
    }
    heard_at_[message.sender_] = clock_.now();
    silent_until_.erase(message.sender_);
    for (const auto& answer : message.answers_) {
        on_answer(answer, message.sender_);
    }
}

void dispatch_client::on_answer(const slot_answer& answer, const std::string& from)
{
    const auto found = open_.find(answer.number_);
    if (answer.kind_ == slot_answer_kind::granted) {
        on_grant(answer, from);
        return;
    }
    // An earlier dispatcher's other answers no longer count.
    if (found == open_.end() || found->second.asked_.back() != from) {
        return;
    }
    switch (answer.kind_) {
    case slot_answer_kind::queued:
        found->second.sends_ = 0;
        found->second.due_ = clock_.now() + queued_period;
        return;
    case slot_answer_kind::refused: {
        ++counters_.refused_;
        const auto open = take_open(answer.number_);
        engine_.on_slot_refused(open.call_, answer.time_);
        return;
    }
    case slot_answer_kind::not_dispatcher: suspect(from); return;
    case slot_answer_kind::granted: return;
    }
}

void dispatch_client::on_grant(const slot_answer& answer, const std::string& from)
{
    const auto found = open_.find(answer.number_);
    if (found == open_.end()) {
        // A repeated grant of a slot that this node holds needs no answer.
        const auto held = held_.find(answer.number_);
        if (held == held_.end() || held->second.dispatcher_ != from) {
            give_back(from, answer.number_, answer.upstream_);
        }
        return;
    }
    auto open = take_open(answer.number_);
    for (const auto& other : open.asked_) {
        if (other != from) {
            give_back(other, answer.number_, 0);
        }
    }
    const auto upstream = upstreams_.find(answer.upstream_);
    if (upstream != upstreams_.end() && upstream->second.service_ == open.service_) {
        held_[answer.number_] = {open.service_, from, answer.upstream_,
                                 clock_.now() + std::max(answer.time_ - renewal_margin, renewal_margin)};
        const auto use = engine_.on_slot_granted(open.call_, slot_id{answer.number_}, upstream->second.name_);
        if (use == grant_use::used) {
            ++counters_.granted_;
            return;
        }
        held_.erase(answer.number_);
        if (use == grant_use::not_wanted) {
            give_back(from, answer.number_, 0);
            return;
        }
    }
    // This node's own rules forbid to send there now: it asks for another slot, under another number.
    ++counters_.declined_;
    give_back(from, answer.number_, 0);
    if (++open.declined_ > max_declined || silent(from)) {
        engine_.on_no_dispatcher(open.call_);
        return;
    }
    open.request_.tried_.push_back(answer.upstream_);
    open.request_.number_ = ++next_number_;
    open.asked_.clear();
    number_of_call_[open.call_] = open.request_.number_;
    ask(open_[open.request_.number_] = std::move(open), from);
}

/// Stops asking a dispatcher for a while; requests that wait for it turn to the next one.
void dispatch_client::suspect(const std::string& dispatcher)
{
    const auto now = clock_.now();
    ++counters_.suspected_;
    silent_until_[dispatcher] = now + silence_time;
    std::vector<std::uint32_t> numbers;
    for (const auto& [number, open] : open_) {
        if (!open.asked_.empty() && open.asked_.back() == dispatcher) {
            numbers.push_back(number);
        }
    }
    for (const auto number : numbers) {
        turn_to_next(number);
    }
}

void dispatch_client::turn_to_next(std::uint32_t number)
{
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return;
    }
    if (const auto next = choose_dispatcher(found->second.service_, found->second.asked_)) {
        ask(found->second, *next);
        return;
    }
    ++counters_.unanswered_;
    const auto open = take_open(number);
    for (const auto& dispatcher : open.asked_) {
        give_back(dispatcher, number, 0);
    }
    engine_.on_no_dispatcher(open.call_);
}

std::optional<time_point> dispatch_client::next_wakeup() const
{
    std::optional<time_point> next;
    const auto take_earlier = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    for (const auto& [unused, open] : open_) {
        take_earlier(open.due_);
    }
    for (const auto& [unused, held] : held_) {
        take_earlier(held.renew_at_);
    }
    return next;
}

void dispatch_client::on_wakeup()
{
    const auto now = clock_.now();
    std::vector<std::uint32_t> due;
    for (const auto& [number, open] : open_) {
        if (open.due_ <= now) {
            due.push_back(number);
        }
    }
    for (const auto number : due) {
        const auto found = open_.find(number);
        if (found == open_.end() || found->second.due_ > now) {
            continue;
        }
        auto& open = found->second;
        if (open.asked_.empty()) {
            turn_to_next(number);
            continue;
        }
        const auto waits = open.asked_.size() == 1 ? first_waits.size() : next_waits.size();
        if (static_cast<std::size_t>(open.sends_) < waits) {
            ++counters_.repeated_;
            send(open);
            continue;
        }
        // Answers to other requests show that it was only this one's datagrams that were lost.
        const auto dispatcher = open.asked_.back();
        const auto heard = heard_at_.find(dispatcher);
        if (heard == heard_at_.end() || heard->second < open.unanswered_since_) {
            suspect(dispatcher);
        }
        else {
            turn_to_next(number);
        }
    }
    for (auto& [number, held] : held_) {
        if (held.renew_at_ <= now) {
            held.renew_at_ = now + renewal_period;
            outbox_.to(held.dispatcher_).renewals_.push_back({number, held.upstream_});
        }
    }
}

} // namespace anvilpost
