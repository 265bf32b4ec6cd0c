// Digests of API keys, computed with OpenSSL.
#include "vocabulary/key_digest.h"

#include <algorithm>
#include <memory>
#include <openssl/evp.h>
#include <stdexcept>

namespace anvilpost {
namespace {

constexpr std::string_view prefix = "sha256:";
constexpr std::string_view digits = "0123456789abcdef";

/// Fetched once: looking up the algorithm takes longer than hashing a key.
const EVP_MD* sha256()
{
    static const std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)> algorithm(
        EVP_MD_fetch(nullptr, "SHA256", nullptr), EVP_MD_free);
    return algorithm.get();
}

} // namespace

key_digest digest_of_key(std::string_view key)
{
    key_digest digest;
    unsigned int length = 0;
    if (EVP_Digest(key.data(), key.size(), digest.bytes_.data(), &length, sha256(), nullptr) != 1 ||
        length != digest.bytes_.size()) {
        throw std::runtime_error("SHA-256 is not available");
    }
    return digest;
}

std::string to_text(const key_digest& digest)
{
    std::string text(prefix);
    for (const auto byte : digest.bytes_) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

std::optional<key_digest> parse_key_digest(std::string_view text)
{
    key_digest digest;
    if (!text.starts_with(prefix) || text.size() != prefix.size() + 2 * digest.bytes_.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.bytes_.size(); ++i) {
        const auto high = digits.find(text[prefix.size() + 2 * i]);
        const auto low = digits.find(text[prefix.size() + 2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest.bytes_[i] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return digest;
}

bool is_valid_key(std::string_view key)
{
    const auto visible = [](char c) { return c > ' ' && c <= '~'; };
    return !key.empty() && key.size() <= max_key_bytes && std::all_of(key.begin(), key.end(), visible);
}

} // namespace anvilpost
