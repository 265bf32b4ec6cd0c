// Parses intents and derives plans: applies the changes to a copy of the base configuration, checks the
// result and describes how it differs from the base.
#include "core/configuration/intent.h"

#include "core/configuration/configuration_check.h"
#include "core/configuration/configuration_json.h"
#include "core/configuration/json_reader.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace anvilpost {
namespace {

/// Returns the JSON pointer of a change in the intent.
std::string change_path(std::size_t index)
{
    return "/changes/" + std::to_string(index);
}

/// Parses the fields of a change that concerns organisations or data centres; returns false for other kinds.
bool parse_organisation_change(json_reader& reader, const std::string& path, change& parsed,
                               std::vector<field_fault>& faults)
{
    switch (parsed.kind_) {
    case change_kind::put_organisation:
        reader.required_text("organisation", parsed.organisation_);
        if (const auto* value = reader.child("value")) {
            parsed.organisation_value_ = parse_organisation(*value, path + "/value", faults);
        }
        else {
            reader.fault("value", "is required");
        }
        return true;
    case change_kind::remove_organisation:
        reader.required_text("organisation", parsed.organisation_);
        return true;
    case change_kind::set_evacuated:
        if (reader.child("data_centres") == nullptr) {
            reader.fault("data_centres", "is required");
        }
        reader.text_list("data_centres", parsed.data_centres_);
        return true;
    default: return false;
    }
}

/// Returns the intent's document with each API key replaced by its digest, so that plans hold no keys.
nlohmann::json without_keys(nlohmann::json document, const std::vector<change>& changes)
{
    for (std::size_t i = 0; i < changes.size(); ++i) {
        if (changes[i].kind_ == change_kind::put_organisation) {
            document["changes"][i]["value"] = to_json(changes[i].organisation_value_);
        }
    }
    return document;
}

change parse_change(const nlohmann::json& document, const std::string& path, std::vector<field_fault>& faults)
{
    change parsed;
    json_reader reader(document, path, faults);
    if (reader.child("change") == nullptr) {
        reader.fault("change", "is required");
    }
    reader.enum_value("change", parsed.kind_);
    if (parsed.kind_ == change_kind::put_fleet) {
        if (const auto* value = reader.child("value")) {
            parsed.fleet_value_ = parse_fleet(*value, path + "/value", faults);
        }
        else {
            reader.fault("value", "is required");
        }
        reader.report_unknown_fields();
        return parsed;
    }
    if (parsed.kind_ == change_kind::put_routes) {
        if (const auto* value = reader.child("value")) {
            parsed.routes_value_ = parse_routes(*value, path + "/value", faults);
        }
        else {
            reader.fault("value", "is required");
        }
        reader.report_unknown_fields();
        return parsed;
    }
    if (parse_organisation_change(reader, path, parsed, faults)) {
        reader.report_unknown_fields();
        return parsed;
    }
    reader.required_text("service", parsed.service_);
    const bool names_upstream =
        parsed.kind_ != change_kind::put_service && parsed.kind_ != change_kind::remove_service;
    if (names_upstream) {
        reader.required_text("upstream", parsed.upstream_);
    }
    if (parsed.kind_ == change_kind::set_upstream_state) {
        if (reader.child("state") == nullptr) {
            reader.fault("state", "is required");
        }
        reader.enum_value("state", parsed.state_);
    }
    const bool has_value =
        parsed.kind_ == change_kind::put_service || parsed.kind_ == change_kind::put_upstream;
    if (has_value) {
        const auto* value = reader.child("value");
        if (value == nullptr) {
            reader.fault("value", "is required");
        }
        else if (parsed.kind_ == change_kind::put_service) {
            parsed.service_value_ = parse_service(*value, path + "/value", faults);
        }
        else {
            parsed.upstream_value_ = parse_upstream(*value, path + "/value", faults);
        }
    }
    reader.report_unknown_fields();
    return parsed;
}

/// Applies changes to a configuration in place. A change that does not fit adds a fault and has no effect.
class change_applier {
public:
    change_applier(configuration& config, std::vector<field_fault>& faults) : config_(config), faults_(faults)
    {
    }

