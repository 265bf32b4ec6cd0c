// Implementation of json_reader: a function for each field type checks the type and range of the value.
#include "core/configuration/json_reader.h"

namespace anvilpost {

std::string escape_pointer_token(const std::string& token)
{
    std::string escaped;
    for (const char c : token) {
        if (c == '~') {
            escaped += "~0";
        }
        else if (c == '/') {
            escaped += "~1";
        }
        else {
            escaped += c;
        }
    }
    return escaped;
}

json_reader::json_reader(const nlohmann::json& object, std::string path, std::vector<field_fault>& faults)
    : object_(object), path_(std::move(path)), faults_(faults)
{
    if (!object_.is_object()) {
        add_fault(faults_, {path_.empty() ? "/" : path_, "must be an object"});
    }
}

const nlohmann::json* json_reader::child(const std::string& name)
{
    requested_names_.insert(name);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

std::string json_reader::path_of(const std::string& name) const
{
    return path_ + "/" + escape_pointer_token(name);
}

void json_reader::fault(const std::string& name, std::string message)
{
    add_fault(faults_, {path_of(name), std::move(message)});
}

void json_reader::text(const std::string& name, std::string& target)
{
    const auto* value = child(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        fault(name, "must be a string");
        return;
    }
    target = value->get<std::string>();
}

void json_reader::required_text(const std::string& name, std::string& target)
{
    if (child(name) == nullptr) {
        fault(name, "is required");
        return;
    }
    text(name, target);
    // For a value of another type, `text` has already added a fault.
    if (child(name)->is_string() && target.empty()) {
        fault(name, "must not be empty");
    }
}

void json_reader::boolean(const std::string& name, bool& target)
{
    const auto* value = child(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        fault(name, "must be true or false");
        return;
    }
    target = value->get<bool>();
}

void json_reader::number(const std::string& name, double& target, double low, double high)
{
    const auto* value = child(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
        fault(name,
              "must be a number from " + nlohmann::json(low).dump() + " to " + nlohmann::json(high).dump());
        return;
    }
    target = value->get<double>();
}

void json_reader::integer(const std::string& name, int& target, int low, int high)
{
    const auto* value = child(name);
    if (value == nullptr) {
        return;
    }
    const bool whole = value->is_number_integer();
    if (!whole || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
        fault(name, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return;
    }
    target = value->get<int>();
}

void json_reader::revision(const std::string& name, std::uint64_t& target)
{
    const auto* value = child(name);
    if (value == nullptr) {
        fault(name, "is required");
        return;
    }
    if (!value->is_number_unsigned()) {
        fault(name, "must be a whole number of at least 0");
        return;
    }
    target = value->get<std::uint64_t>();
}

void json_reader::milliseconds(const std::string& name, std::chrono::milliseconds& target, int low, int high)
{
    int count = static_cast<int>(target.count());
    integer(name, count, low, high);
    target = std::chrono::milliseconds(count);
}

void json_reader::text_list(const std::string& name, std::vector<std::string>& target)
{
    const auto* value = child(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fault(name, "must be a list of strings");
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < value->size(); ++i) {
        if (!(*value)[i].is_string()) {
            add_fault(faults_, {path_of(name) + "/" + std::to_string(i), "must be a string"});
            continue;
        }
        target.push_back((*value)[i].get<std::string>());
    }
}

void json_reader::report_unknown_fields()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto& [name, unused] : object_.items()) {
        if (!requested_names_.contains(name)) {
            fault(name, "unknown field");
        }
    }
}

} // namespace anvilpost
