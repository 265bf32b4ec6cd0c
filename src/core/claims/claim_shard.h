// The value of one claim shard as it is kept in the key-value store: which idempotency keys are claimed, by
// which claim and since when, and which writes made the value, with its CBOR encoding.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

/// Identifies one claim in the whole fleet by the claimant's incarnation and a sequence number.
struct claim_id {
    std::uint64_t claimant_ = 0;
    std::uint64_t sequence_ = 0;

    auto
    operator<=>(const claim_id&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

/// 128-bit hash of service and idempotency key.
struct claim_key {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    auto
    operator<=>(const claim_key&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

/// The claim that holds a key.
struct claim_entry {
    claim_id id_;
    std::chrono::minutes claimed_at_{}; ///< Since the Unix epoch, by the claimant's clock.

    bool operator==(const claim_entry&) const = default;
};

/// One of the writes that made a value. A reader that finds the last write that it knows among them knows
/// that the value contains all that it knew; a store that was restored from an older copy lacks it, whatever
/// versions the store has given out since.
struct shard_write {
    std::uint64_t id_ = 0; ///< No two writes of the fleet have the same.
    std::uint64_t fence_ = 0;
    bool after_restore_ = false;          ///< Wrote claims again that the store had lost.
    std::chrono::minutes refreshed_at_{}; ///< Keeps older builds from removing it as an expired claim.

    bool operator==(const shard_write&) const = default;
};

/// Invariant: `fence_` grows with each write, so that no two written values are equal and the store gives
/// each a new version.
struct claim_shard {
    /// At 60 writes a second, the most that one of four shards gets, this covers two audits of a node.
    static constexpr std::size_t max_writes = 128;

    std::uint64_t fence_ = 0;
    std::map<claim_key, claim_entry> entries_;
    std::vector<shard_write> writes_; ///< The last ones, oldest first.

    bool operator==(const claim_shard&) const = default;
};

/// Returns the hash under which an idempotency key of a service is claimed.
claim_key make_claim_key(const std::string& service, const std::string& idempotency_key);

/// Encodes as CBOR (RFC 8949): [fence, [[high, low, claimant, sequence, minute], ...]]. The writes are
/// entries with a reserved key, which builds that do not know them keep and pass on.
std::string encode_claim_shard(const claim_shard& shard);

/// Returns nothing when the bytes are not a claim shard.
std::optional<claim_shard> decode_claim_shard(const std::string& bytes);

/// Returns the creation time inside a UUID of version 7 (RFC 9562, section 5.7), or nothing for other keys.
std::optional<std::chrono::milliseconds> creation_time_of_key(const std::string& idempotency_key);

} // namespace anvilpost
