// Collects calls that wait for a token, sends requests to the coordinator, and spends what it grants.
#include "core/organisations/quota_client.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A request is sent again after this long without an answer: some tens of round trips, and more than the
/// pauses of a busy coordinator.
constexpr duration resend_after = 30ms;

/// The delegation is renewed when no other request was sent for this long. Three of them can be lost before
/// it expires.
constexpr duration renewal_period = 180ms;

/// Tokens of an answer that took longer than this are not used, and granted tokens are held for this long.
/// Both times shift the use of a token out of the window in which it was counted, by at most a tenth of it.
constexpr duration max_answer_age = 200ms;
constexpr duration hold_time = 250ms;

/// A token of a call that was not run is returned within this time.
constexpr duration refund_time = 250ms;

/// Tokens are asked for the calls that arrive in this time, as estimated from the time before.
constexpr duration expectation = 40ms;
constexpr duration arrival_stretch = 100ms;

/// Calls of one organisation that may wait for the next token of the coordinator, and for how long.
constexpr std::size_t max_waiting_for_next_token = 2;
constexpr duration max_wait_for_next_token = 400ms;

/// Part of the slack that nodes spend, all together, while no coordinator answers.
constexpr double reserve_share = 0.2;

/// Callers of calls that got no answer come back after this.
constexpr duration retry_without_answer = 300ms;

/// What the coordinator said about an organisation's use is shown for this long.
constexpr duration max_use_age = 5s;

constexpr std::size_t max_asks = 120;

} // namespace

quota_client::quota_client(const clock_port& clock, node_identity self, std::string name, fleet_size& size)
    : clock_(clock), self_(self), name_(std::move(name)), size_(size), choice_(self, clock.now()),
      started_at_(clock.now())
{
}

void quota_client::apply(const configuration& config)
{
    slack_ = config.fleet_.quota_slack_;
    std::unordered_map<std::string, account> kept;
    if (config.organisations_) {
        for (const auto& [name, described] : *config.organisations_) {
            if (described.rate_per_second_ <= 0) {
                continue;
            }
            const auto known = accounts_.find(name);
            auto& entry = kept[name];
            if (known != accounts_.end()) {
                entry = std::move(known->second);
                accounts_.erase(known);
            }
            entry.name_ = name;
            entry.key_ = organisation_key(name);
            entry.rate_ = described.rate_per_second_;
            entry.burst_ = described.burst_;
        }
    }
    // Organisations that have no limit any more admit what waits.
    for (auto& [unused, dropped] : accounts_) {
        for (const auto& each : dropped.waiting_) {
            decisions_.push_back({each.call_, {true, {}}});
        }
    }
    accounts_ = std::move(kept);
    by_key_.clear();
    active_.clear();
    for (auto& [unused, each] : accounts_) {
        by_key_.try_emplace(each.key_, &each);
        each.active_ = false;
        activate(each);
    }
    deliver();
}

void quota_client::activate(account& which)
{
    if (!which.active_) {
        which.active_ = true;
        active_.push_back(&which);
    }
}

void quota_client::count_arrival(account& of, time_point now) const
{
    const auto passed = now - of.arrivals_since_;
    if (passed >= arrival_stretch) {
        of.arrivals_before_ = passed < 2 * arrival_stretch ? of.arrivals_ : 0;
        of.arrivals_ = 0;
        of.arrivals_since_ = now;
    }
    ++of.arrivals_;
}

int quota_client::expected_calls(const account& of) const
{
    return static_cast<int>(of.arrivals_before_ * expectation / arrival_stretch);
}

void quota_client::admit(call_id call, const std::string& organisation, time_point answer_by)
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        decisions_.push_back({call, {true, {}}});
        deliver();
        return;
    }
    auto& of = found->second;
    const auto now = clock_.now();
    count_arrival(of, now);
    if (of.held_ > 0 && now < of.held_until_) {
        --of.held_;
        admit_now(of, call);
    }
    else if (now < of.refused_until_) {
        refuse(of, call, of.refused_until_ - now);
    }
    else {
        of.waiting_.push_back({call, answer_by});
        activate(of);
        if (!unanswered_ && choice_.current() && !choice_.releasing()) {
            send_request();
        }
        else {
            ask_again_ = true;
        }
    }
    deliver();
}

void quota_client::withdraw(call_id call, const std::string& organisation)
{
    const auto found = accounts_.find(organisation);
    if (found != accounts_.end()) {
        std::erase_if(found->second.waiting_, [&](const waiting& each) { return each.call_ == call; });
    }
}

