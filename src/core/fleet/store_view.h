// A node's copy of the store: the configuration and the upstreams, each with its own revision, and the
// revision up to which the copy is complete. Nodes merge each other's copies.
#pragma once

#include "ports/registry_store_port.h"

#include <map>
#include <utility>
#include <vector>

namespace anvilpost {

/// Format of the views that this build relays: 0 has no evacuations, and nodes of builds before 1 name none.
/// A node takes views only from nodes of its own or a later format: an earlier one would seem to prove that
/// the items which it lacks do not exist.
inline constexpr int view_format = 1;

/// True when views of the format include items of the kind.
[[nodiscard]] constexpr bool in_view_format(item_kind kind, int format)
{
    return format >= 1 || kind != item_kind::evacuation;
}

/// Invariants: an item is never replaced by one with a lower revision, whatever its source; `revision()`
/// never decreases; the view holds all changes up to `revision()`, and possibly later ones.
class store_view {
public:
    /// Merges changes. `complete_to` is the revision up to which the view is complete once it has them, or 0
    /// when that is unknown. Returns the changes that were new to the view.
    std::vector<stored_item> apply(const std::vector<stored_item>& changes, std::uint64_t complete_to);

    /// Merges a full read that shows every item as of `revision` or later. Known items that it lacks are
    /// deleted; `missing_may_have_lapsed` marks these deletions as possibly caused by expired leases. Returns
    /// the changes that were new to the view.
    std::vector<stored_item> replace(const std::vector<stored_item>& items, std::uint64_t revision,
                                     bool missing_may_have_lapsed = false);

    /// Returns all changes after `revision`, deletions included. For revision 0, or where deletions since
    /// then may have no tombstone, returns all existing and lapsed items instead and sets `is_snapshot` to
    /// true.
    [[nodiscard]] std::vector<stored_item> changes_after(std::uint64_t revision, bool& is_snapshot) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// Returns nullptr when the item does not exist.
    [[nodiscard]] const stored_item* find(item_kind kind, const std::string& name) const;
    [[nodiscard]] std::vector<const stored_item*> all(item_kind kind) const;

private:
    using item_key = std::pair<item_kind, std::string>;
    static constexpr std::size_t max_tombstones = 2'000;

    bool merge_item(const stored_item& item);
    void drop_old_tombstones();

    std::map<item_key, stored_item> items_; ///< Includes tombstones of deleted items.
    std::uint64_t revision_ = 0;
    /// Deletions up to this revision may have no tombstone: it was dropped, or a full read skipped the
    /// history.
    std::uint64_t tombstones_missing_to_ = 0;
};

} // namespace anvilpost
