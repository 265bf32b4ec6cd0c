// Claims after the store came back from an older copy of its data. Versions go back and are given out again,
// so a version alone does not tell. Each value lists the writes that made it: one that lacks a write which
// this node knows is older, or another history. The node then writes again what it knows and the value lacks,
// by compare-and-swap on the version read; success proves that the value was the present one and not a stale
// read. Nothing is granted for a while after a restore, until the other nodes have done the same.
#include "core/claims/claim_ledger.h"
#include "vocabulary/stable_hash.h"

namespace anvilpost {
namespace {

const shard_write* find_write(const claim_shard& value, std::uint64_t id)
{
    const auto found = std::find_if(value.writes_.begin(), value.writes_.end(),
                                    [&](const shard_write& write) { return write.id_ == id; });
    return found == value.writes_.end() ? nullptr : &*found;
}

} // namespace

bool claim_ledger::contains_all_known(const shard_state& shard, const stored_value& stored,
                                      const claim_shard& value) const
{
    if (stored.version_ < shard.known_version_) {
        return false;
    }
    const auto& known = shard.last_known_write_;
    if (!known || find_write(value, known->id_) != nullptr) {
        return true;
    }
    const bool list_too_short =
        value.writes_.size() >= claim_shard::max_writes && value.writes_.front().fence_ > known->fence_;
    // This node did not read the shard during more writes than a value lists. Only it removes its own claims,
    // so they tell.
    const auto oldest = oldest_kept();
    return list_too_short &&
           std::all_of(shard.known_entries_.begin(), shard.known_entries_.end(), [&](const auto& entry) {
               const auto& [key, claim] = entry;
               return claim.id_.claimant_ != claimant_ || claim.claimed_at_ < oldest ||
                      shard.abandoned_.contains(claim.id_) || shard.removed_.contains(claim.id_) ||
                      value.entries_.contains(key);
           });
}

/// Takes the value as the last one known to be in the store. A write after a restore that is new to this node
/// begins a hold, since other nodes may have claims to write again.
void claim_ledger::remember(shard_state& shard, const claim_shard& value)
{
    shard.known_entries_ = value.entries_;
    if (!value.writes_.empty()) {
        shard.last_known_write_ = value.writes_.back();
    }
    std::set<std::uint64_t> restores;
    bool new_restore = false;
    for (const auto& write : value.writes_) {
        if (write.after_restore_) {
            new_restore |= !shard.known_restores_.contains(write.id_);
            restores.insert(write.id_);
        }
    }
    shard.known_restores_ = std::move(restores);
    if (!shard.known_) {
        shard.hold_until_ = clock_.now() + settings_.start_hold_;
    }
    else if (new_restore) {
        shard.hold_until_ = clock_.now() + settings_.restore_hold_;
    }
    shard.known_ = true;
}

/// Copies of the store and memories of other nodes can bring back claims that this node removed.
void claim_ledger::abandon_returned_claims(shard_state& shard, const claim_shard& value)
{
    std::erase_if(shard.removed_, [&](const auto& removed) { return removed.second < oldest_kept(); });
    for (const auto& [unused, claim] : value.entries_) {
        if (claim.id_.claimant_ == claimant_ && shard.removed_.contains(claim.id_)) {
            shard.abandoned_.insert(claim.id_);
        }
    }
}

void claim_ledger::write_lost_claims(std::size_t index, claim_shard value, std::uint64_t version)
{
    auto& shard = shards_[index];
    remove_abandoned(shard, value);
    shard_restore restore = shard.restore_.value_or(shard_restore{});
    shard_restore found;
    const auto oldest = oldest_kept();
    for (const auto& [key, claim] : shard.known_entries_) {
        if (claim.claimed_at_ < oldest || shard.abandoned_.contains(claim.id_) ||
            shard.removed_.contains(claim.id_)) {
            continue;
        }
        const auto [present, added] = value.entries_.try_emplace(key, claim);
        if (!added && present->second.id_ != claim.id_) {
            // Either a claim that was removed after the copy was taken, or one granted since the restore. The
            // known one stays in either case: if the other were removed later, nothing would hold the key.
            ++found.lost_;
            present->second = claim;
        }
        found.rewritten_ += added ? 1 : 0;
    }
    // An earlier attempt of unknown outcome may have written them already.
    restore.rewritten_ = std::max(restore.rewritten_, found.rewritten_);
    restore.lost_ = std::max(restore.lost_, found.lost_);
    shard.restore_ = restore;
    write(index, std::move(value), version);
}

void claim_ledger::finish_restore(std::size_t index)
{
    auto& shard = shards_[index];
    const auto restore = *shard.restore_;
    ++counters_.restores_;
    counters_.rewritten_ += restore.rewritten_;
    counters_.lost_ += restore.lost_;
    remember(shard, shard.writing_);
    shard.hold_until_ = clock_.now() + settings_.restore_hold_;
    finish_cycle(shard);
    refuse_all(shard);
    if (on_restored_) {
        on_restored_(index, restore);
    }
}

void claim_ledger::note_write(claim_shard& value, bool after_restore)
{
    const auto minute = std::chrono::floor<std::chrono::minutes>(wall_clock_.since_epoch());
    const auto id = stable_hash(std::to_string(claimant_) + "/" + std::to_string(next_write_number_++));
    value.writes_.push_back({id, value.fence_, after_restore, minute});
    if (value.writes_.size() > claim_shard::max_writes) {
        value.writes_.erase(value.writes_.begin());
    }
    for (auto& write : value.writes_) {
        write.refreshed_at_ = minute;
    }
}

} // namespace anvilpost
