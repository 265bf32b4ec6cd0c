// Scans JSON text with the library's event parser, which keeps no tree and does not recurse.
#include "core/configuration/json_text.h"

#include "core/configuration/json_reader.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace anvilpost {
namespace {

/// Iterator over text that tells how far the parser has read.
class counting_iterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, const char** reached) : at_(at), reached_(reached) {}

    reference operator*() const { return *at_; }
    counting_iterator& operator++()
    {
        *reached_ = ++at_;
        return *this;
    }
    counting_iterator operator++(int)
    {
        auto before = *this;
        ++*this;
        return before;
    }
    bool operator==(const counting_iterator& other) const { return at_ == other.at_; }
    bool operator!=(const counting_iterator& other) const { return at_ != other.at_; }

private:
    const char* at_;
    const char** reached_;
};

text_position position_of(const std::string& text, std::size_t offset)
{
    offset = std::min(offset, text.size());
    const auto begin = text.begin();
    const auto end = begin + static_cast<std::ptrdiff_t>(offset);
    const auto last_break = std::find(std::make_reverse_iterator(end), text.rend(), '\n');
    return {1 + static_cast<std::size_t>(std::count(begin, end, '\n')),
            1 + static_cast<std::size_t>(std::distance(last_break.base(), end))};
}

/// Follows the events of the parser; tracks where it is in the document.
class text_scanner : public nlohmann::json_sax<nlohmann::json> {
public:
    text_scanner(const std::string& text, const std::set<std::string>& wanted) : text_(text), wanted_(wanted)
    {
    }

    void scan()
    {
        const char* begin = text_.data();
        reached_ = begin;
        nlohmann::json::sax_parse(counting_iterator(begin, &reached_),
                                  counting_iterator(begin + text_.size(), &reached_), this);
    }

    bool null() override { return value(); }
    bool boolean(bool /*read*/) override { return value(); }
    bool number_integer(number_integer_t /*read*/) override { return value(); }
    bool number_unsigned(number_unsigned_t /*read*/) override { return value(); }
    bool number_float(number_float_t /*read*/, const string_t& /*text*/) override { return value(); }
    bool string(string_t& /*read*/) override { return value(); }
    bool binary(binary_t& /*read*/) override { return value(); }
    bool start_object(std::size_t /*elements*/) override { return open(false); }
    bool start_array(std::size_t /*elements*/) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        auto& object = containers_.back();
        object.key_offset_ = start_of_string();
        object.child_path_ = object.path_ + "/" + escape_pointer_token(name);
        if (!object.names_.insert(name).second) {
            add_fault(object.key_offset_, object.child_path_, "the object holds this field twice");
        }
        return faults_.size() < max_text_faults;
    }

    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const nlohmann::detail::exception& error) override
    {
        // "... line 1, column 2: syntax error while parsing value - REASON; last read: 'TEXT'; expected ...":
        // the text read may be part of a key.
        std::string message = error.what();
        message = message.substr(0, message.find("; last read"));
        if (const auto start = message.find("syntax error"); start != std::string::npos) {
            message = message.substr(start);
        }
        else {
            message = "a number is out of range";
        }
        add_fault(position == 0 ? 0 : position - 1, containers_.empty() ? "" : containers_.back().path_,
                  message);
        return false;
    }

    std::vector<text_fault> faults_;
    std::map<std::string, std::size_t> found_; ///< Offsets of the wanted pointers.

private:
    struct container {
        std::string path_;
        bool is_list_ = false;
        std::size_t next_index_ = 0;
        std::size_t key_offset_ = 0; ///< Of the last field's name.
        std::string child_path_;
        std::set<std::string> names_;
    };

    [[nodiscard]] std::size_t offset() const { return static_cast<std::size_t>(reached_ - text_.data()); }

    /// Returns the offset of the opening quote of the string that was just read.
    [[nodiscard]] std::size_t start_of_string() const
    {
        std::size_t at = offset() < 2 ? 0 : offset() - 2;
        for (; at > 0; --at) {
            if (text_[at] != '"') {
                continue;
            }
            std::size_t escapes = 0;
            while (escapes < at && text_[at - escapes - 1] == '\\') {
                ++escapes;
            }
            if (escapes % 2 == 0) {
                break;
            }
        }
        return at;
    }

    void add_fault(std::size_t at, const std::string& path, const std::string& message)
    {
        faults_.push_back({position_of(text_, at), path, message});
    }

    /// Returns the path of the value that begins now.
    std::string begin_value()
    {
        if (containers_.empty()) {
            return "";
        }
        auto& parent = containers_.back();
        std::string path =
            parent.is_list_ ? parent.path_ + "/" + std::to_string(parent.next_index_++) : parent.child_path_;
        const auto last_read = offset() == 0 ? 0 : offset() - 1;
        if (wanted_.contains(path)) {
            found_.emplace(path, parent.is_list_ ? last_read : parent.key_offset_);
        }
        return path;
    }

    bool value()
    {
        begin_value();
        return true;
    }

    bool open(bool is_list)
    {
        container opened;
        opened.path_ = begin_value();
        opened.is_list_ = is_list;
        containers_.push_back(std::move(opened));
        return true;
    }

    bool close()
    {
        containers_.pop_back();
        return true;
    }

    const std::string& text_;
    const std::set<std::string>& wanted_;
    const char* reached_ = nullptr;
    std::vector<container> containers_;
};

