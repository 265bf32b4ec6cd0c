// Finds contradictions and entries without effect. Each check is a function of its own that appends findings.
#include "core/configuration/configuration_check.h"

#include "core/configuration/configuration_changes.h"
#include "core/configuration/configuration_json.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace anvilpost {
namespace {

using findings_list = std::vector<finding>;

void warn(findings_list& found, std::string path, std::string message, std::string affected)
{
    found.push_back(
        {finding_severity::warning, std::move(path), std::move(message), std::move(affected), {}});
}

std::string ms(std::chrono::milliseconds length)
{
    return std::to_string(length.count()) + " ms";
}

std::string short_number(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::size_t count_receiving(const service_config& service)
{
    return static_cast<std::size_t>(
        std::count_if(service.upstreams_.begin(), service.upstreams_.end(),
                      [](const auto& entry) { return receives_calls(entry.second.state_); }));
}

/// Requests per second that the upstreams run if each takes the objective of its service.
double capacity_of(const service_config& service)
{
    double slots = 0;
    for (const auto& [unused, upstream] : service.upstreams_) {
        if (receives_calls(upstream.state_)) {
            slots += upstream.slots_ > 0 ? upstream.slots_ : service.policy_.slots_;
        }
    }
    return slots / std::chrono::duration<double>(service.objective_.latency_).count();
}

void check_service(const configuration& config, const std::string& name, const service_config& service,
                   upstream_source upstreams, findings_list& found)
{
    const auto path = "/services/" + escape_pointer_token(name);
    const auto& policy = service.policy_;
    const auto affected = callers_of_service(config, name);
    const bool has_route = std::any_of(config.routes_.begin(), config.routes_.end(), [&](const auto& route) {
        return std::any_of(route.targets_.begin(), route.targets_.end(),
                           [&](const auto& target) { return target.service_ == name; });
    });
    if (service.hosts_.empty() && !has_route) {
        warn(found, path, "no host and no route leads to this service", "");
    }
    if (upstreams == upstream_source::configuration && count_receiving(service) == 0) {
        warn(found, path + "/upstreams", "no upstream receives calls: every request gets 503", affected);
    }
    if (!service.hosts_.empty() && policy.timeout_ < service.objective_.latency_) {
        warn(found, path + "/policy/timeout_ms",
             "the timeout of " + ms(policy.timeout_) + " is shorter than the latency objective of " +
                 ms(service.objective_.latency_),
             affected);
    }
    if (!service.hosts_.empty() && policy.queue_wait_ > policy.timeout_) {
        warn(found, path + "/policy/queue_wait_ms",
             "requests may wait for " + ms(policy.queue_wait_) + " but time out after " + ms(policy.timeout_),
             affected);
    }
    if (policy.worker_connections_ < policy.slots_) {
        warn(found, path + "/policy/worker_connections",
             "an upstream accepts " + std::to_string(policy.worker_connections_) + " connections but runs " +
                 std::to_string(policy.slots_) + " requests at once",
             affected);
    }
    if (policy.warm_up_rate_ > 0 && policy.warm_up_.count() == 0) {
        warn(found, path + "/policy/warm_up_rate", "has no effect: warm_up_ms is 0", affected);
    }
    const bool all_evacuated =
        count_receiving(service) > 0 &&
        std::all_of(service.upstreams_.begin(), service.upstreams_.end(), [&](const auto& entry) {
            return !receives_calls(entry.second.state_) ||
                   config.evacuated_.contains(entry.second.data_centre_);
        });
    if (all_evacuated) {
        warn(found, "/evacuated",
             "service " + name + " has upstreams only in evacuated data centres: every request gets 503",
             affected);
    }
}

/// Hosts of services whose requests all go to routes that lead elsewhere.
void check_hosts(const configuration& config, findings_list& found)
{
    for (const auto& entry : config.services_) {
        const auto& name = entry.first;
        const auto& service = entry.second;
        for (std::size_t i = 0; i < service.hosts_.size(); ++i) {
            const auto& host = service.hosts_[i];
            for (const auto& route : config.routes_) {
                const bool leads_here =
                    std::any_of(route.targets_.begin(), route.targets_.end(),
                                [&](const auto& target) { return target.service_ == name; });
                if (route.host_ == host && route.path_prefix_ == "/" && !leads_here) {
                    warn(found, "/services/" + escape_pointer_token(name) + "/hosts/" + std::to_string(i),
                         "has no effect: route " + route.name_ + " takes all requests to " + host,
                         "callers of " + host);
                }
            }
        }
    }
}

void check_route(const configuration& config, std::size_t index, findings_list& found)
{
    const auto& route = config.routes_[index];
    const auto path = "/routes/" + std::to_string(index);
    const auto affected = callers_of_route(route);
    for (std::size_t i = 0; i < index; ++i) {
        const auto& other = config.routes_[i];
        if (other.host_ == route.host_ && other.path_prefix_ == route.path_prefix_) {
            warn(found, path, "never matches: route " + other.name_ + " has the same host and prefix",
                 affected);
            break;
        }
    }
    if (route.path_prefix_.find_first_of("?#") != std::string::npos) {
        warn(found, path + "/path_prefix", "never matches: a path holds no '?' or '#'", affected);
    }
    if (route.timeout_ < route.objective_) {
        warn(found, path + "/timeout_ms",
             "the timeout of " + ms(route.timeout_) + " is shorter than the objective of " +
                 ms(route.objective_),
             affected);
    }
    for (const auto& target : route.targets_) {
        const auto service = config.services_.find(target.service_);
        if (service == config.services_.end() || route.max_attempts_ == 1) {
            continue;
        }
        const auto& policy = service->second.policy_;
        if (policy.retry_share_ == 0 && policy.hedge_share_ == 0) {
            warn(found, path + "/max_attempts",
                 "up to " + std::to_string(route.max_attempts_) +
                     " attempts, but the retry budget of service " + target.service_ +
                     " (retry_share, hedge_share) is 0",
                 affected);
        }
    }
}

void check_organisations(const configuration& config, upstream_source upstreams, findings_list& found)
{
    if (!config.organisations_) {
        return;
    }
    double capacity = 0;
    for (const auto& [unused, service] : config.services_) {
        capacity += capacity_of(service);
    }
    if (config.organisations_->empty()) {
        warn(found, "/organisations", "no organisation: only routes with allow_anonymous serve requests",
             "callers of all other routes");
    }
    for (const auto& [name, organisation] : *config.organisations_) {
        const auto path = "/organisations/" + escape_pointer_token(name);
        const auto affected = callers_of_organisation(name);
        if (organisation.keys_.empty()) {
            warn(found, path + "/keys", "no key: none of its requests is accepted", affected);
        }
        if (organisation.rate_per_second_ > 0 && organisation.burst_ < 1) {
            warn(found, path + "/burst",
                 "a burst of " + short_number(organisation.burst_) + " is less than one request", affected);
        }
        if (organisation.rate_per_second_ == 0 && organisation.burst_ > 0) {
            warn(found, path + "/burst", "has no effect: rate_per_second is 0, which is no limit", affected);
        }
        if (upstreams == upstream_source::configuration && organisation.rate_per_second_ > capacity) {
            warn(found, path + "/rate_per_second",
                 short_number(organisation.rate_per_second_) +
                     " requests/s are more than all services run (" + short_number(std::floor(capacity)) +
                     "/s if each takes its latency objective)",
                 affected);
        }
    }
}

void check_evacuated(const configuration& config, findings_list& found)
{
    std::set<std::string> data_centres;
    for (const auto& [unused, service] : config.services_) {
        for (const auto& [unused_name, upstream] : service.upstreams_) {
            data_centres.insert(upstream.data_centre_);
        }
    }
    for (const auto& name : config.evacuated_) {
        if (!data_centres.empty() && !data_centres.contains(name)) {
            warn(found, "/evacuated", "no upstream is in data centre '" + name + "'", "");
        }
    }
}

/// Cuts paths below a list of keys, where an object written by mistake may have keys as names.
void hide_keys_in_paths(findings_list& found)
{
    for (auto& each : found) {
        for (const std::string_view list : {"/keys/", "/api_keys/"}) {
            const auto at = each.path_.find(list);
            if (at == std::string::npos) {
                continue;
            }
            const auto below = each.path_.substr(at + list.size());
            if (below.find_first_not_of("0123456789") != std::string::npos || below.size() > 9) {
                each.path_.resize(at + list.size() - 1);
            }
        }
    }
}

/// Adds positions in the text to findings that lack one.
void add_positions(const std::string& bytes, findings_list& found)
{
    std::set<std::string> pointers;
    for (const auto& each : found) {
        if (!each.position_ && each.severity_ != finding_severity::change) {
            pointers.insert(each.path_);
        }
    }
    const auto positions = locate_in_json(bytes, pointers);
    for (auto& each : found) {
        if (!each.position_ && each.severity_ != finding_severity::change) {
            each.position_ = positions.at(each.path_);
        }
    }
}

} // namespace

configuration json_configuration_codec::parse_configuration(const std::string& bytes) const
{
    return anvilpost::parse_configuration(nlohmann::json::parse(bytes, nullptr, false));
}

registered_upstream json_configuration_codec::parse_upstream(const std::string& /*bytes*/) const
{
    throw invalid_document(std::vector<field_fault>{{"/", "this form has no registry of upstreams"}});
}

std::vector<finding> check_configuration(const configuration& config, upstream_source upstreams)
{
    findings_list found;
    for (const auto& [name, service] : config.services_) {
        check_service(config, name, service, upstreams, found);
    }
    check_hosts(config, found);
    for (std::size_t i = 0; i < config.routes_.size(); ++i) {
        check_route(config, i, found);
    }
    check_organisations(config, upstreams, found);
    check_evacuated(config, found);
    return found;
}

std::vector<finding> check_document(const std::string& bytes, const document_codec& codec,
                                    upstream_source upstreams, const configuration* in_force)
{
    findings_list found;
    for (const auto& fault : check_json_text(bytes)) {
        found.push_back({finding_severity::error, fault.path_, fault.message_, "", fault.position_});
    }
    if (!found.empty()) {
        hide_keys_in_paths(found);
        return found;
    }
    try {
        const auto config = codec.parse_configuration(bytes);
        found = check_configuration(config, upstreams);
        if (in_force != nullptr) {
            const auto step = check_transition(*in_force, config);
            const auto changes = find_changes(*in_force, config);
            found.insert(found.end(), step.begin(), step.end());
            if (config.revision_ < in_force->revision_ && !changes.empty()) {
                warn(found, "/revision",
                     "is below " + std::to_string(in_force->revision_) + ", the revision in force", "");
            }
            found.insert(found.end(), changes.begin(), changes.end());
        }
    }
    catch (const invalid_document& invalid) {
        for (const auto& fault : invalid.faults()) {
            const auto path = fault.path_ == "/" ? "" : fault.path_;
            found.push_back({finding_severity::error, path, fault.message_, "", {}});
        }
    }
    add_positions(bytes, found);
    hide_keys_in_paths(found);
    return found;
}

int check_exit_code(const std::vector<finding>& findings)
{
    int code = 0;
    for (const auto& each : findings) {
        code = std::max(code, each.severity_ == finding_severity::error     ? 2
                              : each.severity_ == finding_severity::warning ? 1
                                                                            : 0);
    }
    return code;
}

std::string to_text(const std::vector<finding>& findings)
{
    std::string text;
    for (const auto& each : findings) {
        if (each.position_) {
            text +=
                std::to_string(each.position_->line_) + ":" + std::to_string(each.position_->column_) + ": ";
        }
        text += std::string(name_of(each.severity_)) + (each.path_.empty() ? "" : " " + each.path_) + ": " +
                each.message_ + (each.affected_.empty() ? "" : " (affects " + each.affected_ + ")") + "\n";
    }
    return text;
}

nlohmann::json to_json(const std::vector<finding>& findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& each : findings) {
        nlohmann::json entry{
            {"severity", name_of(each.severity_)}, {"path", each.path_}, {"message", each.message_}};
        if (!each.affected_.empty()) {
            entry["affected"] = each.affected_;
        }
        if (each.position_) {
            entry["line"] = each.position_->line_;
            entry["column"] = each.position_->column_;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace anvilpost
