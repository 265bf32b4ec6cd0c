// Choice of an upstream among those with room, admission checks for late calls, and the estimates of a
// service: work per route, typical slowdown, queue wait, and this node's shares of slots, connections and
// budgets.
#include "core/calls/service_state.h"

#include "core/calls/earliest_finish.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Typical latency assumed until the first response.
constexpr duration initial_latency = 10ms;
constexpr int failure_penalty_factor = 5;

/// Share of an upstream's connections that the whole fleet uses. Nodes may disagree on the fleet's size for a
/// while; the rest keeps the sum of their limits within what the upstream accepts.
constexpr double used_connection_share = 0.8;

/// Share of the fleet-wide slack for extra attempts that is divided among the nodes. The rest covers nodes
/// that have just been replaced, since their successors start with a full share.
constexpr double distributed_slack_share = 0.7;

/// The slack is divided by at least this number of nodes, since a node that has just started knows few others
/// and would take too large a share.
constexpr std::size_t min_share_count = 8;

/// Fleets of at least this size divide the slack by the largest number of nodes that this node has known:
/// nodes that lose sight of each other go on serving, and would each take the share of a small fleet.
constexpr std::size_t large_fleet = 30;

/// A node that has just started and knows others, but not yet the size of the fleet, divides the slack by
/// this number. A node that knows no other counts as alone.
constexpr std::size_t share_count_at_start = 500;

/// A node knows the size of the fleet after this time at the latest, and earlier once it has known the same
/// number of other nodes for `stable_size_time`, as in small fleets, where nodes learn of each other within a
/// second.
constexpr duration learning_time = 10s;
constexpr duration stable_size_time = 5s;

/// Share of the retry budget that calls earn in large fleets. Each node may spend what its calls earned in
/// the best 10 s, which is more than the calls of all nodes earn in any one span: at 472 nodes and 3,000
/// requests a second by 609 attempts, where the slack is 190.
constexpr double earned_share_in_large_fleets = 0.92;

/// Share of a shared retry budget that each step of priority leaves to more urgent calls, up to the lowest
/// priority that is distinguished, and the share that hedges leave to retries.
constexpr double reserved_share_per_priority = 0.1;
constexpr int lowest_priority = 4;
constexpr double share_reserved_from_hedges = 0.3;

/// Until a call of a route has been served, its expected work is the time to its objective divided by this.
constexpr int initial_work_divisor = 3;

/// Occupancies are estimates with fractions; they are compared with whole slots as if rounded.
constexpr double occupancy_rounding = 0.5;

/// A call is not started when it would miss its deadline even if it took only this share of its estimated
/// time.
constexpr double optimistic_estimate_share = 0.5;

/// Weight of a sample in the moving average of a route's work. A sample counts as at most the given multiple
/// of the average, so that a single slow call does not distort it.
constexpr double work_sample_weight = 0.05;
constexpr double max_work_sample_factor = 3.0;

/// Maximum number of waiting calls that will miss their latency objective, as a share of this node's slots.
/// They use the slots that calls which can meet their objective leave free; more of them would only wait and
/// then be rejected.
constexpr double late_call_slot_share = 0.5;
constexpr double min_late_calls = 2.0;

/// A node's share of the slots may be small or not known; the outlook needs a positive number.
constexpr double min_slots = 0.05;

/// Period at which the failure rates of all upstreams are read.
constexpr duration failure_rates_period = 20ms;

/// Period at which the mean slowdowns of all upstreams are read.
constexpr duration typical_slowdown_period = 100ms;
constexpr double max_typical_slowdown_factor = 10.0;

} // namespace

service_state::service_state(std::string name, const service_config& config, time_point now,
                             bool upstreams_are_new)
    : name_(std::move(name)), config_(config), picker_(make_picker(config.policy_.picker_)), created_at_(now),
      knows_fleet_size_(upstreams_are_new)
{
    configure(config, now, upstreams_are_new);
}