/// Returns the positions of all offsets in one pass over the text.
std::map<std::size_t, text_position> positions_of(const std::string& text,
                                                  const std::set<std::size_t>& offsets)
{
    std::map<std::size_t, text_position> positions;
    text_position position;
    std::size_t at = 0;
    for (const auto offset : offsets) {
        for (; at < std::min(offset, text.size()); ++at) {
            if (text[at] == '\n') {
                ++position.line_;
                position.column_ = 0;
            }
            ++position.column_;
        }
        positions.emplace(offset, position);
    }
    return positions;
}

} // namespace

std::optional<text_fault> find_excess(const std::string& text, std::size_t max_values)
{
    const auto fault_at = [&](std::size_t offset, const std::string& message) {
        return text_fault{position_of(text, offset), "", message};
    };
    if (text.size() > max_json_text_bytes) {
        return fault_at(max_json_text_bytes,
                        "the text is longer than " + std::to_string(max_json_text_bytes) + " bytes");
    }
    std::size_t depth = 0;
    std::size_t values = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        switch (text[at]) {
        case '"': {
            const auto start = at;
            for (++at; at < text.size() && text[at] != '"'; ++at) {
                if (static_cast<unsigned char>(text[at]) < ' ') {
                    return std::nullopt; // The parser stops here.
                }
                at += text[at] == '\\' ? 1 : 0;
            }
            if (at - start > max_json_string_bytes + 1) {
                return fault_at(start, "a string is longer than " + std::to_string(max_json_string_bytes) +
                                           " bytes");
            }
            break;
        }
        case '{':
        case '[':
            // Counted as a value here, because an empty one has no comma.
            ++values;
            if (++depth > max_json_nesting) {
                return fault_at(at, "nested deeper than " + std::to_string(max_json_nesting) +
                                        " objects and lists");
            }
            break;
        case '}':
        case ']': depth -= depth > 0 ? 1 : 0; break;
        case ',': ++values; break;
        default: break;
        }
        if (values > max_values) {
            return fault_at(at, "more than " + std::to_string(max_values) + " values");
        }
    }
    return std::nullopt;
}

std::vector<text_fault> check_json_text(const std::string& text)
{
    if (auto excess = find_excess(text)) {
        return {std::move(*excess)};
    }
    const std::set<std::string> nothing;
    text_scanner scanner(text, nothing);
    scanner.scan();
    return std::move(scanner.faults_);
}

std::map<std::string, text_position> locate_in_json(const std::string& text,
                                                    const std::set<std::string>& pointers)
{
    std::set<std::string> wanted;
    for (auto pointer : pointers) {
        while (!pointer.empty()) {
            wanted.insert(pointer);
            pointer.resize(std::min(pointer.size(), pointer.rfind('/') == std::string::npos
                                                        ? std::size_t{0}
                                                        : pointer.rfind('/')));
        }
    }
    text_scanner scanner(text, wanted);
    scanner.scan();
    const auto start = text.find_first_not_of(" \t\r\n");
    std::map<std::string, std::size_t> offset_of_pointer;
    std::set<std::size_t> offsets;
    for (const auto& pointer : pointers) {
        auto nearest = pointer;
        while (!nearest.empty() && !scanner.found_.contains(nearest)) {
            const auto slash = nearest.rfind('/');
            nearest.resize(slash == std::string::npos ? 0 : slash);
        }
        const auto offset = nearest.empty() ? start : scanner.found_[nearest];
        offset_of_pointer[pointer] = offset;
        offsets.insert(offset);
    }
    const auto position_of_offset = positions_of(text, offsets);
    std::map<std::string, text_position> positions;
    for (const auto& [pointer, offset] : offset_of_pointer) {
        positions[pointer] = position_of_offset.at(offset);
    }
    return positions;
}

} // namespace anvilpost
