// The platform's list of VMs, as far as it concerns upstreams: which of them are leaving.
#pragma once

#include "core/configuration/configuration.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost {

struct leaving_upstream {
    std::string service_;
    std::string upstream_;
    std::string incarnation_;

    bool operator==(const leaving_upstream&) const = default;
};

/// Returns the upstreams of `config` that the list shows as leaving. The list has the form of Consul's
/// catalogue, with `Address` and, in `Meta`, `state` and optionally `port` and `incarnation`. Entries
/// that cannot be read are passed over: the list only ever adds reasons to leave.
std::vector<leaving_upstream> find_leaving(const nlohmann::json& vm_list, const configuration& config);

} // namespace anvilpost