    void apply(const change& requested, const std::string& path)
    {
        switch (requested.kind_) {
        case change_kind::put_fleet: config_.fleet_ = requested.fleet_value_; return;
        case change_kind::put_routes: config_.routes_ = requested.routes_value_; return;
        case change_kind::put_organisation:
            if (!config_.organisations_) {
                config_.organisations_.emplace();
            }
            (*config_.organisations_)[requested.organisation_] = requested.organisation_value_;
            return;
        case change_kind::remove_organisation:
            if (!config_.organisations_ || config_.organisations_->erase(requested.organisation_) == 0) {
                faults_.push_back(
                    {path + "/organisation", "no organisation '" + requested.organisation_ + "'"});
            }
            return;
        case change_kind::set_evacuated:
            config_.evacuated_ = {requested.data_centres_.begin(), requested.data_centres_.end()};
            return;
        case change_kind::put_service:
            config_.services_[requested.service_] = requested.service_value_;
            return;
        case change_kind::remove_service:
            if (config_.services_.erase(requested.service_) == 0) {
                faults_.push_back({path + "/service", "no service '" + requested.service_ + "'"});
            }
            return;
        case change_kind::put_upstream:
            if (auto* service = find_service(requested, path)) {
                service->upstreams_[requested.upstream_] = requested.upstream_value_;
            }
            return;
        case change_kind::set_upstream_state:
            if (auto* upstream = find_upstream(requested, path)) {
                upstream->state_ = requested.state_;
            }
            return;
        case change_kind::remove_upstream:
            if (find_upstream(requested, path) != nullptr) {
                config_.services_[requested.service_].upstreams_.erase(requested.upstream_);
            }
            return;
        }
    }

private:
    service_config* find_service(const change& requested, const std::string& path)
    {
        const auto found = config_.services_.find(requested.service_);
        if (found == config_.services_.end()) {
            faults_.push_back({path + "/service", "no service '" + requested.service_ + "'"});
            return nullptr;
        }
        return &found->second;
    }

    upstream_config* find_upstream(const change& requested, const std::string& path)
    {
        auto* service = find_service(requested, path);
        if (service == nullptr) {
            return nullptr;
        }
        const auto found = service->upstreams_.find(requested.upstream_);
        if (found == service->upstreams_.end()) {
            faults_.push_back({path + "/upstream", "no upstream '" + requested.upstream_ + "' in service '" +
                                                       requested.service_ + "'"});
            return nullptr;
        }
        return &found->second;
    }

    configuration& config_;
    std::vector<field_fault>& faults_;
};

/// Appends a line for each field in which the JSON objects `before` and `after` differ.
void describe_changed_fields(const std::string& subject, const nlohmann::json& before,
                             const nlohmann::json& after, std::vector<std::string>& lines)
{
    for (const auto& [field, value] : after.items()) {
        const auto old = before.find(field);
        if (old == before.end()) {
            lines.push_back("~ " + subject + " " + field + ": (none) -> " + value.dump());
        }
        else if (*old != value) {
            lines.push_back("~ " + subject + " " + field + ": " + old->dump() + " -> " + value.dump());
        }
    }
    for (const auto& [field, value] : before.items()) {
        if (!after.contains(field)) {
            lines.push_back("~ " + subject + " " + field + ": " + value.dump() + " -> (none)");
        }
    }
}

void describe_upstreams(const std::string& service_name, const service_config& before,
                        const service_config& after, std::vector<std::string>& lines)
{
    for (const auto& [name, upstream] : after.upstreams_) {
        const std::string subject = "upstream " + service_name + "/" + name;
        const auto old = before.upstreams_.find(name);
        if (old == before.upstreams_.end()) {
            lines.push_back("+ " + subject + " at " + upstream.ip_ + ":" + std::to_string(upstream.port_) +
                            " (" + std::string(name_of(upstream.state_)) + ")");
            continue;
        }
        describe_changed_fields(subject, to_json(old->second), to_json(upstream), lines);
    }
    for (const auto& [name, unused] : before.upstreams_) {
        if (!after.upstreams_.contains(name)) {
            lines.push_back("- upstream " + service_name + "/" + name);
        }
    }
}

nlohmann::json routes_by_name(const configuration& config)
{
    nlohmann::json routes = nlohmann::json::object();
    for (const auto& route : config.routes_) {
        routes[route.name_] = to_json(route);
    }
    return routes;
}

nlohmann::json organisations_by_name(const configuration& config)
{
    nlohmann::json organisations = nlohmann::json::object();
    if (config.organisations_) {
        for (const auto& [name, organisation] : *config.organisations_) {
            organisations[name] = to_json(organisation);
        }
    }
    return organisations;
}

std::vector<std::string> describe_differences(const configuration& before, const configuration& after)
{
    std::vector<std::string> lines;
    describe_changed_fields("fleet", to_json(before.fleet_), to_json(after.fleet_), lines);
    describe_changed_fields("route", routes_by_name(before), routes_by_name(after), lines);
    describe_changed_fields("organisation", organisations_by_name(before), organisations_by_name(after),
                            lines);
    describe_changed_fields("data centres", {{"evacuated", before.evacuated_}},
                            {{"evacuated", after.evacuated_}}, lines);
    for (const auto& [name, service] : after.services_) {
        const auto old = before.services_.find(name);
        const service_config empty;
        if (old == before.services_.end()) {
            lines.push_back("+ service " + name + " for " + nlohmann::json(service.hosts_).dump());
            describe_upstreams(name, empty, service, lines);
            continue;
        }
        const auto old_json = to_json(old->second);
        const auto new_json = to_json(service);
        for (const auto* section : {"objective", "policy"}) {
            describe_changed_fields("service " + name + " " + section, old_json[section], new_json[section],
                                    lines);
        }
        if (old->second.hosts_ != service.hosts_) {
            lines.push_back("~ service " + name + " hosts: " + old_json["hosts"].dump() + " -> " +
                            new_json["hosts"].dump());
        }
        describe_upstreams(name, old->second, service, lines);
    }
    for (const auto& [name, unused] : before.services_) {
        if (!after.services_.contains(name)) {
            lines.push_back("- service " + name);
        }
    }
    return lines;
}

/// Warns of the step to the new configuration, and of what the new one has wrong and the old one had not: an
/// operator who leaves a known warning alone is not asked to review it with each plan.
std::vector<std::string> describe_warnings(const configuration& before, const configuration& after)
{
    std::vector<std::string> warnings;
    const auto step = check_transition(before, after);
    std::transform(step.begin(), step.end(), std::back_inserter(warnings),
                   [](const finding& found) { return found.message_; });
    const auto known = check_configuration(before, upstream_source::configuration);
    for (const auto& found : check_configuration(after, upstream_source::configuration)) {
        const bool is_known = std::any_of(known.begin(), known.end(), [&](const finding& other) {
            return other.path_ == found.path_ && other.message_ == found.message_;
        });
        if (!is_known) {
            warnings.push_back(found.path_ + ": " + found.message_);
        }
    }
    return warnings;
}

} // namespace