void service_state::configure(const service_config& config, time_point now, bool upstreams_are_new)
{
    config_ = config;
    picker_ = make_picker(config.policy_.picker_);
    configure_budgets();
    for (const auto& [name, upstream] : config.upstreams_) {
        const auto found = upstreams_.find(name);
        if (found == upstreams_.end()) {
            const auto added =
                upstreams_.emplace(name, std::make_unique<upstream_tracker>(name, upstream, now)).first;
            upstreams_by_name_[name] = added->second.get();
            begin_warm_up(*added->second, upstreams_are_new, now);
        }
        else {
            const bool is_other = found->second->configure(upstream, now);
            begin_warm_up(*found->second, is_other, now);
        }
    }
    for (const auto& [name, tracker] : upstreams_) {
        if (!config.upstreams_.contains(name)) {
            tracker->mark_unlisted();
            has_unlisted_ = true;
        }
    }
    drop_finished_upstreams();
}

void service_state::begin_warm_up(upstream_tracker& upstream, bool is_new, time_point now)
{
    const auto& policy = config_.policy_;
    upstream.gate().set_warm_up_rate(policy.warm_up_rate_);
    if (policy.warm_up_rate_ <= 0) {
        return;
    }
    known_incarnations_.remove_until(now - known_incarnation_retention);
    const auto& config = upstream.config();
    const bool unknown =
        known_incarnations_.insert(upstream.name() + "\n" + config.ip_ + "\n" + std::to_string(config.port_) +
                                       "\n" + config.incarnation_,
                                   now);
    if (is_new && unknown && config.warm_up_.count() == 0) {
        upstream.gate().extend_warm_up(policy.warm_up_, now);
    }
}

void service_state::set_evacuated(const std::set<std::string>& data_centres, time_point now)
{
    for (const auto& [unused, tracker] : upstreams_) {
        const bool evacuated = data_centres.contains(tracker->config().data_centre_);
        if (tracker->gate().set_evacuated(evacuated, now) && config_.policy_.warm_up_rate_ > 0) {
            tracker->gate().extend_warm_up(config_.policy_.warm_up_, now);
        }
    }
}

bool service_state::has_evacuated_upstream() const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(), [](const auto& entry) {
        return entry.second->listed() && !entry.second->leaving() && entry.second->gate().evacuated();
    });
}

void service_state::set_fleet_position(const fleet_position& position)
{
    position_ = position;
    largest_fleet_ = std::max(largest_fleet_, position.nodes_);
    configure_budgets();
}

void service_state::update_fleet_size(time_point now)
{
    if (knows_fleet_size_) {
        return;
    }
    if (position_.nodes_ != last_fleet_size_) {
        last_fleet_size_ = position_.nodes_;
        fleet_size_changed_at_ = now;
    }
    const bool stable = position_.nodes_ > 1 && position_.nodes_ < large_fleet &&
                        now - fleet_size_changed_at_ >= stable_size_time;
    if (stable || now - created_at_ >= learning_time) {
        knows_fleet_size_ = true;
        configure_budgets();
    }
}

void service_state::configure_budgets()
{
    const auto& policy = config_.policy_;
    double slack = policy.retry_budget_slack_;
    double ratio = policy.retry_share_;
    if (policy.shared_retry_budget_) {
        const bool large = largest_fleet_ >= large_fleet;
        const auto nodes = large ? largest_fleet_ : position_.nodes_;
        const bool alone = position_.nodes_ == 1 && !large;
        const auto share_count =
            std::max(knows_fleet_size_ || alone ? min_share_count : share_count_at_start, nodes);
        slack = slack * distributed_slack_share / static_cast<double>(share_count);
        ratio *= large ? earned_share_in_large_fleets : 1.0;
    }
    retry_budget_.configure({ratio, slack, 10s});
    hedge_budget_.configure({policy.hedge_share_, slack, 10s});
}

void service_state::drop_finished_upstreams()
{
    if (!has_unlisted_) {
        return;
    }
    has_unlisted_ = false;
    std::erase_if(upstreams_, [&](const auto& entry) {
        const bool finished = !entry.second->listed() && entry.second->in_flight() == 0;
        has_unlisted_ = has_unlisted_ || (!finished && !entry.second->listed());
        if (finished) {
            upstreams_by_name_.erase(entry.first);
        }
        return finished;
    });
}

void service_state::unlist_all()
{
    for (const auto& [unused, tracker] : upstreams_) {
        tracker->mark_unlisted();
        has_unlisted_ = true;
    }
}

