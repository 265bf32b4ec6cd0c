// Divides the slots of a service's upstreams among the nodes, so that a node can use its own slots without
// coordinating with the others. Only tail latency depends on this division: nodes whose views differ may
// use the same slot, and then a request waits, but nothing else goes wrong.
#pragma once

#include "core/configuration/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace anvilpost {

/// A node that is assigned a share of the slots.
struct slot_owner {
    std::string name_;
    std::string data_centre_;
};

/// Returns how many slots of each upstream the node `self` owns; upstreams of which it owns none are left
/// out. `owners` must contain `self`. Slots and nodes are sorted by data centre, so that most slots are
/// owned by a node of their own data centre. The numbers of slots that two nodes own differ by at most one.
std::map<std::string, int> count_owned_slots(const std::string& service, const service_config& config,
                                             std::vector<slot_owner> owners, const std::string& self);

} // namespace anvilpost
