// Implements how entries of the registry are added, changed, kept for their grace period and removed.
#include "core/upstreams/upstream_registry.h"

namespace anvilpost {

using kind = registry_event::kind;

void upstream_registry::tell(kind what, const std::string& name, std::uint64_t revision,
                             const std::string& detail) const
{
    if (on_event_) {
        on_event_({what, name, detail, revision});
    }
}

bool upstream_registry::apply(const std::vector<stored_item>& changes)
{
    bool changed = false;
    for (const auto& change : changes) {
        switch (change.kind_) {
        case item_kind::configuration: changed |= take_configuration(change); break;
        case item_kind::upstream: changed |= take_upstream(change); break;
        case item_kind::node: break;
        }
    }
    return changed;
}

bool upstream_registry::take_configuration(const stored_item& item)
{
    if (item.deleted_) {
        tell(kind::configuration_refused, "", item.revision_,
             "the document was deleted; the last valid configuration stays in force");
        return false;
    }
    try {
        auto parsed = codec_.parse_configuration(item.value_);
        if (configured_ && parsed.revision_ <= configuration_.revision_) {
            tell(kind::configuration_refused, "", item.revision_,
                 "its revision is not greater than the one in force");
            return false;
        }
        configuration_ = std::move(parsed);
        configured_ = true;
    }
    catch (const invalid_document& fault) {
        tell(kind::configuration_refused, "", item.revision_, fault.what());
        return false;
    }
    tell(kind::configuration_taken, "", configuration_.revision_);
    return true;
}

bool upstream_registry::take_upstream(const stored_item& item)
{
    if (item.deleted_) {
        const auto found = entries_.find(item.name_);
        if (found == entries_.end()) {
            return false;
        }
        if (item.lapsed_) {
            found->second.lapsed_at_ = clock_.now();
            tell(kind::kept, item.name_, item.revision_);
            return false;
        }
        return remove(item.name_, item.revision_);
    }
    registered_upstream parsed;
    try {
        parsed = codec_.parse_upstream(item.value_);
    }
    catch (const invalid_document& fault) {
        ++refused_entries_;
        tell(kind::entry_refused, item.name_, item.revision_, fault.what());
        return remove(item.name_, item.revision_);
    }
    const auto found = entries_.find(item.name_);
    const bool known = found != entries_.end();
    const bool same_life =
        known && found->second.upstream_.config_.incarnation_ == parsed.config_.incarnation_;
    const bool was_leaving = same_life && found->second.upstream_.config_.state_ == upstream_state::leaving;
    if (was_leaving) {
        parsed.config_.state_ = upstream_state::leaving;
    }
    if (!same_life) {
        tell(kind::arrived, item.name_, item.revision_, parsed.service_);
    }
    if (parsed.config_.state_ == upstream_state::leaving && !was_leaving) {
        tell(kind::leaving, item.name_, item.revision_, parsed.service_);
    }
    entries_[item.name_] = {std::move(parsed), std::nullopt};
    return true;
}

bool upstream_registry::remove(const std::string& name, std::uint64_t revision)
{
    if (entries_.erase(name) == 0) {
        return false;
    }
    tell(kind::gone, name, revision);
    return true;
}

bool upstream_registry::drop_lapsed()
{
    std::vector<std::string> over;
    for (const auto& [name, known] : entries_) {
        if (known.lapsed_at_ && clock_.now() - *known.lapsed_at_ > lapse_grace_) {
            over.push_back(name);
        }
    }
    for (const auto& name : over) {
        remove(name, 0);
    }
    return !over.empty();
}

configuration upstream_registry::effective() const
{
    configuration combined = configuration_;
    for (const auto& [name, known] : entries_) {
        const auto service = combined.services_.find(known.upstream_.service_);
        if (service != combined.services_.end()) {
            service->second.upstreams_[name] = known.upstream_.config_;
        }
    }
    return combined;
}

} // namespace anvilpost