intent parse_intent(const nlohmann::json& document)
{
    intent parsed;
    std::vector<field_fault> faults;
    json_reader reader(document, "", faults);
    const auto* changes = reader.child("changes");
    if (changes == nullptr || !changes->is_array() || changes->empty()) {
        reader.fault("changes", "must be a list with at least one change");
    }
    else {
        for (std::size_t i = 0; i < changes->size(); ++i) {
            parsed.changes_.push_back(parse_change((*changes)[i], change_path(i), faults));
        }
    }
    reader.report_unknown_fields();
    if (!faults.empty()) {
        throw invalid_document(std::move(faults));
    }
    parsed.document_ = without_keys(document, parsed.changes_);
    return parsed;
}

plan derive_plan(const intent& requested, const configuration& base)
{
    plan derived;
    std::vector<field_fault> faults;
    derived.result_ = base;
    change_applier applier(derived.result_, faults);
    for (std::size_t i = 0; i < requested.changes_.size(); ++i) {
        applier.apply(requested.changes_[i], change_path(i));
    }
    check_consistency(derived.result_, faults);
    if (!faults.empty()) {
        throw invalid_document(std::move(faults));
    }
    derived.base_revision_ = base.revision_;
    derived.intent_document_ = requested.document_;
    derived.id_ = stable_hash_hex(std::to_string(base.revision_) + "\n" + requested.document_.dump());
    derived.differences_ = describe_differences(base, derived.result_);
    derived.warnings_ = describe_warnings(base, derived.result_);
    derived.result_.revision_ = base.revision_ + 1;
    auto& applied = derived.result_.applied_;
    applied.push_back({derived.id_, derived.result_.revision_});
    if (applied.size() > configuration::max_applied_plans) {
        applied.erase(applied.begin());
    }
    return derived;
}

std::optional<std::uint64_t> applied_revision(const configuration& config, const std::string& plan_id)
{
    for (const auto& entry : config.applied_) {
        if (entry.id_ == plan_id) {
            return entry.revision_;
        }
    }
    return std::nullopt;
}

nlohmann::json to_json(const plan& derived)
{
    return {{"plan", derived.id_},
            {"base_revision", derived.base_revision_},
            {"differences", derived.differences_},
            {"warnings", derived.warnings_},
            {"intent", derived.intent_document_}};
}

} // namespace anvilpost
