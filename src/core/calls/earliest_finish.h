// Estimates from an upstream's present speed and load when it would finish a call, and picks the upstream
// that would finish first. It is meant for services where some upstreams run several times slower than
// usual and which ones are slow changes a few times per second.
#pragma once

#include "core/calls/picker.h"

namespace anvilpost {

/// Returns how long a call takes that needs `work` at usual speed. The upstream's present `slowdown` is
/// expected to last for `mean_speed_duration`; the rest of the work runs at its `mean_slowdown`. Both are
/// factors of at least 1.
duration expected_duration(duration work, double slowdown, double mean_slowdown);

/// Returns the expected time from now until the upstream has finished the call of `context`. The cost of
/// failures there is included, expressed as time.
duration expected_finish(const upstream_tracker& upstream, const pick_context& context);

/// Picks at random among the candidates that are nearly as good as the best, so that nodes with the same
/// knowledge do not all choose the same upstream. Among these it prefers upstreams to which this node has an
/// idle connection: in a fleet of many nodes and upstreams, a node would otherwise open a new one for most
/// calls.
struct earliest_finish_picker {
    std::size_t pick(candidate_list candidates, const pick_context& context, random_port& random) const;
};

} // namespace anvilpost
