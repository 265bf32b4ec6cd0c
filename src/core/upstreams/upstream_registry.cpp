// Implements how entries of the registry are added, changed, kept for their grace period and removed.
#include "core/upstreams/upstream_registry.h"

namespace anvilpost {

using kind = registry_event::kind;

namespace {

/// Identifies one incarnation of a registered upstream.
std::string incarnation_key(const std::string& name, const registered_upstream& upstream)
{
    return name + "\n" + upstream.config_.incarnation_;
}

} // namespace

void upstream_registry::report_event(kind event_kind, const std::string& name, std::uint64_t revision,
                                     const std::string& detail) const
{
    if (on_event_) {
        on_event_({event_kind, name, detail, revision});
    }
}

bool upstream_registry::apply(const std::vector<stored_item>& changes)
{
    bool changed = false;
    for (const auto& change : changes) {
        switch (change.kind_) {
        case item_kind::configuration: changed |= apply_configuration(change); break;
        case item_kind::upstream: changed |= apply_upstream(change); break;
        case item_kind::evacuation: changed |= apply_evacuation(change); break;
        case item_kind::node: break;
        }
    }
    return changed;
}

bool upstream_registry::apply_configuration(const stored_item& item)
{
    if (item.deleted_) {
        report_event(kind::configuration_refused, "", item.revision_,
                     "the document was deleted; the last valid configuration stays in force");
        return false;
    }
    try {
        auto parsed = codec_.parse_configuration(item.value_);
        if (configured_ && parsed.revision_ <= configuration_.revision_) {
            report_event(kind::configuration_refused, "", item.revision_,
                         "its revision is not greater than the one in force");
            return false;
        }
        configuration_ = std::move(parsed);
        configured_ = true;
    }
    catch (const invalid_document& error) {
        report_event(kind::configuration_refused, "", item.revision_, error.what());
        return false;
    }
    report_event(kind::configuration_taken, "", configuration_.revision_);
    return true;
}

bool upstream_registry::apply_upstream(const stored_item& item)
{
    if (item.deleted_) {
        const auto found = entries_.find(item.name_);
        if (found == entries_.end()) {
            return false;
        }
        if (item.lapsed_) {
            found->second.lapsed_at_ = clock_.now();
            has_lapsed_ = true;
            report_event(kind::kept_after_lapse, item.name_, item.revision_);
            return false;
        }
        return remove(item.name_, item.revision_);
    }
    registered_upstream parsed;
    try {
        parsed = codec_.parse_upstream(item.value_);
    }
    catch (const invalid_document& error) {
        ++refused_entries_;
        report_event(kind::entry_refused, item.name_, item.revision_, error.what());
        return remove(item.name_, item.revision_);
    }
    const auto found = entries_.find(item.name_);
    const bool registered = found != entries_.end();
    const bool same_incarnation =
        registered && found->second.upstream_.config_.incarnation_ == parsed.config_.incarnation_;
    const bool was_leaving =
        (same_incarnation && found->second.upstream_.config_.state_ == upstream_state::leaving) ||
        departed_.contains(incarnation_key(item.name_, parsed));
    if (was_leaving) {
        parsed.config_.state_ = upstream_state::leaving;
    }
    if (parsed.config_.warm_up_.count() > 0) {
        // A store that was restored gives each entry a new revision; that makes no upstream cold.
        const auto* known = same_incarnation ? &found->second.upstream_.config_ : nullptr;
        const bool restored = known != nullptr && known->warm_up_ == parsed.config_.warm_up_ &&
                              epoch_of(known->entry_revision_) != epoch_of(item.revision_);
        parsed.config_.entry_revision_ = restored ? known->entry_revision_ : item.revision_;
    }
    if (!same_incarnation) {
        report_event(kind::arrived, item.name_, item.revision_, parsed.service_);
    }
    if (parsed.config_.state_ == upstream_state::leaving && !was_leaving) {
        report_event(kind::leaving, item.name_, item.revision_, parsed.service_);
    }
    entries_[item.name_] = {std::move(parsed), std::nullopt};
    return true;
}

/// An evacuation that is missing after the store was restored or could not be reached is kept for the grace
/// period, in which whoever wrote it can write it again.
bool upstream_registry::apply_evacuation(const stored_item& item)
{
    const auto found = evacuations_.find(item.name_);
    if (!item.deleted_) {
        if (found != evacuations_.end()) {
            found->second.reset();
            return false;
        }
        evacuations_[item.name_];
        report_event(kind::evacuation_began, item.name_, item.revision_);
        return true;
    }
    if (found == evacuations_.end()) {
        return false;
    }
    if (item.lapsed_) {
        found->second = clock_.now();
        has_lapsed_ = true;
        return false;
    }
    evacuations_.erase(found);
    report_event(kind::evacuation_ended, item.name_, item.revision_);
    return true;
}

bool upstream_registry::mark_leaving(const std::string& name, const std::string& incarnation)
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return false;
    }
    auto& config = found->second.upstream_.config_;
    if (config.incarnation_ != incarnation || config.state_ == upstream_state::leaving) {
        return false;
    }
    config.state_ = upstream_state::leaving;
    report_event(kind::leaving, name, 0, "by its own response");
    return true;
}

bool upstream_registry::remove(const std::string& name, std::uint64_t revision)
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return false;
    }
    if (found->second.upstream_.config_.state_ == upstream_state::leaving) {
        departed_.insert(incarnation_key(name, found->second.upstream_), clock_.now());
    }
    entries_.erase(found);
    report_event(kind::gone, name, revision);
    return true;
}

bool upstream_registry::drop_lapsed()
{
    departed_.remove_until(clock_.now() - departed_retention);
    if (!has_lapsed_) {
        return false;
    }
    has_lapsed_ = false;
    std::vector<std::string> expired;
    for (const auto& [name, registered] : entries_) {
        if (registered.lapsed_at_ && clock_.now() - *registered.lapsed_at_ > lapse_grace_) {
            expired.push_back(name);
        }
        else if (registered.lapsed_at_) {
            has_lapsed_ = true;
        }
    }
    for (const auto& name : expired) {
        remove(name, 0);
    }
    const auto ended = std::erase_if(evacuations_, [&](const auto& item) {
        const bool ends = item.second && clock_.now() - *item.second > lapse_grace_;
        has_lapsed_ = has_lapsed_ || (item.second && !ends);
        if (ends) {
            report_event(kind::evacuation_ended, item.first, 0, "its item did not come back");
        }
        return ends;
    });
    return !expired.empty() || ended > 0;
}

configuration upstream_registry::effective() const
{
    configuration combined = configuration_;
    for (const auto& [data_centre, unused] : evacuations_) {
        combined.evacuated_.insert(data_centre);
    }
    for (const auto& [name, registered] : entries_) {
        const auto service = combined.services_.find(registered.upstream_.service_);
        if (service != combined.services_.end()) {
            service->second.upstreams_[name] = registered.upstream_.config_;
        }
    }
    return combined;
}

} // namespace anvilpost
