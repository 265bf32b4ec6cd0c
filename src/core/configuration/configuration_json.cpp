// Parses, validates and prints the JSON form of the configuration. Each field is checked as it is read; the
// rules that span services and routes are checked on the complete configuration.
#include "core/configuration/configuration_json.h"

#include "core/configuration/json_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <set>

namespace anvilpost {
namespace {

// Upper bounds of the accepted values.
constexpr int max_timeout_ms = 3'600'000; // One hour.
constexpr int max_nodes = 10'000;
constexpr int max_slots = 10'000;
constexpr int max_strikes = 100;
constexpr int max_attempts = 100;
constexpr int max_priority = 1'000;
constexpr int max_weight = 1'000'000;
constexpr int max_connections = 100'000;
constexpr int max_queue_length = 100'000;
constexpr double max_probes_per_second = 10'000;
constexpr double max_rate_per_second = 10'000'000;

bool is_numeric_address(const std::string& text)
{
    in6_addr buffer{}; // Large enough for an IPv4 address too.
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

void parse_objective(json_reader& service_reader, objective_config& objective,
                     std::vector<field_fault>& faults)
{
    const auto* document = service_reader.child("objective");
    if (document == nullptr) {
        return;
    }
    json_reader reader(*document, service_reader.path_of("objective"), faults);
    reader.number("availability", objective.availability_, 0.5, 0.999999);
    reader.milliseconds("latency_ms", objective.latency_, 1, max_timeout_ms);
    reader.number("latency_share", objective.latency_share_, 0.5, 0.999999);
    reader.report_unknown_fields();
}

void parse_policy(json_reader& service_reader, policy_config& policy, std::vector<field_fault>& faults)
{
    const auto* document = service_reader.child("policy");
    if (document == nullptr) {
        return;
    }
    json_reader reader(*document, service_reader.path_of("policy"), faults);
    reader.enum_value("picker", policy.picker_);
    reader.enum_value("scheduling", policy.scheduling_);
    reader.milliseconds("timeout_ms", policy.timeout_, 1, max_timeout_ms);
    reader.milliseconds("queue_wait_ms", policy.queue_wait_, 0, max_timeout_ms);
    reader.integer("queue_length", policy.queue_length_, 0, max_queue_length);
    reader.integer("slots", policy.slots_, 1, max_slots);
    reader.integer("worker_connections", policy.worker_connections_, 1, max_connections);
    reader.number("retry_share", policy.retry_share_, 0, 1);
    reader.number("hedge_share", policy.hedge_share_, 0, 1);
    reader.number("probes_per_second", policy.probes_per_second_, 0, max_probes_per_second);
    reader.text("health_path", policy.health_path_);
    reader.text_list("repeatable_methods", policy.repeatable_methods_);
    reader.milliseconds("warm_up_ms", policy.warm_up_, 0, max_timeout_ms);
    reader.number("warm_up_rate", policy.warm_up_rate_, 0, max_rate_per_second);
    if (!policy.health_path_.starts_with("/")) {
        reader.fault("health_path", "must start with '/'");
    }
    reader.report_unknown_fields();
}

void parse_upstreams(json_reader& service_reader, service_config& config, std::vector<field_fault>& faults)
{
    const auto* document = service_reader.child("upstreams");
    if (document == nullptr) {
        return;
    }
    if (!document->is_object()) {
        service_reader.fault("upstreams", "must be an object of upstreams by name");
        return;
    }
    for (const auto& [name, value] : document->items()) {
        const std::string path = service_reader.path_of("upstreams") + "/" + escape_pointer_token(name);
        config.upstreams_[name] = parse_upstream(value, path, faults);
    }
}

} // namespace

upstream_config parse_upstream(const nlohmann::json& document, const std::string& path,
                               std::vector<field_fault>& faults)
{
    upstream_config upstream;
    json_reader reader(document, path, faults);
    int port = 0;
    reader.required_text("ip", upstream.ip_);
    if (!upstream.ip_.empty() && !is_numeric_address(upstream.ip_)) {
        reader.fault("ip", "must be a numeric IPv4 or IPv6 address");
    }
    if (reader.child("port") == nullptr) {
        reader.fault("port", "is required");
    }
    reader.integer("port", port, 1, 65'535);
    upstream.port_ = static_cast<std::uint16_t>(port);
    reader.text("data_centre", upstream.data_centre_);
    reader.text("incarnation", upstream.incarnation_);
    reader.enum_value("state", upstream.state_);
    reader.report_unknown_fields();
    return upstream;
}

service_config parse_service(const nlohmann::json& document, const std::string& path,
                             std::vector<field_fault>& faults)
{
    service_config service;
    json_reader reader(document, path, faults);
    reader.text_list("hosts", service.hosts_);
    if (service.hosts_.empty()) {
        reader.fault("hosts", "must list at least one host name");
    }
    for (auto& host : service.hosts_) {
        host = lower_case(host);
    }
    parse_upstreams(reader, service, faults);
    parse_objective(reader, service.objective_, faults);
    parse_policy(reader, service.policy_, faults);
    reader.report_unknown_fields();
    return service;
}

fleet_config parse_fleet(const nlohmann::json& document, const std::string& path,
                         std::vector<field_fault>& faults)
{
    fleet_config fleet;
    json_reader reader(document, path, faults);
    reader.integer("max_nodes", fleet.max_nodes_, 1, max_nodes);
    reader.integer("strikes_to_quarantine", fleet.strikes_to_quarantine_, 1, max_strikes);
    reader.number("quota_overage", fleet.quota_overage_, 0, 1);
    reader.number("quota_slack", fleet.quota_slack_, 0, max_rate_per_second);
    reader.milliseconds("quota_window_ms", fleet.quota_window_, 1'000, max_timeout_ms);
    reader.report_unknown_fields();
    return fleet;
}

std::vector<route_config> parse_routes(const nlohmann::json& document, const std::string& path,
                                       std::vector<field_fault>& faults)
{
    std::vector<route_config> routes;
    if (!document.is_array()) {
        add_fault(faults, {path, "must be a list of routes"});
        return routes;
    }
    for (std::size_t i = 0; i < document.size(); ++i) {
        const std::string route_path = path + "/" + std::to_string(i);
        route_config route;
        json_reader reader(document[i], route_path, faults);
        reader.required_text("name", route.name_);
        reader.required_text("host", route.host_);
        route.host_ = lower_case(route.host_);
        reader.text("path_prefix", route.path_prefix_);
        reader.enum_value("repeat", route.repeat_);
        reader.integer("max_attempts", route.max_attempts_, 1, max_attempts);
        reader.milliseconds("timeout_ms", route.timeout_, 1, max_timeout_ms);
        reader.milliseconds("objective_ms", route.objective_, 1, max_timeout_ms);
        reader.integer("priority", route.priority_, 0, max_priority);
        reader.boolean("allow_anonymous", route.allow_anonymous_);
        reader.boolean("large_responses", route.large_responses_);
        if (!route.path_prefix_.starts_with("/")) {
            reader.fault("path_prefix", "must start with '/'");
        }
        const auto* targets = reader.child("targets");
        if (targets == nullptr || !targets->is_array() || targets->empty()) {
            reader.fault("targets", "must list at least one service with its weight");
        }
        else {
            for (std::size_t t = 0; t < targets->size(); ++t) {
                route_target target;
                json_reader target_reader((*targets)[t], route_path + "/targets/" + std::to_string(t),
                                          faults);
                target_reader.required_text("service", target.service_);
                target_reader.integer("weight", target.weight_, 1, max_weight);
                target_reader.report_unknown_fields();
                route.targets_.push_back(std::move(target));
            }
        }
        reader.report_unknown_fields();
        routes.push_back(std::move(route));
    }
    return routes;
}

organisation_config parse_organisation(const nlohmann::json& document, const std::string& path,
                                       std::vector<field_fault>& faults)
{
    organisation_config organisation;
    json_reader reader(document, path, faults);
    organisation.keys_ = parse_keys(reader, "keys");
    if (reader.child("priority") != nullptr) {
        organisation.priority_ = 0;
        reader.integer("priority", *organisation.priority_, 0, max_priority);
    }
    reader.number("rate_per_second", organisation.rate_per_second_, 0, max_rate_per_second);
    reader.number("burst", organisation.burst_, 0, max_rate_per_second);
    reader.report_unknown_fields();
    return organisation;
}

std::vector<key_digest> parse_keys(json_reader& reader, const std::string& field)
{
    std::vector<std::string> texts;
    std::vector<key_digest> keys;
    reader.text_list(field, texts);
    for (std::size_t i = 0; i < texts.size(); ++i) {
        if (const auto digest = parse_key_digest(texts[i])) {
            keys.push_back(*digest);
        }
        else if (is_valid_key(texts[i])) {
            keys.push_back(digest_of_key(texts[i]));
        }
        else {
            // The key itself must not appear in the message.
            reader.fault(field + "/" + std::to_string(i),
                         "must be 1 to " + std::to_string(max_key_bytes) + " visible ASCII characters");
        }
    }
    return keys;
}

void check_keys(const std::map<std::string, organisation_config>& organisations, const std::string& path,
                std::vector<field_fault>& faults)
{
    std::map<key_digest, std::string> holders;
    for (const auto& [name, organisation] : organisations) {
        for (std::size_t i = 0; i < organisation.keys_.size(); ++i) {
            const auto [holder, added] = holders.emplace(organisation.keys_[i], name);
            if (!added) {
                add_fault(faults, {path + "/" + escape_pointer_token(name) + "/keys/" + std::to_string(i),
                                   "organisation '" + holder->second + "' lists this key already"});
            }
        }
    }
}

namespace {

/// Parses the sections about organisations and evacuations, which most configurations lack.
void parse_restrictions(json_reader& reader, configuration& config, std::vector<field_fault>& faults)
{
    if (const auto* organisations = reader.child("organisations")) {
        config.organisations_.emplace();
        if (!organisations->is_object()) {
            reader.fault("organisations", "must be an object of organisations by name");
            return;
        }
        for (const auto& [name, value] : organisations->items()) {
            const std::string path = "/organisations/" + escape_pointer_token(name);
            if (name.empty()) {
                add_fault(faults, {path, "an organisation needs a name"});
            }
            (*config.organisations_)[name] = parse_organisation(value, path, faults);
        }
    }
    std::vector<std::string> evacuated;
    reader.text_list("evacuated", evacuated);
    config.evacuated_.insert(evacuated.begin(), evacuated.end());
}

/// Checks that route names are unique, as are pairs of host and prefix, and that the targets exist.
void check_routes(const configuration& config, std::vector<field_fault>& faults)
{
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
    for (std::size_t i = 0; i < config.routes_.size(); ++i) {
        const auto& route = config.routes_[i];
        const std::string path = "/routes/" + std::to_string(i);
        if (!names.insert(route.name_).second) {
            add_fault(faults, {path + "/name", "another route has the name '" + route.name_ + "'"});
        }
        if (!hosts_and_prefixes.insert({route.host_, route.path_prefix_}).second) {
            add_fault(faults, {path + "/path_prefix", "another route has the same host and prefix"});
        }
        for (const auto& target : route.targets_) {
            if (!config.services_.contains(target.service_)) {
                add_fault(faults, {path + "/targets", "no service '" + target.service_ + "'"});
            }
        }
    }
}

} // namespace

void check_consistency(const configuration& config, std::vector<field_fault>& faults)
{
    check_routes(config, faults);
    if (config.organisations_) {
        check_keys(*config.organisations_, "/organisations", faults);
    }
    std::map<std::string, std::string> service_of_host;
    for (const auto& [name, service] : config.services_) {
        for (const auto& host : service.hosts_) {
            const auto [entry, added] = service_of_host.emplace(host, name);
            if (!added) {
                add_fault(faults, {"/services/" + escape_pointer_token(name) + "/hosts",
                                   "host '" + host + "' already belongs to service '" + entry->second + "'"});
            }
        }
    }
}

configuration parse_configuration(const nlohmann::json& document)
{
    configuration config;
    std::vector<field_fault> faults;
    json_reader reader(document, "", faults);
    reader.revision("revision", config.revision_);
    if (const auto* services = reader.child("services"); services != nullptr && services->is_object()) {
        for (const auto& [name, value] : services->items()) {
            config.services_[name] = parse_service(value, "/services/" + escape_pointer_token(name), faults);
        }
    }
    else {
        reader.fault("services", "must be an object of services by name");
    }
    if (const auto* fleet = reader.child("fleet")) {
        config.fleet_ = parse_fleet(*fleet, "/fleet", faults);
    }
    if (const auto* routes = reader.child("routes")) {
        config.routes_ = parse_routes(*routes, "/routes", faults);
    }
    parse_restrictions(reader, config, faults);
    if (const auto* applied = reader.child("applied"); applied != nullptr && applied->is_array()) {
        for (std::size_t i = 0; i < applied->size(); ++i) {
            applied_plan plan;
            json_reader entry((*applied)[i], "/applied/" + std::to_string(i), faults);
            entry.required_text("id", plan.id_);
            entry.revision("revision", plan.revision_);
            config.applied_.push_back(std::move(plan));
        }
    }
    reader.report_unknown_fields();
    check_consistency(config, faults);
    if (!faults.empty()) {
        throw invalid_document(std::move(faults));
    }
    return config;
}

nlohmann::json to_json(const upstream_config& upstream)
{
    nlohmann::json document{
        {"ip", upstream.ip_}, {"port", upstream.port_}, {"state", name_of(upstream.state_)}};
    if (!upstream.data_centre_.empty()) {
        document["data_centre"] = upstream.data_centre_;
    }
    if (!upstream.incarnation_.empty()) {
        document["incarnation"] = upstream.incarnation_;
    }
    return document;
}

nlohmann::json to_json(const fleet_config& fleet)
{
    nlohmann::json document{{"max_nodes", fleet.max_nodes_},
                            {"strikes_to_quarantine", fleet.strikes_to_quarantine_}};
    // Nodes of earlier versions refuse documents with fields that they do not know, so fields that came later
    // are written only where they differ from their defaults.
    const fleet_config defaults;
    if (fleet.quota_overage_ != defaults.quota_overage_) {
        document["quota_overage"] = fleet.quota_overage_;
    }
    if (fleet.quota_slack_ != defaults.quota_slack_) {
        document["quota_slack"] = fleet.quota_slack_;
    }
    if (fleet.quota_window_ != defaults.quota_window_) {
        document["quota_window_ms"] = fleet.quota_window_.count();
    }
    return document;
}

nlohmann::json to_json(const organisation_config& organisation)
{
    nlohmann::json document{{"keys", nlohmann::json::array()},
                            {"rate_per_second", organisation.rate_per_second_},
                            {"burst", organisation.burst_}};
    for (const auto& key : organisation.keys_) {
        document["keys"].push_back(to_text(key));
    }
    if (organisation.priority_) {
        document["priority"] = *organisation.priority_;
    }
    return document;
}

nlohmann::json to_json(const route_config& route)
{
    nlohmann::json document{{"name", route.name_},
                            {"host", route.host_},
                            {"path_prefix", route.path_prefix_},
                            {"targets", nlohmann::json::array()},
                            {"repeat", name_of(route.repeat_)},
                            {"max_attempts", route.max_attempts_},
                            {"timeout_ms", route.timeout_.count()},
                            {"objective_ms", route.objective_.count()},
                            {"priority", route.priority_}};
    if (route.allow_anonymous_) {
        document["allow_anonymous"] = true;
    }
    if (route.large_responses_) {
        document["large_responses"] = true;
    }
    for (const auto& target : route.targets_) {
        document["targets"].push_back({{"service", target.service_}, {"weight", target.weight_}});
    }
    return document;
}

nlohmann::json to_json(const service_config& service)
{
    nlohmann::json document;
    document["hosts"] = service.hosts_;
    document["upstreams"] = nlohmann::json::object();
    for (const auto& [name, upstream] : service.upstreams_) {
        document["upstreams"][name] = to_json(upstream);
    }
    document["objective"] = {{"availability", service.objective_.availability_},
                             {"latency_ms", service.objective_.latency_.count()},
                             {"latency_share", service.objective_.latency_share_}};
    const auto& policy = service.policy_;
    document["policy"] = {{"picker", name_of(policy.picker_)},
                          {"timeout_ms", policy.timeout_.count()},
                          {"queue_wait_ms", policy.queue_wait_.count()},
                          {"queue_length", policy.queue_length_},
                          {"slots", policy.slots_},
                          {"worker_connections", policy.worker_connections_},
                          {"retry_share", policy.retry_share_},
                          {"hedge_share", policy.hedge_share_},
                          {"probes_per_second", policy.probes_per_second_},
                          {"health_path", policy.health_path_},
                          {"repeatable_methods", policy.repeatable_methods_}};
    if (policy.scheduling_ != scheduling_kind::by_objective) {
        document["policy"]["scheduling"] = name_of(policy.scheduling_);
    }
    if (policy.warm_up_.count() > 0) {
        document["policy"]["warm_up_ms"] = policy.warm_up_.count();
    }
    if (policy.warm_up_rate_ > 0) {
        document["policy"]["warm_up_rate"] = policy.warm_up_rate_;
    }
    return document;
}

nlohmann::json to_json(const configuration& config)
{
    nlohmann::json document{{"revision", config.revision_},
                            {"fleet", to_json(config.fleet_)},
                            {"services", nlohmann::json::object()},
                            {"applied", nlohmann::json::array()}};
    for (const auto& [name, service] : config.services_) {
        document["services"][name] = to_json(service);
    }
    for (const auto& route : config.routes_) {
        document["routes"].push_back(to_json(route));
    }
    if (config.organisations_) {
        document["organisations"] = nlohmann::json::object();
        for (const auto& [name, organisation] : *config.organisations_) {
            document["organisations"][name] = to_json(organisation);
        }
    }
    if (!config.evacuated_.empty()) {
        document["evacuated"] = config.evacuated_;
    }
    for (const auto& plan : config.applied_) {
        document["applied"].push_back({{"id", plan.id_}, {"revision", plan.revision_}});
    }
    return document;
}

} // namespace anvilpost
