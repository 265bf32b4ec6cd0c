// Collects the service-level counts (calls, failures, slow calls) of all nodes for the operators' report on
// how fast each service's error budget burns.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/operators/intent_service.h"
#include "core/burn/burn_ledger.h"
#include "core/fleet/membership.h"

#include <functional>
#include <vector>

namespace anvilpost {

/// Where the report takes its input from.
struct burn_sources {
    std::function<std::map<std::string, service_burn>()> local_; ///< This node's own counts.
    std::function<std::vector<member>()> peers_;                 ///< All other known nodes, live or not.
    std::function<const configuration&()> configuration_;        ///< The configuration in force.
};

/// Requests the counts of each peer from its admin interface, adds them up and calls `done` once with the
/// report. Returns at once. A node that sends no usable response within two seconds is named in the report as
/// missing.
void collect_burn(event_loop& loop, const burn_sources& sources,
                  std::function<void(const api_response&)> done);

} // namespace anvilpost