bool service_state::has_room(const upstream_tracker& upstream, time_point now) const
{
    if (upstream.in_flight() >= connection_limit() || upstream.gate().obstacle(send_purpose::call, now)) {
        return false;
    }
    if (uses_earliest_finish()) {
        // A decaying load report leaves a fraction of a call behind, which occupies no slot.
        return upstream.occupancy(now) <= upstream.slots(config_.policy_.slots_) - occupancy_rounding;
    }
    return upstream.in_flight() < config_.policy_.slots_;
}

int service_state::connection_limit() const
{
    const auto nodes = static_cast<double>(position_.nodes_);
    const double share = position_.nodes_ > 1 ? used_connection_share : 1.0;
    return std::max(1, static_cast<int>(config_.policy_.worker_connections_ * share / nodes));
}

bool service_state::excluded(const upstream_tracker& upstream, time_point now) const
{
    if (uses_earliest_finish()) {
        return !upstream.reachable(now);
    }
    return upstream.ejected(now);
}

bool service_state::all_upstreams_excluded(time_point now) const
{
    return std::none_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        return entry.second->receives_calls() && !excluded(*entry.second, now);
    });
}

int service_state::usual_slots() const
{
    return upstreams_.empty() ? config_.policy_.slots_
                              : upstreams_.begin()->second->slots(config_.policy_.slots_);
}

pick_context service_state::context_for(const call& wanted, time_point now) const
{
    const auto typical = latencies_.empty() ? initial_latency : latencies_.median();
    return {now,
            typical,
            config_.policy_.slots_,
            expected_work(wanted),
            typical_slowdown_,
            contention_.factor(usual_slots()),
            position_.data_centre_,
            wanted.repeatable_,
            unavoidable_failure_rate(now),
            wanted.objective_ - now,
            connections_,
            makes_all_calls_};
}

double service_state::unavoidable_failure_rate(time_point now) const
{
    if (now - failure_rates_read_at_ < failure_rates_period) {
        return unavoidable_failure_rate_;
    }
    failure_rates_read_at_ = now;
    std::vector<double> rates;
    rates.reserve(upstreams_.size());
    for (const auto& [unused, tracker] : upstreams_) {
        if (tracker->receives_calls() && !excluded(*tracker, now)) {
            rates.push_back(tracker->failure_rate(now));
        }
    }
    const auto quartile = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 4);
    std::nth_element(rates.begin(), quartile, rates.end());
    unavoidable_failure_rate_ = rates.empty() ? 0.0 : *quartile;
    return unavoidable_failure_rate_;
}