void quota_client::refund(const std::string& organisation, time_point admitted_at)
{
    const auto found = accounts_.find(organisation);
    const auto now = clock_.now();
    if (found == accounts_.end() || now - admitted_at > refund_time) {
        return;
    }
    auto& of = found->second;
    ++of.returned_;
    activate(of);
}

void quota_client::admit_now(account& of, call_id call)
{
    ++of.admitted_;
    ++counters_.admitted_;
    decisions_.push_back({call, {true, {}}});
}

void quota_client::refuse(account& of, call_id call, duration retry_after)
{
    ++of.refused_;
    ++counters_.refused_;
    decisions_.push_back({call, {false, std::chrono::ceil<std::chrono::milliseconds>(retry_after)}});
}

/// The callback may admit, withdraw and refund calls, so decisions are delivered when no loop of this class
/// runs.
void quota_client::deliver()
{
    if (delivering_) {
        return;
    }
    delivering_ = true;
    for (std::size_t i = 0; i < decisions_.size(); ++i) {
        const auto next = decisions_[i];
        decide_(next.call_, next.decision_);
    }
    decisions_.clear();
    delivering_ = false;
}

void quota_client::add_asks(quota_request& request, time_point now)
{
    for (auto* of : active_) {
        const bool has_news = !of->waiting_.empty() || of->returned_ > 0;
        if (!has_news || request.asks_.size() >= max_asks) {
            continue;
        }
        const bool may_ask = now >= of->refused_until_;
        const int waiting_calls = may_ask ? static_cast<int>(of->waiting_.size()) : 0;
        const int expected = waiting_calls > 0 ? expected_calls(*of) : 0;
        request.asks_.push_back({of->key_, waiting_calls, expected, of->returned_});
        counters_.tokens_asked_ += static_cast<std::uint64_t>(waiting_calls + expected);
        counters_.tokens_returned_ += static_cast<std::uint64_t>(of->returned_);
        of->returned_ = 0;
    }
}

void quota_client::send_request()
{
    const auto now = clock_.now();
    const auto contact = choice_.make_request(unanswered_since_, now);
    quota_request request{self_,
                          contact.to_,
                          contact.via_,
                          ++number_,
                          contact.echo_,
                          size_.observed(now),
                          contact.delegates_ ? size_.nodes(now) : 0,
                          {}};
    if (!contact.release_) {
        add_asks(request, now);
    }
    unanswered_ = {number_, now, contact.release_};
    ask_again_ = contact.release_;
    unanswered_since_ = unanswered_since_.value_or(now);
    last_sent_ = now;
    ++counters_.requests_sent_;
    send_(request);
}

void quota_client::send_probe(const contact_request& probe)
{
    const auto now = clock_.now();
    probes_[{probe.to_, probe.via_}] = {++number_, now, false};
    ++counters_.requests_sent_;
    send_({self_, probe.to_, probe.via_, number_, 0, size_.observed(now), 0, {}});
}

void quota_client::on_answer(const quota_answer& answer)
{
    const auto now = clock_.now();
    if (answer.to_ != self_) {
        return;
    }
    size_.hear(answer.nodes_, now);
    const bool latest =
        unanswered_ && answer.from_ == choice_.current() && answer.number_ == unanswered_->number_;
    if (latest) {
        const bool in_time = now - unanswered_->sent_at_ <= max_answer_age;
        const bool released = unanswered_->release_;
        unanswered_.reset();
        unanswered_since_.reset();
        choice_.on_answer(answer, released, now);
        for (const auto& grant : answer.grants_) {
            take_grant(grant, in_time, now);
        }
        note_coordinator();
        if (ask_again_ && !unanswered_) {
            send_request();
        }
    }
    else if (const auto probe = probes_.find({answer.from_, answer.via_});
             probe != probes_.end() && probe->second.number_ == answer.number_) {
        probes_.erase(probe);
        choice_.on_probe_answer(answer, now);
    }
    deliver();
}

void quota_client::take_grant(const quota_grant& grant, bool in_time, time_point now)
{
    const auto found = by_key_.find(grant.organisation_);
    if (found == by_key_.end()) {
        return;
    }
    auto& of = *found->second;
    of.used_ = grant.used_;
    of.used_at_ = now;
    counters_.tokens_granted_ += static_cast<std::uint64_t>(grant.granted_);
    int tokens = in_time ? grant.granted_ : 0;
    for (; tokens > 0 && !of.waiting_.empty(); --tokens) {
        admit_now(of, of.waiting_.front().call_);
        of.waiting_.pop_front();
    }
    if (tokens > 0) {
        of.held_ = (now < of.held_until_ ? of.held_ : 0) + tokens;
        of.held_until_ = now + hold_time;
        activate(of);
    }
    if (grant.ask_again_in_ > duration{}) {
        of.refused_until_ = now + grant.ask_again_in_;
        refuse_waiting(of, grant.ask_again_in_, now);
    }
}

