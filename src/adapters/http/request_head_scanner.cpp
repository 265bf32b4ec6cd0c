// Implementation of the head check: splits the input into lines and validates each one at its end.
#include "adapters/http/request_head_scanner.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace anvilpost {
namespace {

constexpr std::size_t kept_header_line_bytes = 256;
constexpr std::size_t max_request_line_bytes = 8'192;
constexpr std::array<std::string_view, 8> known_methods{"GET",    "HEAD",    "POST",  "PUT",
                                                        "DELETE", "OPTIONS", "TRACE", "PATCH"};

bool valid_request_line(std::string_view line)
{
    const auto method_end = line.find(' ');
    const auto version_start = line.rfind(' ');
    if (method_end == std::string_view::npos || version_start <= method_end + 1) {
        return false;
    }
    const auto method = line.substr(0, method_end);
    const auto target = line.substr(method_end + 1, version_start - method_end - 1);
    const auto version = line.substr(version_start + 1);
    const bool known = std::find(known_methods.begin(), known_methods.end(), method) != known_methods.end();
    return known && target.find(' ') == std::string_view::npos &&
           (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool is_content_length(std::string_view name)
{
    constexpr std::string_view wanted = "content-length";
    return std::equal(name.begin(), name.end(), wanted.begin(), wanted.end(),
                      [](unsigned char a, char b) { return std::tolower(a) == b; });
}

bool valid_header_line(std::string_view line)
{
    const auto colon = line.find(':');
    const bool named =
        colon != std::string_view::npos && colon > 0 && line.front() != ' ' && line.front() != '\t';
    if (!named || !is_content_length(line.substr(0, colon))) {
        return named;
    }
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    return !value.empty() &&
           std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
}

} // namespace

void request_head_scanner::reset()
{
    head_bytes_ = 0;
    first_line_ = true;
    complete_ = false;
    line_.clear();
}

std::optional<problem_kind> request_head_scanner::feed(std::string_view bytes)
{
    for (const char c : bytes) {
        if (complete_) {
            return std::nullopt;
        }
        if (++head_bytes_ > max_head_bytes_) {
            return problem_kind::header_too_large;
        }
        if (c == '\n') {
            if (const auto fault = end_line()) {
                return fault;
            }
            continue;
        }
        const std::size_t limit = first_line_ ? max_request_line_bytes : kept_header_line_bytes;
        if (line_.size() < limit) {
            line_ += c;
        }
        else if (first_line_) {
            return problem_kind::header_too_large;
        }
    }
    return std::nullopt;
}

std::optional<problem_kind> request_head_scanner::end_line()
{
    if (!line_.empty() && line_.back() == '\r') {
        line_.pop_back();
    }
    const bool first = first_line_;
    const bool last = !first && line_.empty();
    const bool valid = last || (first ? valid_request_line(line_) : valid_header_line(line_));
    first_line_ = false;
    complete_ = last;
    line_.clear();
    if (!valid) {
        return problem_kind::malformed_request;
    }
    return std::nullopt;
}

} // namespace anvilpost
