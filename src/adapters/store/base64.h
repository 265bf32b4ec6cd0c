// Base64 (RFC 4648, section 4), in which Consul's API returns values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace anvilpost {

std::string encode_base64(std::string_view bytes);

/// Returns the decoded bytes, or nothing when `text` is not valid base64.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace anvilpost
