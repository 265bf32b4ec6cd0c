// Claim ledger: for each shard, at most one cycle of reading the value, deciding the waiting claims and
// writing the new value by compare-and-swap.
#include "core/claims/claim_ledger.h"

#include <algorithm>

namespace anvilpost {
namespace {

constexpr int max_cycle_attempts = 6;
constexpr duration pause_after_failure = std::chrono::milliseconds(500);
/// Claims wait for a hold that ends within this time; otherwise they are refused at once.
constexpr duration longest_wait_for_hold = std::chrono::seconds(2);

std::string shard_key(std::size_t index)
{
    return "anvilpost/claims/" + std::to_string(index);
}

} // namespace

claim_ledger::claim_ledger(key_value_port& store, const clock_port& clock, const wall_clock_port& wall_clock,
                           std::uint64_t claimant, claim_settings settings)
    : store_(store), clock_(clock), wall_clock_(wall_clock), claimant_(claimant), settings_(settings),
      shards_(settings.shards_)
{
    for (std::size_t i = 0; i < shards_.size(); ++i) {
        shards_[i].store_key_ = shard_key(i);
    }
}

void claim_ledger::claim(call_id call, const std::string& service, const std::string& key)
{
    const auto created = creation_time_of_key(key);
    const auto now = wall_clock_.since_epoch();
    if (created && now - *created > settings_.retention_ - clock_skew_allowance) {
        decided_(call, claim_decision::key_expired);
        return;
    }
    const claim_key hashed = make_claim_key(service, key);
    const std::size_t index = shard_of(hashed);
    shards_[index].waiting_.push_back({call, hashed, {claimant_, next_sequence_++}, false});
    start_cycle_if_due(index);
}

void claim_ledger::release(call_id call)
{
    if (const auto held = granted_.find(call); held != granted_.end()) {
        const std::size_t index = held->second.shard_;
        shards_[index].abandoned_.insert(held->second.id_);
        granted_.erase(held);
        start_cycle_if_due(index);
        return;
    }
    for (auto& shard : shards_) {
        std::erase_if(shard.waiting_, [&](const auto& waiting) { return waiting.call_ == call; });
        for (auto& writing : shard.in_write_) {
            if (writing.call_ == call && !writing.answered_) {
                writing.answered_ = true;
                shard.abandoned_.insert(writing.id_);
            }
        }
    }
}

void claim_ledger::keep(call_id call)
{
    granted_.erase(call);
}

void claim_ledger::start_cycle_if_due(std::size_t index)
{
    auto& shard = shards_[index];
    const bool has_work = !shard.waiting_.empty() || !shard.abandoned_.empty();
    if (shard.cycle_running_) {
        return;
    }
    const bool work_due = has_work && clock_.now() >= shard.next_write_;
    const bool audit_due = clock_.now() >= shard.next_audit_;
    if (!work_due && !audit_due) {
        if (has_work && on_work_waiting_) {
            on_work_waiting_();
        }
        return;
    }
    shard.has_work_ = has_work;
    shard.cycle_running_ = true;
    shard.attempts_ = 0;
    start_attempt(index);
}

void claim_ledger::start_attempt(std::size_t index)
{
    auto& shard = shards_[index];
    if (++shard.attempts_ > max_cycle_attempts) {
        abort_cycle(shard);
        return;
    }
    ++counters_.reads_;
    store_.read(shard.store_key_, [this, index](const stored_value& value) { on_read(index, value); });
}

void claim_ledger::resolve_claim(shard_state& shard, pending_claim& claim, claim_decision decision)
{
    if (claim.answered_) {
        return;
    }
    claim.answered_ = true;
    switch (decision) {
    case claim_decision::granted:
        ++counters_.granted_;
        granted_[claim.call_] = {shard_of(claim.key_), claim.id_};
        break;
    case claim_decision::duplicate:
        ++counters_.duplicates_;
        if (claim.written_) {
            shard.abandoned_.insert(claim.id_);
        }
        break;
    case claim_decision::key_expired: break;
    case claim_decision::store_unusable:
        ++counters_.refused_;
        if (claim.written_) {
            shard.abandoned_.insert(claim.id_);
        }
        break;
    }
    decided_(claim.call_, decision);
}

void claim_ledger::refuse_all(shard_state& shard)
{
    auto claims = std::move(shard.in_write_);
    shard.in_write_.clear();
    claims.insert(claims.end(), shard.waiting_.begin(), shard.waiting_.end());
    shard.waiting_.clear();
    for (auto& claim : claims) {
        resolve_claim(shard, claim, claim_decision::store_unusable);
    }
}

void claim_ledger::abort_cycle(shard_state& shard)
{
    shard.cycle_running_ = false;
    shard.restore_.reset();
    shard.next_write_ = clock_.now() + pause_after_failure;
    shard.next_audit_ = clock_.now() + settings_.audit_period_;
    refuse_all(shard);
}

void claim_ledger::finish_cycle(shard_state& shard)
{
    for (const auto& id : shard.removing_) {
        shard.abandoned_.erase(id);
        shard.removed_[id] = std::chrono::floor<std::chrono::minutes>(wall_clock_.since_epoch());
    }
    shard.removing_.clear();
    shard.write_unknown_ = false;
    shard.cycle_running_ = false;
    shard.restore_.reset();
    shard.next_audit_ = clock_.now() + settings_.audit_period_;
    if (shard.has_work_ || !shard.waiting_.empty()) {
        shard.next_write_ = clock_.now() + write_interval();
    }
    if (!shard.waiting_.empty()) {
        shard.next_write_ = std::max(shard.next_write_, shard.hold_until_);
    }
    if (on_work_waiting_) {
        on_work_waiting_();
    }
}

/// Each node writes each shard at most this often, so that all nodes together stay within the limit on
/// writes. A claim that arrives when the last write is longer ago is written at once.
duration claim_ledger::write_interval() const
{
    constexpr double microseconds_per_second = 1'000'000.0;
    const double writers = static_cast<double>(nodes_ * shards_.size());
    return duration(
        static_cast<duration::rep>(microseconds_per_second * writers / settings_.fleet_writes_per_second_));
}

std::chrono::minutes claim_ledger::oldest_kept() const
{
    return std::chrono::ceil<std::chrono::minutes>(wall_clock_.since_epoch() - settings_.retention_ -
                                                   clock_skew_allowance);
}

void claim_ledger::prune(claim_shard& value) const
{
    std::erase_if(value.entries_,
                  [oldest = oldest_kept()](const auto& entry) { return entry.second.claimed_at_ < oldest; });
}

/// Decides the claims of a write of unknown outcome: those found in the store are granted, the others are
/// queued again.
void claim_ledger::resolve_unknown_write(shard_state& shard, const claim_shard& value)
{
    auto unresolved = std::move(shard.in_write_);
    shard.in_write_.clear();
    std::vector<pending_claim> requeued;
    for (auto& claim : unresolved) {
        const auto entry = value.entries_.find(claim.key_);
        if (entry != value.entries_.end() && entry->second.id_ == claim.id_) {
            resolve_claim(shard, claim, claim_decision::granted);
        }
        else if (!claim.answered_) {
            requeued.push_back(claim);
        }
    }
    // They go before claims that arrived later, since their entry may be the one in the store.
    shard.waiting_.insert(shard.waiting_.begin(), requeued.begin(), requeued.end());
}

bool claim_ledger::remove_abandoned(shard_state& shard, claim_shard& value)
{
    shard.removing_ = shard.abandoned_;
    return std::erase_if(value.entries_,
                         [&](const auto& entry) { return shard.removing_.contains(entry.second.id_); }) > 0;
}

bool claim_ledger::add_waiting(shard_state& shard, claim_shard& value)
{
    const auto claimed_at = std::chrono::floor<std::chrono::minutes>(wall_clock_.since_epoch());
    auto waiting = std::move(shard.waiting_);
    shard.waiting_.clear();
    for (auto& claim : waiting) {
        if (value.entries_.contains(claim.key_)) {
            resolve_claim(shard, claim, claim_decision::duplicate);
            continue;
        }
        if (clock_.now() < shard.hold_until_) {
            if (shard.hold_until_ - clock_.now() <= longest_wait_for_hold) {
                shard.waiting_.push_back(claim);
            }
            else {
                resolve_claim(shard, claim, claim_decision::store_unusable);
            }
            continue;
        }
        value.entries_[claim.key_] = {claim.id_, claimed_at};
        shard.in_write_.push_back(claim);
    }
    return !shard.in_write_.empty();
}

void claim_ledger::on_read(std::size_t index, const stored_value& stored)
{
    auto& shard = shards_[index];
    const bool readable = stored.status_ == store_status::ok || stored.status_ == store_status::not_found;
    if (!readable && shard.write_unknown_) {
        start_attempt(index);
        return;
    }
    auto decoded = stored.status_ == store_status::ok ? decode_claim_shard(stored.text_) : claim_shard{};
    if (!readable || !decoded) {
        abort_cycle(shard);
        return;
    }
    claim_shard value = std::move(*decoded);
    prune(value);
    abandon_returned_claims(shard, value);
    if (!contains_all_known(shard, stored, value)) {
        write_lost_claims(index, std::move(value), stored.version_);
        return;
    }
    shard.known_version_ = stored.version_;
    remember(shard, value);
    resolve_unknown_write(shard, value);
    // While the version is still the one that the unknown write expects, that write can take effect. Another
    // write on the same version fences it: only one of the two can succeed.
    const bool must_fence = shard.write_unknown_ && stored.version_ <= shard.unknown_write_base_version_;
    const bool removed = remove_abandoned(shard, value);
    const bool added = add_waiting(shard, value);
    if (must_fence || removed || added) {
        write(index, std::move(value), stored.version_);
        return;
    }
    finish_cycle(shard);
}

void claim_ledger::write(std::size_t index, claim_shard value, std::uint64_t base_version)
{
    auto& shard = shards_[index];
    ++value.fence_;
    note_write(value, shard.restore_.has_value());
    const std::string bytes = encode_claim_shard(value);
    shard.writing_ = std::move(value);
    if (bytes.size() > settings_.max_shard_bytes_ && !shard.in_write_.empty() && !shard.restore_) {
        abort_cycle(shard);
        return;
    }
    for (auto& claim : shard.in_write_) {
        claim.written_ = true;
    }
    ++counters_.writes_;
    store_.compare_and_swap(
        shard.store_key_, bytes, base_version,
        [this, index, base_version](store_status status) { on_written(index, status, base_version); });
}

void claim_ledger::on_written(std::size_t index, store_status status, std::uint64_t base_version)
{
    auto& shard = shards_[index];
    switch (status) {
    case store_status::ok: {
        shard.known_version_ = base_version + 1;
        if (shard.restore_) {
            finish_restore(index);
            return;
        }
        remember(shard, shard.writing_);
        auto written = std::move(shard.in_write_);
        shard.in_write_.clear();
        finish_cycle(shard);
        for (auto& claim : written) {
            resolve_claim(shard, claim, claim_decision::granted);
        }
        return;
    }
    case store_status::unknown:
        ++counters_.unknown_writes_;
        shard.write_unknown_ = true;
        shard.unknown_write_base_version_ = base_version;
        start_attempt(index);
        return;
    case store_status::conflict:
        ++counters_.conflicts_;
        shard.restore_.reset();
        start_attempt(index);
        return;
    case store_status::not_found:
    case store_status::unavailable: abort_cycle(shard); return;
    }
}

std::optional<time_point> claim_ledger::next_wakeup() const
{
    std::optional<time_point> next;
    for (const auto& shard : shards_) {
        const bool work = !shard.waiting_.empty() || !shard.abandoned_.empty();
        if (!shard.cycle_running_) {
            const auto due = work ? std::min(shard.next_write_, shard.next_audit_) : shard.next_audit_;
            next = next ? std::min(*next, due) : due;
        }
    }
    return next;
}

void claim_ledger::on_wakeup()
{
    for (std::size_t i = 0; i < shards_.size(); ++i) {
        start_cycle_if_due(i);
    }
}

std::size_t claim_ledger::abandoned() const
{
    std::size_t count = 0;
    for (const auto& shard : shards_) {
        count += shard.abandoned_.size();
    }
    return count;
}

} // namespace anvilpost
