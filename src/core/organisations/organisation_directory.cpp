// Builds the index of keys and answers look-ups.
#include "core/organisations/organisation_directory.h"

namespace anvilpost {

void organisation_directory::apply(const configuration& config)
{
    by_key_.clear();
    by_name_.clear();
    required_ = config.organisations_.has_value();
    if (!required_) {
        return;
    }
    for (const auto& [name, organisation] : *config.organisations_) {
        const auto& added = by_name_.emplace(name, entry{name, organisation}).first->second;
        for (const auto& key : organisation.keys_) {
            by_key_.emplace(key, &added);
        }
    }
}

const organisation_directory::entry* organisation_directory::find(const key_digest& key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

const organisation_directory::entry* organisation_directory::find(const std::string& name) const
{
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : &found->second;
}

bool organisation_directory::permits(const call& request) const
{
    if (!required_ || !request.key_) {
        return true;
    }
    const auto* holder = find(*request.key_);
    return holder != nullptr && holder->name_ == request.organisation_;
}

} // namespace anvilpost
