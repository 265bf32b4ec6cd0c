// Collects the burn counts of all nodes for the operators' report.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/operators/intent_service.h"
#include "core/burn/burn_ledger.h"
#include "core/fleet/membership.h"

#include <functional>
#include <vector>

namespace anvilpost {

/// What the report is made from.
struct burn_sources {
    std::function<std::map<std::string, service_burn>()> local_; ///< This node's own counts.
    std::function<std::vector<member>()> peers_;                 ///< All other nodes heard of.
    std::function<const configuration&()> configuration_;
};

/// Asks each peer's admin interface for its counts and adds them up. A node that does not answer is
/// named in the report.
void collect_burn(event_loop& loop, const burn_sources& sources, std::function<void(const api_answer&)> done);

} // namespace anvilpost
