// Ranks the waiting calls, admits those that fit into the capacity in time, and keeps the served shares.
#include "core/calls/admission_policy.h"

#include <cmath>
#include <tuple>

namespace anvilpost {
namespace {

/// Shares are decayed in steps of this time, so that an arrival costs no pass over all kinds.
constexpr duration decay_period = std::chrono::milliseconds(500);

/// Kinds with fewer recent calls than this are forgotten.
constexpr double forgotten_calls = 0.01;

/// Part of its expected work that must fit before a call's objective for it to be admitted. Durations vary;
/// with less, about half of the calls that are admitted last are late.
constexpr double work_margin = 1.25;

/// A kind counts as overtaken by a less urgent priority, or by others of its own one, beyond these
/// differences. The correction serves late calls first, which have little value.
constexpr double tolerated_below_less_urgent = 0.02;
constexpr double tolerated_below_equals = 0.03;

/// Shares that differ by less than this count as equal. Without it, a waiting call would often be displaced
/// by one of another kind that came just now, and have waited in vain.
constexpr double share_step = 0.04;

duration scaled(duration length, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * factor));
}

/// Where a call stands in the order of service: kinds below the floor first, then by priority, then by latest
/// start. A more urgent call never waits for less urgent ones: as the schedule is full under overload, it
/// would be late whenever slots become free later than expected.
using position = std::tuple<bool, int, time_point>;

/// Calls in the order of service. Calls at the same position keep theirs.
class schedule {
public:
    schedule(const capacity_outlook& capacity, time_point now) : capacity_(capacity), now_(now) {}

    /// Adds the call if it and all others can then meet their objectives.
    bool admit(const waiting_call& added, bool below_floor, time_point latest_start)
    {
        const position wanted{!below_floor, added.priority_, latest_start};
        const auto behind =
            std::upper_bound(calls_.begin(), calls_.end(), wanted,
                             [](const position& a, const entry& other) { return a < other.position_; });
        const auto index = behind - calls_.begin();
        calls_.insert(behind, {&added, wanted, latest_start});
        if (feasible_from(static_cast<std::size_t>(index))) {
            return true;
        }
        calls_.erase(calls_.begin() + index);
        return false;
    }

    /// Time until a call behind all others would start.
    [[nodiscard]] duration backlog() const
    {
        duration work{};
        for (const auto& scheduled : calls_) {
            work += scheduled.call_->work_;
        }
        return capacity_.first_free_ + scaled(work, 1 / capacity_.slots_);
    }

    void append_order(std::vector<call_id>& order) const
    {
        for (const auto& scheduled : calls_) {
            order.push_back(scheduled.call_->id_);
        }
    }

private:
    struct entry {
        const waiting_call* call_ = nullptr;
        position position_;
        time_point latest_start_{};
    };

    [[nodiscard]] bool feasible_from(std::size_t changed) const
    {
        duration work_before{};
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            const auto start = now_ + capacity_.first_free_ + scaled(work_before, 1 / capacity_.slots_);
            if (i >= changed && start > calls_[i].latest_start_) {
                return false;
            }
            work_before += calls_[i].call_->work_;
        }
        return true;
    }

    const capacity_outlook& capacity_;
    time_point now_;
    std::vector<entry> calls_; ///< By position.
};

} // namespace

void admission_policy::decay(time_point now)
{
    if (now - decayed_at_ < decay_period) {
        return;
    }
    const double elapsed = std::chrono::duration<double>(now - decayed_at_).count();
    const double factor = std::exp(-elapsed / std::chrono::duration<double>(share_memory).count());
    const auto shrink = [factor](counts& counted) {
        counted.arrived_ *= factor;
        counted.served_ *= factor;
    };
    shrink(all_);
    for (auto& [unused, priority] : priorities_) {
        shrink(priority.all_);
        for (auto& [kind, counted] : priority.kinds_) {
            shrink(counted);
        }
        std::erase_if(priority.kinds_,
                      [](const auto& entry) { return entry.second.arrived_ < forgotten_calls; });
    }
    std::erase_if(priorities_, [](const auto& entry) { return entry.second.kinds_.empty(); });
    decayed_at_ = now;
}

void admission_policy::on_arrival(const waiting_call& arrived, time_point now)
{
    decay(now);
    if (arrived.is_resend_) {
        return; // Its caller is counted already.
    }
    ++all_.arrived_;
    auto& priority = priorities_[arrived.priority_];
    ++priority.all_.arrived_;
    ++priority.kinds_[arrived.kind_].arrived_;
}

