// SHA-256 digest of a caller's API key. Nodes keep and exchange digests only, so that no key can leak through
// a log line, a status page or a message between nodes.
#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace anvilpost {

struct key_digest {
    std::array<std::uint8_t, 32> bytes_{};

    bool operator==(const key_digest&) const = default;
    bool operator<(const key_digest& other) const { return bytes_ < other.bytes_; }
};

/// Hash for unordered containers. The bytes of a digest are distributed evenly, so a few of them suffice.
struct key_digest_hash {
    std::size_t operator()(const key_digest& digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.bytes_.data(), sizeof hash);
        return hash;
    }
};

/// Returns the digest of a key in plain text.
key_digest digest_of_key(std::string_view key);

/// Returns the digest as text: "sha256:" and 64 lower-case hexadecimal digits.
std::string to_text(const key_digest& digest);

/// Reads the form that `to_text` writes; returns nothing for any other text.
std::optional<key_digest> parse_key_digest(std::string_view text);

/// Longest accepted key, in bytes.
inline constexpr std::size_t max_key_bytes = 256;

/// True when `key` can be sent in an Authorization header: not empty, not too long, and made of visible ASCII
/// characters.
bool is_valid_key(std::string_view key);

} // namespace anvilpost