/// Refuses the calls that wait, but for those that can wait for the next token. Organisations of few calls
/// within their limits are rarely refused thereby; where one is far above its limit, the next token is far.
void quota_client::refuse_waiting(account& of, duration ask_again_in, time_point now)
{
    std::size_t may_wait = ask_again_in <= max_wait_for_next_token ? max_waiting_for_next_token : 0;
    std::erase_if(of.waiting_, [&](waiting& each) {
        if (may_wait > 0 && !each.refused_once_ && each.answer_by_ > now + ask_again_in + resend_after) {
            --may_wait;
            each.refused_once_ = true;
            return false;
        }
        refuse(of, each.call_, ask_again_in);
        return true;
    });
}

/// Tokens that this node may spend in a window while no coordinator answers. Where there are fewer tokens
/// than nodes, a hash chooses the nodes that have one.
int quota_client::reserve_of(const account& of, time_point now) const
{
    const double per_node = slack_ * reserve_share / size_.nodes(now);
    constexpr double hash_range = 4'294'967'296.0;
    const auto draw = static_cast<double>(organisation_key(name_ + "\n" + of.name_)) / hash_range;
    const auto whole = static_cast<int>(per_node);
    return whole + (draw < per_node - whole ? 1 : 0);
}

bool quota_client::take_reserve(account& from, time_point now)
{
    // The process that ran here before may have spent it.
    const bool settled = now - started_at_ > 5s;
    if (!settled || from.reserve_used_.sum(now) >= reserve_of(from, now)) {
        return false;
    }
    ++from.reserve_used_.at(now);
    ++counters_.from_reserve_;
    return true;
}

void quota_client::expire(account& of, time_point now)
{
    if (of.held_ > 0 && now >= of.held_until_) {
        of.returned_ += of.held_;
        of.held_ = 0;
    }
    std::erase_if(of.waiting_, [&](const waiting& each) {
        if (now < each.answer_by_) {
            return false;
        }
        if (each.refused_once_) {
            refuse(of, each.call_, std::max<duration>(resend_after, of.refused_until_ - now));
        }
        else if (take_reserve(of, now)) {
            admit_now(of, each.call_);
        }
        else {
            ++counters_.refused_without_answer_;
            refuse(of, each.call_, retry_without_answer);
        }
        return true;
    });
}

void quota_client::note_coordinator()
{
    if (noted_coordinator_ == choice_.current()) {
        return;
    }
    noted_coordinator_ = choice_.current();
    unanswered_.reset();
    unanswered_since_.reset();
    ++counters_.coordinator_changes_;
    if (on_coordinator_changed_) {
        on_coordinator_changed_(noted_coordinator_);
    }
}

void quota_client::on_tick()
{
    const auto now = clock_.now();
    if (accounts_.empty()) {
        return;
    }
    for (const auto& probe : choice_.on_tick(unanswered_since_, now)) {
        send_probe(probe);
    }
    std::erase_if(probes_, [&](const auto& item) { return now - item.second.sent_at_ > max_answer_age; });
    note_coordinator();
    bool waiting_calls = false;
    for (auto* of : active_) {
        expire(*of, now);
        waiting_calls = waiting_calls || (!of->waiting_.empty() && now >= of->refused_until_);
        of->active_ = !of->waiting_.empty() || of->held_ > 0 || of->returned_ > 0;
    }
    std::erase_if(active_, [](const account* of) { return !of->active_; });
    if (choice_.current()) {
        const bool resend = unanswered_ && now - unanswered_->sent_at_ >= resend_after;
        const bool renew = !unanswered_ && now - last_sent_ >= renewal_period;
        const bool ask = !unanswered_ && (waiting_calls || choice_.releasing());
        if (resend || renew || ask) {
            send_request();
        }
    }
    deliver();
}

organisation_usages quota_client::usages() const
{
    organisation_usages all;
    for (const auto& [name, of] : accounts_) {
        const bool recent = of.used_at_ != time_point{} && clock_.now() - of.used_at_ < max_use_age;
        all[name] = {of.rate_, of.burst_, recent ? std::optional(of.used_) : std::nullopt, of.admitted_,
                     of.refused_};
    }
    return all;
}

} // namespace anvilpost
