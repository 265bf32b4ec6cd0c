// Estimates when an upstream would finish a call, from its present speed and load, and picks the upstream
// that would finish first. It answers loads at which a part of the upstreams is several times slower than
// usual and the slow ones change a few times per second.
#pragma once

#include "core/calls/picker.h"

namespace anvilpost {

/// How long work of a usual length takes at a speed that holds for `speed_spell` on average and is then
/// drawn anew: `slowdown` now, `typical` afterwards.
duration expected_duration(duration work, double slowdown, double typical);

/// Expected time from now until the upstream has finished the call of `context`, including the cost of a
/// failure there, in the same unit.
duration expected_finish(const upstream_tracker& upstream, const pick_context& context);

/// Picks at random among those that are nearly as good as the best, so that nodes with the same
/// knowledge do not all choose the same upstream.
struct earliest_finish_picker {
    std::size_t pick(candidate_list candidates, const pick_context& context, random_port& random) const;
};

} // namespace anvilpost
