// Probes candidates for the coordinator and changes from one to another.
#include "core/organisations/coordinator_choice.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Added to the time for which this node takes its delegation for valid: clocks may run differently, and the
/// coordinator drops delegations in steps.
constexpr duration expiry_margin = 30ms;

/// Other candidates are probed once the coordinator has been silent for this long, so that one is known when
/// the delegation expires.
constexpr duration silence_before_search = 100ms;

/// The coordinator is asked through other nodes once it has been silent for this long: two requests were
/// lost.
constexpr duration silence_before_relays = 50ms;

/// Period at which a coordinator that is reached through another node is asked directly.
constexpr duration direct_period = 2s;

/// Candidates probed at once while this node searches, and the time between two rounds. Of 108 nodes, all are
/// probed before the delegation expires, also where two thirds of them cannot be reached.
constexpr std::size_t probes_per_round = 8;
constexpr duration round_period = 30ms;

/// An answer is taken as a sign that the node can be reached for this long.
constexpr duration contact_lifetime = 600ms;

/// Period in which a node that does not delegate to the first in rank probes those before its own
/// coordinator.
constexpr duration return_period = 1s;
constexpr std::size_t probes_per_return = 4;

/// A node does not return to a coordinator that stopped answering before this time, since each change leaves
/// calls without answers for up to `delegation_lifetime`. The time doubles with each loss of the same node,
/// up to `max_time_before_return`.
constexpr duration time_before_return = 3s;
constexpr duration max_time_before_return = 60s;
constexpr int max_doublings = 5;

/// A node that has just started knows few others, and does not know how many shares there are. It does not
/// use its own share before this time.
constexpr duration time_before_own_share = 1500ms;

} // namespace

coordinator_choice::coordinator_choice(node_identity self, time_point started_at)
    : self_(self), started_at_(started_at),
      // The process that ran here before may have delegated its share.
      delegated_until_(started_at + delegation_lifetime + expiry_margin)
{
}

std::size_t coordinator_choice::rank_of(node_identity node) const
{
    return static_cast<std::size_t>(std::find(ranked_.begin(), ranked_.end(), node) - ranked_.begin());
}

bool coordinator_choice::may_coordinate(node_identity node, time_point now) const
{
    return node != self_ || now - started_at_ >= time_before_own_share;
}

/// Returns the nodes to pass messages on in turn, and 0, which stands for none, between them.
node_identity coordinator_choice::next_relay()
{
    next_relay_ = (next_relay_ + 1) % std::max<std::size_t>(1, 2 * relays_.size());
    return next_relay_ % 2 == 0 ? 0 : relays_[next_relay_ / 2];
}

contact_request coordinator_choice::make_request(std::optional<time_point> unanswered_since, time_point now)
{
    const auto& known = contacts_[*current_];
    contact_request request{*current_, known.via_, known.stamp_, false, successor_.has_value()};
    if (unanswered_since && now - *unanswered_since > silence_before_relays) {
        request.via_ = next_relay();
    }
    else if (request.via_ != 0 && now >= next_direct_at_) {
        next_direct_at_ = now + direct_period;
        request.via_ = 0;
    }
    request.via_ = request.via_ == request.to_ ? 0 : request.via_;
    const bool share_free = now >= delegated_until_ || delegated_to_ == current_;
    const bool echo_valid = now - known.answered_at_ < delegation_lifetime;
    if (!request.release_ && share_free && echo_valid) {
        request.delegates_ = true;
        delegated_to_ = current_;
        delegated_until_ = known.answered_at_ + delegation_lifetime + expiry_margin;
    }
    return request;
}

void coordinator_choice::on_answer(const quota_answer& answer, bool released, time_point now)
{
    contacts_[answer.from_] = {answer.via_, answer.stamp_, now};
    searching_ = false;
    if (released && successor_) {
        if (delegated_to_ == current_) {
            delegated_until_ = now;
        }
        change_to(*successor_, now);
    }
}

