// A node's copy of what the store holds: configuration and upstreams, with the revision of each document
// and the revision up to which the copy is complete. Copies are passed on between nodes.
#pragma once

#include "ports/registry_store_port.h"

#include <map>
#include <utility>
#include <vector>

namespace anvilpost {

/// Invariants: a document never gives way to one with a lower revision, from whichever source; `revision()`
/// never decreases; the view holds all changes up to `revision()`, and possibly later ones.
class store_view {
public:
    /// Takes over single changes. `complete_to` is the revision up to which they, with what is known, are
    /// complete; 0 when that is unknown. Returns what was news.
    std::vector<stored_item> apply(const std::vector<stored_item>& changes, std::uint64_t complete_to);

    /// Takes over a whole read that shows every document as of `revision` or later. Known documents that
    /// it lacks are deleted. Returns what was news.
    std::vector<stored_item> replace(const std::vector<stored_item>& items, std::uint64_t revision,
                                     bool missing_may_have_lapsed = false);

    /// Everything that changed after `revision`, deletions included. After a revision older than the oldest
    /// deletion that is remembered, returns everything; `whole` then says so.
    [[nodiscard]] std::vector<stored_item> changes_after(std::uint64_t revision, bool& whole) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const stored_item* find(item_kind kind, const std::string& name) const;
    [[nodiscard]] std::vector<const stored_item*> all(item_kind kind) const;

private:
    using item_key = std::pair<item_kind, std::string>;
    static constexpr std::size_t max_deletions = 2'000;

    bool take(const stored_item& item);
    void forget_old_deletions();

    std::map<item_key, stored_item> items_; ///< Deleted ones too, as long as they are remembered.
    std::uint64_t revision_ = 0;
    std::uint64_t forgotten_to_ = 0; ///< Deletions up to this revision may have been forgotten.
};

} // namespace anvilpost
