// Divides the slots of a service's upstreams among the nodes, so that a node can use its own slots
// without asking anyone. Only the tail of the latency rests on it: nodes with different views may use
// the same slot, which then costs a wait and nothing else.
#pragma once

#include "core/configuration/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace anvilpost {

/// A node that takes part in the division.
struct slot_owner {
    std::string name_;
    std::string data_centre_;
};

/// Returns how many slots of each upstream `self` owns. `owners` must contain `self`. Slots and nodes
/// are ordered by data centre, so that most slots are owned in their own data centre; every node owns
/// the same number of slots, give or take one.
std::map<std::string, int> own_slots(const std::string& service, const service_config& config,
                                     std::vector<slot_owner> owners, const std::string& self);

} // namespace anvilpost