upstream_tracker* service_state::choose(const call& wanted, const std::set<std::string>& tried,
                                        random_port& random, time_point now)
{
    const bool try_excluded = all_upstreams_excluded(now);
    std::vector<const upstream_tracker*> candidates;
    candidates.reserve(upstreams_.size());
    for (const auto& [name, tracker] : upstreams_) {
        const bool usable = !excluded(*tracker, now) || (try_excluded && tracker->in_flight() == 0);
        if (usable && has_room(*tracker, now) && !tried.contains(name)) {
            candidates.push_back(tracker.get());
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    const auto context = context_for(wanted, now);
    const std::size_t chosen =
        std::visit([&](const auto& rule) { return rule.pick(candidates, context, random); }, picker_);
    return find(candidates[chosen]->name());
}

std::optional<hold_reason> service_state::reason_to_hold(const call& wanted, const upstream_tracker* offered,
                                                         time_point now) const
{
    if (offered == nullptr) {
        return hold_reason::no_room;
    }
    if (better_to_wait(wanted, *offered, now)) {
        return hold_reason::better_to_wait;
    }
    if (unlikely_to_meet_deadline(wanted, *offered, now)) {
        return hold_reason::too_late_there;
    }
    if (reserved_for_timely_calls(wanted, *offered, now)) {
        return hold_reason::reserved_for_timely_calls;
    }
    return std::nullopt;
}

bool service_state::better_to_wait(const call& wanted, const upstream_tracker& offered, time_point now) const
{
    if (!uses_earliest_finish()) {
        return false;
    }
    const auto context = context_for(wanted, now);
    const duration finish = expected_finish(offered, context);
    if (now + finish <= wanted.objective_ || now >= wanted.objective_) {
        return false;
    }
    const waiting_call as_waiting{wanted.id_,       wanted.priority_,  wanted.objective_,
                                  wanted.deadline_, wanted.is_resend_, context.work_};
    const duration wait = expected_queue_wait(queue_.ahead_of(as_waiting, now));
    // The slot to wait for is at one of the faster upstreams, which are not at usual speed either.
    const duration run = expected_duration(context.work_, fast_slowdown_, typical_slowdown_);
    return wait + run < finish && now + wait + run <= wanted.objective_;
}

bool service_state::unlikely_to_meet_deadline(const call& wanted, const upstream_tracker& offered,
                                              time_point now) const
{
    if (!uses_earliest_finish()) {
        return false;
    }
    const auto finish = static_cast<double>(expected_finish(offered, context_for(wanted, now)).count());
    const auto optimistic_finish = duration(static_cast<duration::rep>(finish * optimistic_estimate_share));
    return now + optimistic_finish > wanted.deadline_;
}

bool service_state::reserved_for_timely_calls(const call& wanted, const upstream_tracker& offered,
                                              time_point now) const
{
    if (!uses_earliest_finish() ||
        now + expected_finish(offered, context_for(wanted, now)) <= wanted.objective_) {
        return false;
    }
    // Another call would slow down the upstream's running calls by more than it adds in throughput.
    if (offered.occupancy(now) + occupancy_rounding >
        contention_.useful_slots(offered.slots(config_.policy_.slots_))) {
        return true;
    }
    const bool late_anywhere = now + expected_work(wanted) > wanted.objective_;
    return late_anywhere && !reserve(now).open_to_late_calls();
}

slot_reserve service_state::reserve(time_point now) const
{
    slot_reserve counted;
    for (const auto& [unused, tracker] : upstreams_) {
        const bool usual =
            tracker->receives_calls() && !excluded(*tracker, now) &&
            tracker->slowdown(now, typical_slowdown_) < slot_reserve::max_usual_slowdown_factor;
        if (usual) {
            counted.add(contention_.useful_slots(tracker->slots(config_.policy_.slots_)),
                        tracker->occupancy(now));
        }
    }
    return counted;
}

time_point service_state::held_until(const std::set<std::string>& tried) const
{
    auto earliest = time_point::max();
    for (const auto& [name, tracker] : upstreams_) {
        if (tracker->receives_calls() && !tried.contains(name)) {
            earliest = std::min(earliest, tracker->gate().paused_until());
        }
    }
    return earliest == time_point::max() ? time_point{} : earliest;
}

bool service_state::has_eligible_upstream(const std::set<std::string>& tried) const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        return entry.second->receives_calls() && !tried.contains(entry.first);
    });
}

bool service_state::reaches_none(time_point now) const
{
    return has_eligible_upstream({}) &&
           std::none_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
               return entry.second->receives_calls() && entry.second->reached_by_this_node(now);
           });
}

std::map<std::string, int> service_state::restricted(time_point now) const
{
    std::map<std::string, int> counts;
    for (const auto& [unused, tracker] : upstreams_) {
        if (const auto obstacle = tracker->gate().obstacle(send_purpose::call, now)) {
            ++counts[std::string(name_of(*obstacle))];
        }
    }
    return counts;
}

upstream_tracker* service_state::find(const std::string& upstream)
{
    const auto found = upstreams_by_name_.find(upstream);
    return found == upstreams_by_name_.end() ? nullptr : found->second;
}

void service_state::on_load(upstream_tracker& upstream, const load_report& report, time_point measured_at)
{
    upstream.on_load(report, measured_at);
    if (report.slowdown_ && measured_at - typical_slowdown_read_at_ >= typical_slowdown_period) {
        update_typical_slowdown(measured_at);
    }
}

