// Reads typed fields out of a JSON object and collects faults instead of stopping at the first.
#pragma once

#include "core/configuration/field_fault.h"
#include "vocabulary/enum_names.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace anvilpost {

/// Reads the fields of one JSON object. A missing field leaves its target unchanged; a field of the
/// wrong type or range adds a fault. `finish` reports fields that nobody read.
class json_reader {
public:
    json_reader(const nlohmann::json& object, std::string path, std::vector<field_fault>& faults);

    void text(const std::string& name, std::string& target);
    void required_text(const std::string& name, std::string& target);
    void number(const std::string& name, double& target, double low, double high);
    void integer(const std::string& name, int& target, int low, int high);
    void revision(const std::string& name, std::uint64_t& target);
    void milliseconds(const std::string& name, std::chrono::milliseconds& target, int low, int high);
    void texts(const std::string& name, std::vector<std::string>& target);

    /// Reads the name of an enum value.
    template <class E>
    void named(const std::string& name, E& target)
    {
        std::string text_value;
        text(name, text_value);
        if (text_value.empty()) {
            return;
        }
        if (const auto value = value_named<E>(text_value)) {
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

    /// Returns the child with that name, or nullptr when it is absent.
    const nlohmann::json* child(const std::string& name);

    /// Returns the JSON pointer of a child.
    [[nodiscard]] std::string path_of(const std::string& name) const;

    void fault(const std::string& name, std::string message);

    /// Adds a fault for each field that was not read.
    void finish();

private:
    const nlohmann::json& object_;
    std::string path_;
    std::vector<field_fault>& faults_;
    std::set<std::string> read_;
};

/// Escapes one reference token of a JSON pointer (RFC 6901, section 3).
std::string escape_pointer_token(const std::string& token);

} // namespace anvilpost
