// The value of one claim shard as it is kept in the key-value store: which idempotency keys are claimed, by
// which claim and since when, with its CBOR encoding.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

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

/// Invariant: `fence_` grows with each write, so that no two written values are equal and the store gives
/// each a new version.
struct claim_shard {
    std::uint64_t fence_ = 0;
    std::map<claim_key, claim_entry> entries_;

    bool operator==(const claim_shard&) const = default;
};

/// Returns the hash under which an idempotency key of a service is claimed.
claim_key make_claim_key(const std::string& service, const std::string& idempotency_key);

/// Encodes as CBOR (RFC 8949): [fence, [[high, low, claimant, sequence, minute], ...]].
std::string encode_claim_shard(const claim_shard& shard);

/// Returns nothing when the bytes are not a claim shard.
std::optional<claim_shard> decode_claim_shard(const std::string& bytes);

/// Returns the creation time inside a UUID of version 7 (RFC 9562, section 5.7), or nothing for other keys.
std::optional<std::chrono::milliseconds> creation_time_of_key(const std::string& idempotency_key);

} // namespace anvilpost