void service_state::update_typical_slowdown(time_point now)
{
    typical_slowdown_read_at_ = now;
    std::vector<double> means;
    std::vector<double> present;
    means.reserve(upstreams_.size());
    present.reserve(upstreams_.size());
    for (const auto& [unused, tracker] : upstreams_) {
        if (tracker->receives_calls() && tracker->report_time()) {
            means.push_back(makes_all_calls_ ? tracker->slowdown_of_work(typical_slowdown_)
                                             : tracker->mean_slowdown(typical_slowdown_));
            present.push_back(tracker->slowdown(now, typical_slowdown_));
        }
    }
    if (means.empty()) {
        return;
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    typical_slowdown_ = std::clamp(*middle, 1.0, max_typical_slowdown_factor);
    const auto quartile = present.begin() + static_cast<std::ptrdiff_t>(present.size() / 4);
    std::nth_element(present.begin(), quartile, present.end());
    fast_slowdown_ = std::max(1.0, *quartile);
}

void service_state::learn_work(const call& served, const upstream_tracker& upstream, int running,
                               duration work)
{
    const int slots = upstream.slots(config_.policy_.slots_);
    if (running > contention_estimator::max_uncontended_calls(slots)) {
        const auto usual = static_cast<double>(expected_work(served).count());
        contention_.add_sample(running, slots, static_cast<double>(work.count()) / usual);
        return;
    }
    const auto [entry, first] = work_by_route_.try_emplace(served.route_, work);
    if (first) {
        return;
    }
    const auto known = static_cast<double>(entry->second.count());
    const auto sample = std::min(static_cast<double>(work.count()), known * max_work_sample_factor);
    entry->second = duration(static_cast<duration::rep>(known + (sample - known) * work_sample_weight));
}

duration service_state::expected_work(const call& wanted) const
{
    const auto known = work_by_route_.find(wanted.route_);
    if (known != work_by_route_.end()) {
        return std::max<duration>(1ms, known->second);
    }
    return std::max<duration>(1ms, (wanted.objective_ - wanted.arrival_) / initial_work_divisor);
}

bool service_state::has_any_room(time_point now) const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(),
                       [&](const auto& entry) { return has_room(*entry.second, now); });
}

double service_state::usable_slots(const upstream_tracker& upstream) const
{
    const double slots = upstream.slots(config_.policy_.slots_);
    const auto limit = upstream.gate().limit().latest().per_second_;
    const std::chrono::duration<double> latency = latencies_.median();
    return limit ? std::min(slots, *limit * latency.count()) : slots;
}

double service_state::slots_of_this_node() const
{
    double slots = 0;
    for (const auto& [unused, tracker] : upstreams_) {
        slots += tracker->receives_calls() ? usable_slots(*tracker) : 0;
    }
    const auto serving_nodes = std::max<std::size_t>(1, position_.nodes_ - position_.cut_off_nodes_);
    return uses_earliest_finish() ? slots / static_cast<double>(serving_nodes) : slots;
}

duration service_state::expected_queue_wait(std::size_t ahead) const
{
    const double share = slots_of_this_node();
    if (share == 0 || latencies_.empty()) {
        return {};
    }
    const auto turns = static_cast<double>(ahead) + (uses_earliest_finish() ? 1.0 : 0.0);
    const auto median = static_cast<double>(latencies_.median().count());
    return duration(static_cast<duration::rep>(median * turns / share));
}

double service_state::max_late_calls() const
{
    return std::max(min_late_calls, slots_of_this_node() * late_call_slot_share);
}

bool service_state::may_wait(const waiting_call& waiting, time_point now) const
{
    const duration wait = expected_queue_wait(queue_.ahead_of(waiting, now));
    if (now + wait + waiting.work_ <= waiting.objective_) {
        return true;
    }
    return now + wait + waiting.work_ <= waiting.deadline_ &&
           queue_.late(now) < static_cast<std::size_t>(max_late_calls());
}

capacity_outlook service_state::capacity(time_point now) const
{
    // Expected work is that at usual speed; slots do less of it per unit of time while upstreams are slow.
    return {std::max(min_slots, slots_of_this_node() / typical_slowdown_),
            has_any_room(now) ? duration{} : expected_queue_wait(0), max_late_calls()};
}

bool service_state::take_retry(const call& wanted, time_point now)
{
    update_fleet_size(now);
    const bool shared = config_.policy_.shared_retry_budget_;
    const double reserved_share =
        shared ? reserved_share_per_priority * std::min(wanted.priority_, lowest_priority) : 0.0;
    return retry_budget_.take(now, reserved_share);
}

bool service_state::take_hedge(time_point now)
{
    update_fleet_size(now);
    return hedge_budget().take(now, config_.policy_.shared_retry_budget_ ? share_reserved_from_hedges : 0.0);
}

duration service_state::failure_penalty() const
{
    const auto typical = latencies_.empty() ? initial_latency : latencies_.p95();
    return typical * failure_penalty_factor;
}

} // namespace anvilpost