void admission_policy::on_started(const waiting_call& started, time_point now)
{
    decay(now);
    ++all_.served_;
    auto& priority = priorities_[started.priority_];
    ++priority.all_.served_;
    ++priority.kinds_[started.kind_].served_;
}

void admission_policy::on_not_served(const waiting_call& started, time_point now)
{
    decay(now);
    const auto take_back = [](counts& counted) { counted.served_ = std::max(0.0, counted.served_ - 1); };
    take_back(all_);
    if (const auto priority = priorities_.find(started.priority_); priority != priorities_.end()) {
        take_back(priority->second.all_);
        if (const auto kind = priority->second.kinds_.find(started.kind_);
            kind != priority->second.kinds_.end()) {
            take_back(kind->second);
        }
    }
}

double admission_policy::served_share(int priority, std::uint64_t kind) const
{
    const auto found = priorities_.find(priority);
    if (found == priorities_.end()) {
        return 1;
    }
    const double of_priority = found->second.all_.share(prior_calls, all_.share(prior_calls, 1));
    const auto counted = found->second.kinds_.find(kind);
    const bool few = counted == found->second.kinds_.end() || counted->second.arrived_ < prior_calls;
    return std::min(1.0, few ? of_priority : counted->second.share(prior_calls, of_priority));
}

std::vector<admission_policy::ranked_call>
admission_policy::ranked(const std::vector<waiting_call>& waiting) const
{
    const double mean = all_.share(prior_calls, 1);
    // Smallest share that is not yet overtaken, by priority.
    std::map<int, double> share_to_reach;
    double of_less_urgent = 0;
    for (auto entry = priorities_.rbegin(); entry != priorities_.rend(); ++entry) {
        const double share = entry->second.all_.share(prior_calls, mean);
        share_to_reach[entry->first] =
            std::max(share - tolerated_below_equals, of_less_urgent - tolerated_below_less_urgent);
        of_less_urgent = std::max(of_less_urgent, share);
    }
    std::vector<ranked_call> ranks;
    ranks.reserve(waiting.size());
    for (const auto& call : waiting) {
        const double share = served_share(call.priority_, call.kind_);
        const auto other = share_to_reach.find(call.priority_);
        ranks.push_back({&call, share < mean * floor_of_mean,
                         other != share_to_reach.end() && share < other->second,
                         std::floor(share / share_step), call.objective_ - scaled(call.work_, work_margin)});
    }
    std::stable_sort(ranks.begin(), ranks.end(), [](const ranked_call& a, const ranked_call& b) {
        if (a.below_floor_ != b.below_floor_) {
            return a.below_floor_;
        }
        if (a.call_->priority_ != b.call_->priority_) {
            return a.call_->priority_ < b.call_->priority_;
        }
        if (a.share_ != b.share_) {
            return a.share_ < b.share_;
        }
        return a.latest_start_ < b.latest_start_;
    });
    return ranks;
}

admission_decision admission_policy::decide(const std::vector<waiting_call>& waiting,
                                            const capacity_outlook& capacity, time_point now) const
{
    schedule in_time(capacity, now);
    std::vector<const ranked_call*> late;
    const auto ranks = ranked(waiting);
    for (const auto& rank : ranks) {
        if (!in_time.admit(*rank.call_, rank.below_floor_, rank.latest_start_)) {
            late.push_back(&rank);
        }
    }
    admission_decision decision;
    std::vector<call_id> after;
    duration start = in_time.backlog();
    for (const auto* rank : late) {
        const auto& call = *rank->call_;
        const bool first = rank->overtaken_;
        const duration wait = first ? capacity.first_free_ : start;
        const bool kept =
            static_cast<double>(after.size() + decision.order_.size()) < capacity.max_late_calls_ &&
            now + wait + call.work_ <= call.deadline_;
        if (!kept) {
            decision.refused_.push_back({call.id_, start});
            continue;
        }
        start += scaled(call.work_, 1 / capacity.slots_);
        (first ? decision.order_ : after).push_back(call.id_);
    }
    in_time.append_order(decision.order_);
    decision.order_.insert(decision.order_.end(), after.begin(), after.end());
    return decision;
}

} // namespace anvilpost
