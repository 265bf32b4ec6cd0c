// Reads the platform's list of VMs to find out which upstreams are leaving.
#pragma once

#include "core/configuration/configuration.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost {

/// One incarnation of an upstream that is leaving.
struct leaving_upstream {
    std::string service_;
    std::string upstream_;
    std::string incarnation_;

    bool operator==(const leaving_upstream&) const = default;
};

/// Returns the upstreams of `config` that the list marks as leaving. The list has the form of Consul's
/// catalogue: each entry has an `Address` and, in `Meta`, a `state` and optionally a `port` and an
/// `incarnation`. Malformed entries are skipped, since the list can only add upstreams that leave, never
/// bring one back.
std::vector<leaving_upstream> find_leaving_upstreams(const nlohmann::json& vm_list,
                                                     const configuration& config);

} // namespace anvilpost
