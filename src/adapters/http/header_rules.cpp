// Implementation of the header parsing; comparisons ignore case, numbers are parsed strictly.
#include "adapters/http/header_rules.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>

namespace anvilpost {
namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_names{
    "connection",          "expect", "keep-alive", "proxy-connection",  "proxy-authenticate",
    "proxy-authorization", "te",     "trailer",    "transfer-encoding", "upgrade"};

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool is_token(const std::string& name)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

template <class Number>
std::optional<Number> parse_digits(std::string_view text)
{
    Number value{};
    const char* end = text.data() + text.size();
    const bool starts_with_digit =
        !text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) != 0;
    const auto [stopped, error] = std::from_chars(text.data(), end, value);
    if (!starts_with_digit || error != std::errc{} || stopped != end) {
        return std::nullopt;
    }
    return value;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t");
    return text.substr(first, last - first + 1);
}

/// Accepts finite decimal numbers from 0 up, without an exponent.
std::optional<double> parse_decimal(std::string_view text)
{
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool valid = error == std::errc{} && stopped == end && std::isfinite(number) && number >= 0;
    return valid ? std::optional(number) : std::nullopt;
}

bool list_contains(std::string_view list, std::string_view wanted)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (equal_ignoring_case(trim(list.substr(0, comma)), wanted)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

} // namespace

bool same_header(const std::string& a, const std::string& b)
{
    return equal_ignoring_case(a, b);
}

std::optional<std::string> find_header(const header_list& headers, const std::string& name)
{
    for (const auto& [header, value] : headers) {
        if (same_header(header, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<framing> parse_framing(const header_list& headers)
{
    framing found;
    int lengths = 0;
    int encodings = 0;
    for (const auto& [name, value] : headers) {
        if (!is_token(name)) {
            return std::nullopt;
        }
        if (same_header(name, "Content-Length")) {
            ++lengths;
            found.content_length_ = parse_digits<std::uint64_t>(value);
            if (!found.content_length_) {
                return std::nullopt;
            }
        }
        if (same_header(name, "Transfer-Encoding")) {
            ++encodings;
            found.chunked_ = equal_ignoring_case(value, "chunked");
            if (!found.chunked_) {
                return std::nullopt;
            }
        }
    }
    if (lengths + encodings > 1) {
        return std::nullopt;
    }
    return found;
}

bool is_hop_by_hop(const std::string& name, const std::string& connection_value)
{
    const bool listed = std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                                    [&](std::string_view known) { return equal_ignoring_case(known, name); });
    return listed || list_contains(connection_value, name);
}

std::optional<std::chrono::milliseconds> parse_timeout(const header_list& headers, const std::string& name)
{
    const auto value = find_header(headers, name);
    if (!value) {
        return std::nullopt;
    }
    const auto count = parse_digits<std::int32_t>(*value);
    if (!count || *count <= 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*count);
}

std::optional<std::chrono::seconds> parse_keep_alive(const header_list& headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = find_header(headers, "Keep-Alive");
    const auto start = value ? value->find(parameter) : std::string::npos;
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const auto end = value->find_first_of(", ", start);
    const auto digits =
        std::string_view(*value).substr(start + parameter.size(), end - start - parameter.size());
    const auto count = parse_digits<std::int32_t>(digits);
    return count ? std::optional(std::chrono::seconds(*count)) : std::nullopt;
}

int parse_attempts(const header_list& headers, const std::string& name)
{
    const auto value = find_header(headers, name);
    return std::max(1, value ? parse_digits<std::int32_t>(*value).value_or(1) : 1);
}

std::uint64_t parse_revision(const header_list& headers, const std::string& name)
{
    const auto value = find_header(headers, name);
    return value ? parse_digits<std::uint64_t>(*value).value_or(0) : 0;
}

std::optional<double> parse_rate_limit(const header_list& headers, const std::string& name)
{
    const auto value = name.empty() ? std::nullopt : find_header(headers, name);
    return value ? parse_decimal(trim(*value)) : std::nullopt;
}

std::optional<duration> parse_retry_after(const header_list& headers)
{
    constexpr double max_seconds = 60;
    const auto value = find_header(headers, "Retry-After");
    const auto seconds = value ? parse_decimal(trim(*value)) : std::nullopt;
    if (!seconds) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(max_seconds, *seconds)));
}

std::string host_without_port(const std::string& host)
{
    std::string name = host;
    const auto colon = name.rfind(':');
    const bool inside_brackets = name.find(']') != std::string::npos && colon < name.find(']');
    if (colon != std::string::npos && !inside_brackets) {
        name.resize(colon);
    }
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

std::optional<load_report> parse_orca_report(const std::string& value)
{
    const auto brace = value.find('{');
    if (brace == std::string::npos) {
        return std::nullopt;
    }
    const auto report = nlohmann::json::parse(value.begin() + static_cast<std::ptrdiff_t>(brace), value.end(),
                                              nullptr, false);
    if (!report.is_object() || !report.contains("named_metrics") || !report["named_metrics"].is_object()) {
        return std::nullopt;
    }
    const auto& metrics = report["named_metrics"];
    if (!metrics.contains("in_flight") || !metrics["in_flight"].is_number()) {
        return std::nullopt;
    }
    const double in_flight = metrics["in_flight"].get<double>();
    return in_flight >= 0 ? std::optional(load_report{in_flight, std::nullopt, std::nullopt}) : std::nullopt;
}

} // namespace anvilpost
