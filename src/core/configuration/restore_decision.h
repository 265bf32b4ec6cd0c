// Decides what a node does with a stored configuration that does not follow the one in force, as after the
// store came back from an older copy of its data, when revisions are given out again with other contents. The
// plans that a configuration lists as applied tell an older copy from a later document with a lower revision.
#pragma once

#include "core/configuration/configuration.h"

#include <optional>
#include <vector>

namespace anvilpost {

enum class stored_relation {
    same,         ///< It is the one in force.
    newer,        ///< To be applied; `lost_plans_` are in force but not in it.
    older_copy,   ///< It holds no plan that the one in force lacks, which must be written again.
    other_history ///< Holds plans that the one in force lacks, under a revision that was given out before.
};

struct restore_decision {
    stored_relation relation_ = stored_relation::same;
    /// What must be written in place of the stored document, by compare-and-swap on its version: for
    /// `older_copy` the configuration in force, for `other_history` the stored one with a revision that all
    /// nodes accept.
    std::optional<configuration> rewrite_;
    std::vector<applied_plan> lost_plans_; ///< Acknowledged plans that the stored document lacks.
};

/// `stored` is empty when the store holds no configuration.
restore_decision compare_with_stored(const configuration& in_force,
                                     const std::optional<configuration>& stored);

} // namespace anvilpost
