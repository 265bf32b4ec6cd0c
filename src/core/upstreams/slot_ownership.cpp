// Implements the division of slots: sorts slots and nodes by data centre and assigns each node, in order,
// the next run of slots.
#include "core/upstreams/slot_ownership.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <tuple>

namespace anvilpost {
namespace {

struct slot {
    std::string data_centre_;
    std::uint64_t hash_ = 0;
    std::string upstream_;
};

/// Returns the slots of all upstreams that receive calls, sorted by data centre and then by a hash that is
/// the same on every node.
std::vector<slot> ordered_slots(const std::string& service, const service_config& config)
{
    std::vector<slot> slots;
    for (const auto& [name, upstream] : config.upstreams_) {
        const bool receives_calls =
            upstream.state_ == upstream_state::active || upstream.state_ == upstream_state::arriving;
        for (int i = 0; receives_calls && i < config.policy_.slots_; ++i) {
            slots.push_back(
                {upstream.data_centre_, stable_hash(service + "/" + name + "/" + std::to_string(i)), name});
        }
    }
    std::sort(slots.begin(), slots.end(), [](const slot& a, const slot& b) {
        return std::tie(a.data_centre_, a.hash_) < std::tie(b.data_centre_, b.hash_);
    });
    return slots;
}

} // namespace

std::map<std::string, int> count_owned_slots(const std::string& service, const service_config& config,
                                             std::vector<slot_owner> owners, const std::string& self)
{
    std::sort(owners.begin(), owners.end(), [](const slot_owner& a, const slot_owner& b) {
        return std::tie(a.data_centre_, a.name_) < std::tie(b.data_centre_, b.name_);
    });
    const auto slots = ordered_slots(service, config);
    std::map<std::string, int> owned;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        const auto& owner = owners[i * owners.size() / slots.size()];
        if (owner.name_ == self) {
            ++owned[slots[i].upstream_];
        }
    }
    return owned;
}

} // namespace anvilpost
