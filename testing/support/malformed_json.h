// Malformed JSON documents for tests of parsers: mutations of a valid document, duplicated fields, deep
// nesting and documents that are large in one respect each.
#pragma once

#include "ports/random_port.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace anvilpost::testing {

/// Returns the text with one to four random edits: bits flipped, a piece removed, copied or overwritten, the
/// rest cut off.
inline std::string mutate_text(std::string text, random_port& random)
{
    const std::string inserted = "{}[]\",:\\0-9eE\n\x80u";
    const auto edits = 1 + random_below(random, 4);
    for (std::size_t i = 0; i < edits && !text.empty(); ++i) {
        const auto at = random_below(random, text.size());
        const auto length = 1 + random_below(random, 12);
        switch (random_below(random, 6)) {
        case 0: text.erase(at, length); break;
        case 1: text.insert(at, 1, inserted[random_below(random, inserted.size())]); break;
        case 2: text.insert(at, text.substr(random_below(random, text.size()), length * 8)); break;
        case 3: text[at] = static_cast<char>(text[at] ^ (1 << random_below(random, 8))); break;
        case 4: text[at] = static_cast<char>(random_below(random, 256)); break;
        default: text.resize(at + 1); break;
        }
    }
    return text;
}

struct duplicated_field {
    std::string text_;
    std::string pointer_;    ///< JSON pointer of the field that the text holds twice.
    std::size_t offset_ = 0; ///< Of the second occurrence.
};

namespace detail {

/// Prints `value` and holds the field number `target` twice, counted in the order of the text.
inline void print_with_duplicate(const nlohmann::json& value, const std::string& pointer, std::size_t target,
                                 std::size_t& count, duplicated_field& result)
{
    if (!value.is_structured()) {
        result.text_ += value.dump();
        return;
    }
    result.text_ += value.is_object() ? '{' : '[';
    std::size_t index = 0;
    for (const auto& [name, child] : value.items()) {
        result.text_ += index++ > 0 ? ",\n" : "";
        const auto path = pointer + "/" + name;
        const auto name_text = value.is_object() ? nlohmann::json(name).dump() + ":" : "";
        result.text_ += name_text;
        const bool is_target = value.is_object() && count++ == target;
        print_with_duplicate(child, path, target, count, result);
        if (is_target) {
            result.text_ += ", ";
            result.pointer_ = path;
            result.offset_ = result.text_.size();
            result.text_ += name_text + child.dump();
        }
    }
    result.text_ += value.is_object() ? '}' : ']';
}

} // namespace detail

/// Returns the document once for each of its fields, with that field twice. Field names must not need
/// escaping in a JSON pointer.
inline std::vector<duplicated_field> duplicate_each_field(const nlohmann::json& document)
{
    std::vector<duplicated_field> results;
    for (std::size_t target = 0;; ++target) {
        duplicated_field result;
        std::size_t count = 0;
        detail::print_with_duplicate(document, "", target, count, result);
        if (count <= target) {
            return results;
        }
        results.push_back(std::move(result));
    }
}

/// Repeats `piece`, with each "#" replaced by a running number, until the text has the given size, but at
/// most `times`.
inline std::string repeat_numbered(const std::string& piece, std::size_t size,
                                   std::size_t times = std::string::npos)
{
    std::string text;
    for (std::size_t i = 0; text.size() < size && i < times; ++i) {
        for (const char c : piece) {
            if (c == '#') {
                text += std::to_string(i);
            }
            else {
                text += c;
            }
        }
    }
    return text;
}

/// Returns texts of about `size` bytes, each large in one respect, with its description.
inline std::vector<std::pair<std::string, std::string>> large_texts(std::size_t size)
{
    size -= 100;
    const auto list_of = [&](const std::string& piece) { return "[" + repeat_numbered(piece, size) + "0]"; };
    const auto object_of = [&](const std::string& piece) {
        return "{" + repeat_numbered(piece, size) + "\"last\":0}";
    };
    const auto nested_below_long_name = [&] {
        std::string text = "{\"" + std::string(size / 2, 'n') + "\":";
        for (int i = 0; i < 24; ++i) {
            text += "{\"a\":";
        }
        return text + "0" + std::string(25, '}');
    };
    std::string escapes(size / 2 * 2, '\\');
    return {
        {"white space", std::string(size, '\n')},
        {"zero bytes", std::string(size, '\0')},
        {"a string", "\"" + std::string(size, 's') + "\""},
        {"a name", "{\"" + std::string(size, 'n') + "\":0}"},
        {"a name of escapes", "{\"" + escapes + "\":0}"},
        {"a long name around nested objects", nested_below_long_name()},
        {"a number", std::string(size, '7')},
        {"a list of numbers", list_of("0,")},
        {"a list of empty lists", list_of("[],")},
        {"a list of empty objects", list_of("{},")},
        {"a list of objects", list_of("{\"a\":1},")},
        {"an object of unknown fields", object_of("\"#\":0,")},
        {"one field again and again", object_of("\"a\":0,")},
        {"unterminated strings", repeat_numbered("\"", size)},
        {"unterminated lists", repeat_numbered("[", size)},
        {"unterminated objects", repeat_numbered("{\"a\":", size)},
        {"terminated lists", std::string(size / 2, '[') + std::string(size / 2, ']')},
    };
}

} // namespace anvilpost::testing
