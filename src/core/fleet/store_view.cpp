// Merges items into the copy of the store by their revision; deleted items stay as tombstones, so that an
// older copy of them cannot bring them back.
#include "core/fleet/store_view.h"

#include <algorithm>
#include <set>

namespace anvilpost {

bool store_view::merge_item(const stored_item& item)
{
    const item_key key{item.kind_, item.name_};
    if (!items_.contains(key) && item.revision_ <= revision_) {
        return false; // The view is complete up to a later revision without it: it was deleted since.
    }
    auto& known = items_[key];
    if (known.revision_ >= item.revision_) {
        return false;
    }
    const bool both_deleted = known.revision_ != 0 && known.deleted_ && item.deleted_;
    const bool never_known = known.revision_ == 0 && item.deleted_;
    known = item;
    return !both_deleted && !never_known;
}

std::vector<stored_item> store_view::apply(const std::vector<stored_item>& changes, std::uint64_t complete_to)
{
    std::vector<stored_item> updates;
    for (const auto& change : changes) {
        if (merge_item(change)) {
            updates.push_back(change);
        }
    }
    revision_ = std::max(revision_, complete_to);
    drop_old_tombstones();
    return updates;
}

std::vector<stored_item> store_view::replace(const std::vector<stored_item>& items, std::uint64_t revision,
                                             bool missing_may_have_lapsed)
{
    const bool skips_history = revision > revision_;
    auto updates = apply(items, revision);
    if (skips_history) {
        // An item that came and went since the last revision left no tombstone here.
        tombstones_missing_to_ = std::max(tombstones_missing_to_, revision);
    }
    std::set<item_key> listed;
    for (const auto& item : items) {
        listed.insert({item.kind_, item.name_});
    }
    for (auto& [key, known] : items_) {
        // An item with a later revision was not deleted: the read may have begun before it was written.
        if (!known.deleted_ && !listed.contains(key) && known.revision_ <= revision) {
            known.deleted_ = true;
            known.lapsed_ = missing_may_have_lapsed;
            known.value_.clear();
            known.revision_ = revision;
            updates.push_back(known);
        }
    }
    return updates;
}

std::vector<stored_item> store_view::changes_after(std::uint64_t revision, bool& is_snapshot) const
{
    is_snapshot = revision < tombstones_missing_to_ || revision == 0;
    std::vector<stored_item> changes;
    for (const auto& [unused, item] : items_) {
        if (is_snapshot ? !item.deleted_ || item.lapsed_ : item.revision_ > revision) {
            changes.push_back(item);
        }
    }
    return changes;
}

const stored_item* store_view::find(item_kind kind, const std::string& name) const
{
    const auto found = items_.find({kind, name});
    return found == items_.end() || found->second.deleted_ ? nullptr : &found->second;
}

std::vector<const stored_item*> store_view::all(item_kind kind) const
{
    std::vector<const stored_item*> found;
    for (const auto& [key, item] : items_) {
        if (key.first == kind && !item.deleted_) {
            found.push_back(&item);
        }
    }
    return found;
}

void store_view::drop_old_tombstones()
{
    std::vector<std::pair<std::uint64_t, item_key>> tombstones;
    for (const auto& [key, item] : items_) {
        if (item.deleted_) {
            tombstones.emplace_back(item.revision_, key);
        }
    }
    if (tombstones.size() <= max_tombstones) {
        return;
    }
    std::sort(tombstones.begin(), tombstones.end());
    const auto surplus = tombstones.size() - max_tombstones / 2;
    for (std::size_t i = 0; i < surplus; ++i) {
        tombstones_missing_to_ = std::max(tombstones_missing_to_, tombstones[i].first);
        items_.erase(tombstones[i].second);
    }
}

} // namespace anvilpost
