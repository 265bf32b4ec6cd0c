// Base64 (RFC 4648, section 4), as Consul's API uses for values.
#pragma once

#include <string>
#include <string_view>

namespace anvilpost {

std::string encode_base64(std::string_view bytes);

/// Decodes up to the first character outside of the alphabet.
std::string decode_base64(std::string_view text);

} // namespace anvilpost
