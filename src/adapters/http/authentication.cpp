// Reads the key of a request from its Authorization header (RFC 9110, section 11.6.2).
#include "adapters/http/authentication.h"

#include <algorithm>

namespace anvilpost {
namespace {

constexpr const char* authorization_header = "Authorization";

std::size_t count_headers(const header_list& headers, const std::string& name)
{
    return static_cast<std::size_t>(std::count_if(
        headers.begin(), headers.end(), [&](const auto& header) { return same_header(header.first, name); }));
}

/// Returns the digest of the key in an Authorization value, or nothing when it has another scheme or no key.
std::optional<key_digest> digest_of_credentials(const std::string& value, const std::string& scheme)
{
    const auto space = value.find(' ');
    if (space == std::string::npos || !same_header(value.substr(0, space), scheme)) {
        return std::nullopt;
    }
    const auto first = value.find_first_not_of(' ', space);
    const std::string key = first == std::string::npos ? "" : value.substr(first);
    return is_valid_key(key) ? std::optional(digest_of_key(key)) : std::nullopt;
}

} // namespace

authentication authenticate(outgoing_request& request, const organisation_directory& organisations,
                            const header_names& names, bool allow_anonymous, bool forwarded)
{
    if (!organisations.required()) {
        return {};
    }
    auto& headers = request.headers_;
    const auto shown = count_headers(headers, authorization_header);
    const auto value = find_header(headers, authorization_header);
    const auto digest = forwarded ? find_header(headers, key_digest_header) : std::nullopt;
    std::erase_if(headers, [&](const auto& header) {
        return same_header(header.first, authorization_header) ||
               same_header(header.first, key_digest_header) || same_header(header.first, names.organisation_);
    });
    if (shown == 0 && !digest) {
        return {allow_anonymous};
    }
    authentication result{false};
    if (digest) {
        result.key_ = parse_key_digest(*digest);
    }
    else if (shown == 1) {
        result.key_ = digest_of_credentials(*value, names.authorization_scheme_);
    }
    result.organisation_ = result.key_ ? organisations.find(*result.key_) : nullptr;
    result.accepted_ = result.organisation_ != nullptr;
    if (result.accepted_) {
        request.organisation_ = result.organisation_->name_;
        request.key_digest_ = to_text(*result.key_);
    }
    return result;
}

} // namespace anvilpost