void coordinator_choice::on_probe_answer(const quota_answer& answer, time_point now)
{
    auto& known = contacts_[answer.from_];
    const bool has_direct = known.via_ == 0 && now - known.answered_at_ < contact_lifetime;
    if (answer.via_ == 0 || !has_direct) {
        known = {answer.via_, answer.stamp_, now};
    }
}

bool coordinator_choice::lost_lately(node_identity node, time_point now) const
{
    const auto found = lost_at_.find(node);
    if (found == lost_at_.end()) {
        return false;
    }
    const duration pause = time_before_return * (1 << std::min(max_doublings, found->second.times_ - 1));
    return now - found->second.at_ < std::min(pause, max_time_before_return);
}

/// The first in rank that answers, or nothing. A node that stopped answering a short time ago is taken only
/// when no other answers.
std::optional<node_identity> coordinator_choice::best_answering(time_point now) const
{
    std::optional<node_identity> best;
    for (const auto node : ranked_) {
        const auto found = contacts_.find(node);
        const bool answers = found != contacts_.end() && now - found->second.answered_at_ < contact_lifetime;
        if (!answers || !may_coordinate(node, now)) {
            continue;
        }
        if (!lost_lately(node, now)) {
            return node;
        }
        best = best.value_or(node);
    }
    return best;
}

void coordinator_choice::start_search(time_point now)
{
    if (!searching_) {
        searching_ = true;
        next_candidate_ = 0;
        next_probe_at_ = now;
    }
}

void coordinator_choice::change_to(node_identity next, time_point now)
{
    current_ = next;
    successor_.reset();
    searching_ = false;
    next_return_at_ = now + return_period;
}

void coordinator_choice::lose_current(time_point now)
{
    std::erase_if(lost_at_, [&](const auto& item) { return now - item.second.at_ > max_time_before_return; });
    auto& lost = lost_at_[*current_];
    lost = {now, lost.times_ + 1};
    contacts_.erase(*current_);
    current_.reset();
    successor_.reset();
    start_search(now);
}

/// Adds the next `count` of the first `end` candidates in rank.
void coordinator_choice::add_probes(std::vector<contact_request>& probes, std::size_t count, std::size_t end,
                                    time_point now)
{
    for (std::size_t i = 0; i < std::min(count, end); ++i) {
        next_candidate_ = next_candidate_ < end ? next_candidate_ : 0;
        const auto node = ranked_[next_candidate_++];
        if (node != current_ && may_coordinate(node, now)) {
            probes.push_back({node, 0, 0, false, false});
        }
    }
}

std::vector<contact_request> coordinator_choice::on_tick(std::optional<time_point> unanswered_since,
                                                         time_point now)
{
    const duration silence = unanswered_since ? now - *unanswered_since : duration{};
    if (current_) {
        const bool expired = now >= delegated_until_ && delegated_to_ == current_;
        const bool never_answered = silence > delegation_lifetime;
        if ((expired && silence > silence_before_search) || never_answered) {
            lose_current(now);
        }
        else if (silence > silence_before_search) {
            start_search(now);
        }
    }
    else {
        start_search(now);
    }
    std::vector<contact_request> probes;
    const auto best = best_answering(now);
    if (!current_ && best) {
        change_to(*best, now);
        return probes;
    }
    if (searching_ && now >= next_probe_at_) {
        next_probe_at_ = now + round_period;
        add_probes(probes, probes_per_round, best ? rank_of(*best) + 1 : ranked_.size(), now);
        const auto relay = current_ ? 0 : next_relay();
        if (relay != 0 && relay != ranked_.front() && ranked_.front() != self_) {
            probes.push_back({ranked_.front(), relay, 0, false, false});
        }
    }
    const auto current_rank = current_ ? rank_of(*current_) : 0;
    if (!searching_ && !successor_ && current_rank > 0) {
        if (best && rank_of(*best) < current_rank && !lost_lately(*best, now)) {
            successor_ = best;
        }
        else if (now >= next_return_at_) {
            next_return_at_ = now + return_period;
            add_probes(probes, probes_per_return, current_rank, now);
        }
    }
    return probes;
}

} // namespace anvilpost
