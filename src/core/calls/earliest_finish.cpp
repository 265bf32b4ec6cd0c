// Computes the expected finish time of a call at an upstream and picks the upstream with the earliest one.
// docs/design/placing.md derives the estimate.
#include "core/calls/earliest_finish.h"

#include "core/calls/crowding.h"

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Mean time until an upstream's present speed changes. Other tenants of a shared machine change it about
/// twice a second, and a call starts on average halfway between two changes.
constexpr duration speed_spell = 250ms;

/// Penalty of a full upstream over an empty one, as a share of the call's work, since a node's knowledge of
/// the upstream's load is slightly outdated.
constexpr double load_part_of_work = 0.25;

/// Slowdown of an upstream that has just started and is still warming up.
constexpr double cold_slowdown = 2.0;

/// Penalty of an upstream in another data centre, for the traffic between data centres: a share of the
/// call's work plus a round trip.
constexpr double remote_part_of_work = 0.15;
constexpr duration remote_trip = 2ms;

/// Cost of a failed call in multiples of its work. A repeatable call is retried; an unrepeatable one is lost.
constexpr double failure_cost_repeatable = 3.0;
constexpr double failure_cost_unrepeatable = 12.0;

/// Penalty, in multiples of the call's work, of an upstream that reports itself unhealthy while all other
/// signs are good.
constexpr double unhealthy_part_of_work = 4.0;

/// Candidates whose finish is later than the best by at most this share of the call's work are treated as
/// equal to the best.
constexpr double indifference = 0.1;

duration scaled(duration length, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * factor));
}

} // namespace

duration expected_duration(duration work, double slowdown, double typical)
{
    const duration at_this_speed = scaled(work, slowdown);
    if (at_this_speed <= speed_spell) {
        return at_this_speed;
    }
    return speed_spell + scaled(work - scaled(speed_spell, 1 / slowdown), typical);
}

duration expected_finish(const upstream_tracker& upstream, const pick_context& context)
{
    const double slots = std::max(1, upstream.slots(context.slots_));
    const double occupied = upstream.occupancy(context.now_);
    double speed = upstream.slowdown(context.now_, context.typical_slowdown_);
    if (upstream.warming_up(context.now_)) {
        speed *= cold_slowdown;
    }
    if (occupied + 1 > crowding::comfortable(upstream.slots(context.slots_))) {
        speed *= context.crowding_factor_;
    }
    const duration run = expected_duration(context.work_, speed, std::max(1.0, context.typical_slowdown_));
    const double turns_ahead = std::max(0.0, occupied + 1 - slots) / slots;
    duration total =
        run + scaled(run, turns_ahead) + scaled(context.work_, load_part_of_work * occupied / slots);
    if (!context.data_centre_.empty() && upstream.config().data_centre_ != context.data_centre_) {
        total += remote_trip + scaled(context.work_, remote_part_of_work);
    }
    const double failure_cost = context.repeatable_ ? failure_cost_repeatable : failure_cost_unrepeatable;
    total += scaled(context.work_, upstream.failure_rate(context.now_) * failure_cost);
    if (upstream.says_unhealthy()) {
        total += scaled(context.work_, unhealthy_part_of_work);
    }
    return total;
}

std::size_t earliest_finish_picker::pick(candidate_list candidates, const pick_context& context,
                                         random_port& random) const
{
    std::vector<duration> finishes;
    finishes.reserve(candidates.size());
    for (const auto* upstream : candidates) {
        finishes.push_back(expected_finish(*upstream, context));
    }
    const duration best = *std::min_element(finishes.begin(), finishes.end());
    const duration good_enough = best + scaled(context.work_, indifference);
    std::vector<std::size_t> good;
    for (std::size_t i = 0; i < finishes.size(); ++i) {
        if (finishes[i] <= good_enough) {
            good.push_back(i);
        }
    }
    return good[random_below(random, good.size())];
}

} // namespace anvilpost
