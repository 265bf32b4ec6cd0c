// Encodes and decodes claim shards as CBOR, hashes idempotency keys, and reads the creation time in UUIDs of
// version 7.
#include "core/claims/claim_shard.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace anvilpost {
namespace {

constexpr std::uint64_t low_half_seed = 0x9e3779b97f4a7c15ULL;
constexpr std::size_t fields_per_entry = 5;
/// High half of the key of an entry that describes a write: [this, id, fence, 1 after a restore, minute].
constexpr std::uint64_t write_entry_key = 0x77726974652d6964ULL;
constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_position = 14;

bool is_entry(const nlohmann::json& entry)
{
    if (!entry.is_array() || entry.size() != fields_per_entry) {
        return false;
    }
    for (const auto& field : entry) {
        if (!field.is_number_unsigned()) {
            return false;
        }
    }
    return true;
}

} // namespace

claim_key make_claim_key(const std::string& service, const std::string& idempotency_key)
{
    const std::string text = service + "\n" + idempotency_key;
    return {stable_hash(text), stable_hash(text, low_half_seed)};
}

std::string encode_claim_shard(const claim_shard& shard)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& [key, entry] : shard.entries_) {
        entries.push_back({key.high_, key.low_, entry.id_.claimant_, entry.id_.sequence_,
                           static_cast<std::uint64_t>(entry.claimed_at_.count())});
    }
    for (const auto& write : shard.writes_) {
        entries.push_back({write_entry_key, write.id_, write.fence_, write.after_restore_ ? 1U : 0U,
                           static_cast<std::uint64_t>(write.refreshed_at_.count())});
    }
    const auto bytes = nlohmann::json::to_cbor(nlohmann::json::array({shard.fence_, std::move(entries)}));
    return {bytes.begin(), bytes.end()};
}

std::optional<claim_shard> decode_claim_shard(const std::string& bytes)
{
    const auto document = nlohmann::json::from_cbor(bytes, true, false);
    if (!document.is_array() || document.size() != 2 || !document[0].is_number_unsigned() ||
        !document[1].is_array()) {
        return std::nullopt;
    }
    claim_shard shard;
    shard.fence_ = document[0].get<std::uint64_t>();
    for (const auto& entry : document[1]) {
        if (!is_entry(entry)) {
            return std::nullopt;
        }
        const claim_key key{entry[0].get<std::uint64_t>(), entry[1].get<std::uint64_t>()};
        const claim_id id{entry[2].get<std::uint64_t>(), entry[3].get<std::uint64_t>()};
        const std::chrono::minutes minute(entry[4].get<std::int64_t>());
        if (key.high_ == write_entry_key) {
            shard.writes_.push_back({key.low_, id.claimant_, id.sequence_ != 0, minute});
        }
        else {
            shard.entries_[key] = {id, minute};
        }
    }
    std::sort(shard.writes_.begin(), shard.writes_.end(),
              [](const shard_write& a, const shard_write& b) { return a.fence_ < b.fence_; });
    return shard;
}

std::optional<std::chrono::milliseconds> creation_time_of_key(const std::string& key)
{
    if (key.size() != uuid_length || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' ||
        key[uuid_version_position] != '7') {
        return std::nullopt;
    }
    const std::string digits = key.substr(0, 8) + key.substr(9, 4);
    std::int64_t milliseconds = 0;
    for (const char c : digits) {
        if (std::isxdigit(static_cast<unsigned char>(c)) == 0) {
            return std::nullopt;
        }
        milliseconds = milliseconds * 16 + std::stoi(std::string(1, c), nullptr, 16);
    }
    return std::chrono::milliseconds(milliseconds);
}

} // namespace anvilpost
