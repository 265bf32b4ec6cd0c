// Implements the matching of VM list entries with configured upstreams.
#include "core/upstreams/vm_list.h"

namespace anvilpost {
namespace {

struct leaving_vm {
    std::string ip_;
    std::string port_;        ///< Empty when every upstream on the VM leaves.
    std::string incarnation_; ///< Empty when any incarnation matches.
};

std::vector<leaving_vm> parse_leaving_vms(const nlohmann::json& vm_list)
{
    std::vector<leaving_vm> found;
    if (!vm_list.is_array()) {
        return found;
    }
    for (const auto& entry : vm_list) {
        const bool well_formed = entry.is_object() && entry.contains("Address") &&
                                 entry["Address"].is_string() && entry.contains("Meta") &&
                                 entry["Meta"].is_object();
        if (!well_formed) {
            continue;
        }
        const auto meta_field = [&](const char* name) {
            const auto& fields = entry["Meta"];
            return fields.contains(name) && fields[name].is_string() ? fields[name].get<std::string>() : "";
        };
        if (meta_field("state") == "leaving") {
            found.push_back(
                {entry["Address"].get<std::string>(), meta_field("port"), meta_field("incarnation")});
        }
    }
    return found;
}

bool matches(const leaving_vm& vm, const upstream_config& upstream)
{
    return vm.ip_ == upstream.ip_ && (vm.port_.empty() || vm.port_ == std::to_string(upstream.port_)) &&
           (vm.incarnation_.empty() || vm.incarnation_ == upstream.incarnation_);
}

} // namespace

std::vector<leaving_upstream> find_leaving_upstreams(const nlohmann::json& vm_list,
                                                     const configuration& config)
{
    std::vector<leaving_upstream> leaving;
    const auto vms = parse_leaving_vms(vm_list);
    for (const auto& [service_name, service] : config.services_) {
        for (const auto& [upstream_name, upstream] : service.upstreams_) {
            for (const auto& vm : vms) {
                if (matches(vm, upstream)) {
                    leaving.push_back({service_name, upstream_name, upstream.incarnation_});
                    break;
                }
            }
        }
    }
    return leaving;
}

} // namespace anvilpost
