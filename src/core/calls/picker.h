// Pickers: the rules for choosing an upstream. Each is a small type that satisfies the `picker` concept; a
// service's configuration names the one in use. docs/design/choosing-an-upstream.md compares them.
#pragma once

#include "core/configuration/configuration.h"
#include "core/upstreams/upstream_tracker.h"
#include "ports/random_port.h"
#include "ports/upstream_port.h"
#include "vocabulary/core_clock.h"

#include <algorithm>
#include <concepts>
#include <limits>
#include <span>
#include <string>
#include <vector>

namespace anvilpost {

/// Inputs of a picker besides the candidates.
struct pick_context {
    time_point now_{};
    duration typical_latency_{};     ///< Median latency of the service's recent calls.
    int slots_ = 1;                  ///< Calls that one upstream runs at the same time.
    duration work_{};                ///< Time that the call takes at an upstream of usual speed.
    double typical_slowdown_ = 1.0;  ///< Median of the means of the service's upstreams.
    double contention_factor_ = 1.0; ///< Slowdown of a nearly full upstream.
    std::string data_centre_{};      ///< Data centre of this node; empty: no preference.
    bool repeatable_ = true;         ///< Whether the call may be sent to more than one upstream.
    /// Failure rate that three quarters of the upstreams reach or exceed. No choice avoids it, so it counts
    /// against none of them.
    double unavoidable_failure_rate_ = 0.0;
    duration time_left_{}; ///< Until the call's latency objective; 0 or less: it is late.
    /// Tells to which upstreams there are idle connections; without it, none counts as preferable.
    const idle_connections* connections_ = nullptr;
    /// Whether this node makes, or grants, all calls of the service, so that it knows the load. Upstreams
    /// that have had no call yet are then preferred like those with an idle connection; they would get none
    /// otherwise.
    bool makes_all_calls_ = false;
};

using candidate_list = std::span<const upstream_tracker* const>;

/// A picker returns the index of the chosen candidate. The list is never empty.
template <class P>
concept picker = requires(const P rule, candidate_list candidates, const pick_context& context,
                          random_port& random)
{
    {
        rule.pick(candidates, context, random)
        } -> std::same_as<std::size_t>;
};

/// Power of two choices: draws two candidates at random and returns the index of the one with the lower
/// score, the first on a tie.
template <class Score>
std::size_t power_of_two_choices(candidate_list candidates, random_port& random, Score score)
{
    const std::size_t first = random_below(random, candidates.size());
    if (candidates.size() == 1) {
        return first;
    }
    std::size_t second = random_below(random, candidates.size() - 1);
    second += second >= first ? 1 : 0;
    return score(*candidates[second]) < score(*candidates[first]) ? second : first;
}

/// Baseline: power of two choices by this node's own calls in flight. A starting upstream (`ramp` below 1)
/// receives fewer calls.
struct least_in_flight_of_two_picker {
    std::size_t pick(candidate_list candidates, const pick_context& context, random_port& random) const
    {
        return power_of_two_choices(candidates, random, [&](const upstream_tracker& upstream) {
            return (upstream.in_flight() + 1.0) / upstream.ramp(context.now_);
        });
    }
};

/// Returns the expected time to a response: the wait for a slot plus the service time, in microseconds, with
/// a small preference for idle upstreams. Failures count as slow responses, so an upstream that fails fast
/// does not attract calls.
inline double expected_time(const upstream_tracker& upstream, const pick_context& context)
{
    const auto latency = upstream.smoothed_latency(context.now_, context.typical_latency_);
    const double load = upstream.estimated_load(context.now_) + 1.0;
    const double rounds = std::max(1.0, load / context.slots_);
    const double idle_preference = load / (10.0 * context.slots_);
    return static_cast<double>(latency.count() + 1) * (rounds + idle_preference) /
           upstream.ramp(context.now_);
}

/// Power of two choices by the expected time to a response.
struct expected_wait_picker {
    std::size_t pick(candidate_list candidates, const pick_context& context, random_port& random) const
    {
        return power_of_two_choices(candidates, random, [&](const upstream_tracker& upstream) {
            return expected_time(upstream, context);
        });
    }
};

/// Prefers upstreams with a free slot that this node owns, since no other node should be using those slots.
/// When all owned slots are in use or their upstreams are slow, all candidates are considered. Either way
/// the choice is by `expected_wait_picker`.
struct owned_slots_picker {
    /// Upstreams slower than this multiple of the typical latency count as slow.
    static constexpr double slow_factor = 2.0;

    std::size_t pick(candidate_list candidates, const pick_context& context, random_port& random) const
    {
        const double max_latency = slow_factor * static_cast<double>(context.typical_latency_.count());
        std::vector<const upstream_tracker*> owned_candidates;
        std::vector<std::size_t> owned_indices;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto& upstream = *candidates[i];
            const auto latency = upstream.smoothed_latency(context.now_, context.typical_latency_);
            const bool fast = static_cast<double>(latency.count()) <= max_latency;
            if (upstream.in_flight() < upstream.owned_slots() && fast) {
                owned_candidates.push_back(&upstream);
                owned_indices.push_back(i);
            }
        }
        if (owned_candidates.empty()) {
            return expected_wait_picker{}.pick(candidates, context, random);
        }
        return owned_indices[expected_wait_picker{}.pick(owned_candidates, context, random)];
    }
};

static_assert(picker<least_in_flight_of_two_picker>);
static_assert(picker<expected_wait_picker>);
static_assert(picker<owned_slots_picker>);

} // namespace anvilpost
