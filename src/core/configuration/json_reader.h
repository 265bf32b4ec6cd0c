// Reads and validates typed fields of a JSON object. It collects all faults instead of stopping at the
// first, so that an operator can fix them in one go.
#pragma once

#include "core/configuration/field_fault.h"
#include "vocabulary/enum_names.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace anvilpost {

/// Reads the fields of one JSON object. A missing field leaves its target unchanged; a field of the wrong
/// type or out of range adds a fault and leaves its target unchanged too. `report_unknown_fields`
/// reports the fields that were not read. The object and the list of faults must outlive the reader.
class json_reader {
public:
    /// `path` is the JSON pointer of `object`, empty for a whole document.
    json_reader(const nlohmann::json& object, std::string path, std::vector<field_fault>& faults);

    void text(const std::string& name, std::string& target);

    /// Reads a string. Adds a fault when it is missing or empty.
    void required_text(const std::string& name, std::string& target);

    /// Reads true or false.
    void boolean(const std::string& name, bool& target);

    /// Reads a number from `low` to `high`, both included.
    void number(const std::string& name, double& target, double low, double high);

    /// Reads a whole number from `low` to `high`, both included.
    void integer(const std::string& name, int& target, int low, int high);

    /// Reads a revision number. Adds a fault when it is missing.
    void revision(const std::string& name, std::uint64_t& target);

    /// Reads a whole number of milliseconds from `low` to `high`, both included.
    void milliseconds(const std::string& name, std::chrono::milliseconds& target, int low, int high);

    /// Reads a list of strings. Elements of another type add a fault and are left out.
    void text_list(const std::string& name, std::vector<std::string>& target);

    /// Reads the name of an enum value; `enum_names` lists the accepted names.
    template <class E>
    void enum_value(const std::string& name, E& target)
    {
        std::string text_value;
        text(name, text_value);
        if (text_value.empty()) {
            return;
        }
        if (const auto value = enum_from_name<E>(text_value)) {
            target = *value;
            return;
        }
        std::string accepted;
        for (const auto& [unused, accepted_name] : enum_names<E>::table) {
            accepted += accepted.empty() ? "" : ", ";
            accepted += accepted_name;
        }
        fault(name, "unknown value '" + text_value + "'; accepted: " + accepted);
    }

    /// Returns the field with that name, or nullptr when it is missing. The field counts as read.
    const nlohmann::json* child(const std::string& name);

    /// Returns the JSON pointer of a field.
    [[nodiscard]] std::string path_of(const std::string& name) const;

    /// Adds a fault to a field.
    void fault(const std::string& name, std::string message);

    /// Adds a fault for each field that was not read.
    void report_unknown_fields();

private:
    const nlohmann::json& object_;
    std::string path_;
    std::vector<field_fault>& faults_;
    std::set<std::string> requested_names_; ///< Names of the fields that were asked for, present or not.
};

/// Escapes one reference token of a JSON pointer (RFC 6901, section 3).
std::string escape_pointer_token(const std::string& token);

} // namespace anvilpost
