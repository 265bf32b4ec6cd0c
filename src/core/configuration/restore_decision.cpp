// Compares the plans that two configurations list as applied.
#include "core/configuration/restore_decision.h"

#include <algorithm>

namespace anvilpost {
namespace {

/// Returns the plans of `config` that `other` lacks. A list holds the last plans only, so those from before
/// the oldest one in the list of `other` are taken as known to it.
std::vector<applied_plan> plans_not_in(const configuration& config, const configuration& other)
{
    const bool is_full = other.applied_.size() >= configuration::max_applied_plans;
    const std::uint64_t listed_from = is_full ? other.applied_.front().revision_ : 0;
    std::vector<applied_plan> missing;
    for (const auto& plan : config.applied_) {
        const bool listed = std::any_of(other.applied_.begin(), other.applied_.end(),
                                        [&](const applied_plan& known) { return known.id_ == plan.id_; });
        if (!listed && plan.revision_ >= listed_from) {
            missing.push_back(plan);
        }
    }
    return missing;
}

} // namespace

restore_decision compare_with_stored(const configuration& in_force,
                                     const std::optional<configuration>& stored)
{
    restore_decision decision;
    const configuration found = stored.value_or(configuration{});
    if (in_force.revision_ == 0) {
        decision.relation_ = found.revision_ > 0 ? stored_relation::newer : stored_relation::same;
        return decision;
    }
    const auto added = plans_not_in(found, in_force);
    if (found.revision_ > in_force.revision_) {
        decision.relation_ = stored_relation::newer;
        decision.lost_plans_ = plans_not_in(in_force, found);
        return decision;
    }
    if (added.empty()) {
        if (found.revision_ < in_force.revision_) {
            decision.relation_ = stored_relation::older_copy;
            decision.rewrite_ = in_force;
        }
        return decision;
    }
    decision.relation_ = stored_relation::other_history;
    decision.lost_plans_ = plans_not_in(in_force, found);
    decision.rewrite_ = found;
    decision.rewrite_->revision_ = in_force.revision_ + 1;
    // The plans keep their ids, so that confirming one of them again finds it as applied.
    return decision;
}

} // namespace anvilpost
