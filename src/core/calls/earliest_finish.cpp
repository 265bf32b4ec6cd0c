// Computes the expected finish time of a call at an upstream and picks the upstream with the earliest one.
// docs/design/placing.md derives the estimate.
#include "core/calls/earliest_finish.h"

#include "core/calls/contention_estimator.h"

#include <optional>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Mean time until an upstream's present speed changes. Other tenants of a shared machine change it about
/// twice a second, and a call starts on average halfway between two changes.
constexpr duration mean_speed_duration = 250ms;

/// Penalty of a full upstream over an empty one, as a share of the call's work, since a node's knowledge of
/// the upstream's load is slightly outdated.
constexpr double load_penalty_share = 0.25;

/// Slowdown of an upstream that has just started and is still warming up.
constexpr double warm_up_slowdown_factor = 2.0;

/// Penalty of an upstream in another data centre, for the traffic between data centres: a share of the
/// call's work plus a round trip.
constexpr double remote_penalty_share = 0.15;
constexpr duration remote_round_trip = 2ms;

/// Cost of a failed call in multiples of its work. A repeatable call is retried; an unrepeatable one is lost.
constexpr double repeatable_failure_cost_factor = 3.0;
constexpr double unrepeatable_failure_cost_factor = 12.0;

/// Penalty, in multiples of the call's work, of an upstream that reports itself unhealthy, even while all
/// other signs are good.
constexpr double unhealthy_penalty_factor = 4.0;

/// Candidates whose finish is later than the best by at most this share of the call's work are treated as
/// equal to the best.
constexpr double near_best_tolerance_share = 0.1;

/// An idle connection is preferred to a new one where the call then finishes later by at most this share of
/// its work, and within this share of the time that is left before its objective. The rest of that time is a
/// margin, since durations vary.
constexpr double connected_tolerance_share = 0.3;
constexpr double usable_time_share = 0.66;

duration scaled(duration length, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * factor));
}

/// True when this node has an idle connection to the candidate which the call may use, or when the candidate
/// has had no call yet and this node makes all calls.
bool is_preferred(const upstream_tracker& candidate, const pick_context& context)
{
    const bool unused =
        candidate.own_calls_served() == 0 && candidate.own_calls_failed() == 0 && candidate.in_flight() == 0;
    if (context.makes_all_calls_ && unused) {
        return true;
    }
    const auto need = context.repeatable_ ? connection_need::any : connection_need::recently_used;
    return context.connections_->has_idle_connection(candidate.config().ip_, candidate.config().port_, need);
}

/// Returns the candidate that finishes first among the preferred ones, unless that would cost the call too
/// much time.
std::optional<std::size_t> best_preferred(candidate_list candidates, const std::vector<duration>& finishes,
                                          std::size_t best, const pick_context& context)
{
    if (context.connections_ == nullptr) {
        return std::nullopt;
    }
    const duration latest = std::min(finishes[best] + scaled(context.work_, connected_tolerance_share),
                                     scaled(context.time_left_, usable_time_share));
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < finishes.size(); ++i) {
        const bool crosses_border =
            candidates[i]->config().data_centre_ != candidates[best]->config().data_centre_ &&
            candidates[i]->config().data_centre_ != context.data_centre_;
        if (finishes[i] <= latest && !crosses_border && (!chosen || finishes[i] < finishes[*chosen]) &&
            is_preferred(*candidates[i], context)) {
            chosen = i;
        }
    }
    return chosen;
}

/// Slowdown that is expected after the present one. A node that does not make all calls learns of the others'
/// late, and takes the higher of the two means as a margin.
double later_slowdown(const upstream_tracker& upstream, const pick_context& context)
{
    const double typical = context.typical_slowdown_;
    return std::max(1.0, context.makes_all_calls_ ? upstream.slowdown_of_work(typical)
                                                  : upstream.mean_slowdown(typical));
}

double failure_cost_factor(const pick_context& context)
{
    return context.repeatable_ ? repeatable_failure_cost_factor : unrepeatable_failure_cost_factor;
}

} // namespace

duration expected_duration(duration work, double slowdown, double mean_slowdown)
{
    const duration at_present_speed = scaled(work, slowdown);
    if (at_present_speed <= mean_speed_duration) {
        return at_present_speed;
    }
    return mean_speed_duration + scaled(work - scaled(mean_speed_duration, 1 / slowdown), mean_slowdown);
}

duration expected_finish(const upstream_tracker& upstream, const pick_context& context)
{
    const double slots = std::max(1, upstream.slots(context.slots_));
    const double occupancy = upstream.occupancy(context.now_);
    double slowdown = upstream.slowdown(context.now_, context.typical_slowdown_);
    if (upstream.assumed_slow(context.now_)) {
        slowdown *= warm_up_slowdown_factor;
    }
    if (occupancy + 1 > contention_estimator::max_uncontended_calls(upstream.slots(context.slots_))) {
        slowdown *= context.contention_factor_;
    }
    const duration run = expected_duration(context.work_, slowdown, later_slowdown(upstream, context));
    const double queued_rounds = std::max(0.0, occupancy + 1 - slots) / slots;
    duration total =
        run + scaled(run, queued_rounds) + scaled(context.work_, load_penalty_share * occupancy / slots);
    if (!context.data_centre_.empty() && upstream.config().data_centre_ != context.data_centre_) {
        total += remote_round_trip + scaled(context.work_, remote_penalty_share);
    }
    const double avoidable_failure_rate =
        std::max(0.0, upstream.failure_rate(context.now_) - context.unavoidable_failure_rate_);
    total += scaled(context.work_, avoidable_failure_rate * failure_cost_factor(context));
    if (upstream.reported_unhealthy()) {
        total += scaled(context.work_, unhealthy_penalty_factor);
    }
    return total;
}

std::size_t earliest_finish_picker::pick(candidate_list candidates, const pick_context& context,
                                         random_port& random) const
{
    std::vector<duration> finishes;
    finishes.reserve(candidates.size());
    for (const auto* upstream : candidates) {
        // Fewer failures than most upstreams have make no call faster, but the upstream the better choice.
        const double fewer_failures =
            std::max(0.0, context.unavoidable_failure_rate_ - upstream->failure_rate(context.now_));
        finishes.push_back(expected_finish(*upstream, context) -
                           scaled(context.work_, fewer_failures * failure_cost_factor(context)));
    }
    const auto best =
        static_cast<std::size_t>(std::min_element(finishes.begin(), finishes.end()) - finishes.begin());
    const duration latest_near_best = finishes[best] + scaled(context.work_, near_best_tolerance_share);
    std::vector<std::size_t> near_best;
    std::vector<std::size_t> near_best_preferred;
    for (std::size_t i = 0; i < finishes.size(); ++i) {
        if (finishes[i] > latest_near_best) {
            continue;
        }
        near_best.push_back(i);
        if (context.connections_ != nullptr && is_preferred(*candidates[i], context)) {
            near_best_preferred.push_back(i);
        }
    }
    if (!near_best_preferred.empty()) {
        return near_best_preferred[random_below(random, near_best_preferred.size())];
    }
    const auto preferred = best_preferred(candidates, finishes, best, context);
    return preferred ? *preferred : near_best[random_below(random, near_best.size())];
}

} // namespace anvilpost
