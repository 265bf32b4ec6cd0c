// Reads JSON text that people write: bounds its size, nesting and number of values, finds fields that an
// object holds twice, and gives the line and column of what is wrong. No message contains a value of the
// text, which may hold API keys.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilpost {

/// Both count from 1; columns count bytes.
struct text_position {
    std::size_t line_ = 1;
    std::size_t column_ = 1;

    bool operator==(const text_position&) const = default;
};

struct text_fault {
    text_position position_;
    std::string path_; ///< JSON pointer, as far as it is known.
    std::string message_;
};

/// The largest configurations in use have about 0.3 MB. The parser's message about a syntax error, and the
/// copies that it makes, may need 24 times the size of the text, and a check may use 64 MB.
inline constexpr std::size_t max_json_text_bytes = 2UL * 1024 * 1024;
inline constexpr std::size_t max_json_nesting = 32;

/// Strings and names of fields; the names are part of the paths of faults.
inline constexpr std::size_t max_json_string_bytes = 4096;

/// A value that stands for a service needs 600 bytes, even if it is faulty: 100,000 of them needed 60 MB of
/// the 64 MB that a check may use.
inline constexpr std::size_t max_json_values = 80'000;

/// Returns where the text exceeds one of the limits above. It needs no memory, so that it can be called
/// before text from elsewhere is parsed; a tree of unlimited depth overflows the stack when it is copied or
/// printed.
std::optional<text_fault> find_excess(const std::string& text, std::size_t max_values = max_json_values);

/// Returns what makes the text unfit to be parsed. At most `max_text_faults` are returned.
std::vector<text_fault> check_json_text(const std::string& text);
inline constexpr std::size_t max_text_faults = 100;

/// Returns the positions of the given JSON pointers; for one that the text lacks, that of the nearest object
/// or list around it. The text must have passed `check_json_text`.
std::map<std::string, text_position> locate_in_json(const std::string& text,
                                                    const std::set<std::string>& pointers);

} // namespace anvilpost
