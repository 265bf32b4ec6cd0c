// Encodes and decodes base64 with Abseil.
#include "adapters/store/base64.h"

#include <absl/strings/escaping.h>

namespace anvilpost {

std::string encode_base64(std::string_view bytes)
{
    return absl::Base64Escape({bytes.data(), bytes.size()});
}

std::optional<std::string> decode_base64(std::string_view text)
{
    std::string bytes;
    return absl::Base64Unescape({text.data(), text.size()}, &bytes) ? std::optional(std::move(bytes))
                                                                    : std::nullopt;
}

} // namespace anvilpost
