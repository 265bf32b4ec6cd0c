// Implements the counting per minute, the sums over windows and the burn rates.
#include "core/burn/burn_ledger.h"

#include "ports/clock_port.h"

#include <algorithm>

namespace anvilpost {
namespace {

// Thresholds: an alert is raised when the burn rate exceeds its threshold in both windows of a pair.
constexpr double page_burn_rate_threshold = 14.4;
constexpr double ticket_burn_rate_threshold = 6.0;

std::string describe_cause(const call_record& record)
{
    if (record.problem_) {
        return std::string(name_of(*record.problem_)) + " (" + std::string(name_of(record.verdict_)) + ")";
    }
    if (record.upstream_.empty()) {
        return "caller went away";
    }
    const std::string place = record.data_centre_.empty() ? "" : " in " + record.data_centre_;
    return "upstream " + record.upstream_ + place;
}

void add_cause(std::map<std::string, std::uint64_t>& causes, const std::string& cause, std::size_t limit)
{
    const bool has_room = causes.size() < limit || causes.contains(cause);
    ++causes[has_room ? cause : "other"];
}

void add_counts(std::map<std::string, std::uint64_t>& into, const std::map<std::string, std::uint64_t>& from)
{
    for (const auto& [cause, count] : from) {
        into[cause] += count;
    }
}

/// Returns the share of bad calls as a multiple of the share that the objective allows.
double burn_rate(std::uint64_t bad, std::uint64_t calls, double target)
{
    if (calls == 0) {
        return 0;
    }
    return static_cast<double>(bad) / static_cast<double>(calls) / (1 - target);
}

std::string describe_main_cause(const std::map<std::string, std::uint64_t>& causes)
{
    const auto found = std::max_element(causes.begin(), causes.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    return found == causes.end() ? "" : found->first + " (" + std::to_string(found->second) + ")";
}

nlohmann::json describe_objective(const service_burn& sums, double target, std::uint64_t outcome_counts::*bad,
                                  const std::map<std::string, std::uint64_t>& causes)
{
    nlohmann::json rates;
    std::map<burn_window, double> rate;
    for (const auto& [window, name] : enum_names<burn_window>::table) {
        const auto found = sums.windows_.find(window);
        const outcome_counts counts = found == sums.windows_.end() ? outcome_counts{} : found->second;
        rate[window] = burn_rate(counts.*bad, counts.calls_, target);
        rates[std::string(name)] = rate[window];
    }
    const auto longest = sums.windows_.find(burn_window::six_hours);
    const outcome_counts total = longest == sums.windows_.end() ? outcome_counts{} : longest->second;
    const bool page = rate[burn_window::five_minutes] > page_burn_rate_threshold &&
                      rate[burn_window::one_hour] > page_burn_rate_threshold;
    const bool ticket = rate[burn_window::thirty_minutes] > ticket_burn_rate_threshold &&
                        rate[burn_window::six_hours] > ticket_burn_rate_threshold;
    return {{"target", target},   {"calls", total.calls_},
            {"bad", total.*bad},  {"budget_left", 1 - rate[burn_window::six_hours]},
            {"burn_rate", rates}, {"alert", page ? "page" : ticket ? "ticket" : ""},
            {"causes", causes},   {"mostly_by", describe_main_cause(causes)}};
}

} // namespace

std::chrono::minutes window_length(burn_window window)
{
    switch (window) {
    case burn_window::five_minutes: return std::chrono::minutes(5);
    case burn_window::thirty_minutes: return std::chrono::minutes(30);
    case burn_window::one_hour: return std::chrono::minutes(60);
    case burn_window::six_hours: return std::chrono::minutes(360);
    }
    return {};
}

void service_burn::add(const service_burn& other)
{
    for (const auto& [window, counts] : other.windows_) {
        windows_[window].add(counts);
    }
    add_counts(failed_by_, other.failed_by_);
    add_counts(slow_by_, other.slow_by_);
    probes_sent_ += other.probes_sent_;
    probing_for_ = std::max(probing_for_, other.probing_for_);
}

std::int64_t burn_ledger::current_minute() const
{
    return std::chrono::duration_cast<std::chrono::minutes>(clock_.now().time_since_epoch()).count();
}

void burn_ledger::apply(const configuration& config)
{
    std::erase_if(services_, [&](const auto& entry) { return !config.services_.contains(entry.first); });
    for (const auto& [name, service] : config.services_) {
        services_[name].latency_objective_ = service.objective_.latency_;
    }
}

void burn_ledger::on_call_finished(const call_record& record)
{
    const auto found = services_.find(record.service_);
    if (found == services_.end()) {
        return;
    }
    auto& buckets = found->second;
    const auto minute = current_minute();
    auto& bucket = buckets.minutes_[static_cast<std::size_t>(minute) % minutes_kept];
    if (bucket.minute_ != minute) {
        bucket = {minute, {}};
    }
    const bool failed = record.status_ >= 500;
    const bool slow = failed || record.latency_ > buckets.latency_objective_;
    bucket.counts_.add({1, failed ? 1U : 0U, slow ? 1U : 0U});
    if (!slow) {
        return;
    }
    auto& causes =
        buckets.causes_[static_cast<std::size_t>(minute / cause_period_minutes) % cause_periods_kept];
    if (causes.period_ != minute / cause_period_minutes) {
        causes = {minute / cause_period_minutes, {}, {}};
    }
    add_cause(causes.slow_, describe_cause(record), max_causes_per_period);
    if (failed) {
        add_cause(causes.failed_, describe_cause(record), max_causes_per_period);
    }
}

std::map<std::string, service_burn> burn_ledger::report() const
{
    std::map<std::string, service_burn> sums;
    const auto minute = current_minute();
    for (const auto& [name, buckets] : services_) {
        auto& sum = sums[name];
        for (const auto& [window, unused] : enum_names<burn_window>::table) {
            auto& counts = sum.windows_[window];
            for (const auto& bucket : buckets.minutes_) {
                if (bucket.minute_ > minute - window_length(window).count()) {
                    counts.add(bucket.counts_);
                }
            }
        }
        for (const auto& causes : buckets.causes_) {
            if (causes.period_ >
                minute / cause_period_minutes - static_cast<std::int64_t>(cause_periods_kept)) {
                add_counts(sum.failed_by_, causes.failed_);
                add_counts(sum.slow_by_, causes.slow_);
            }
        }
    }
    return sums;
}

nlohmann::json to_json(const std::map<std::string, service_burn>& report)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto& [name, burn] : report) {
        auto& entry = document[name];
        for (const auto& [window, counts] : burn.windows_) {
            entry["windows"][std::string(name_of(window))] = {counts.calls_, counts.failed_, counts.slow_};
        }
        entry["failed_by"] = burn.failed_by_;
        entry["slow_by"] = burn.slow_by_;
        entry["probes_sent"] = burn.probes_sent_;
        entry["probing_for_s"] = burn.probing_for_.count();
    }
    return document;
}

std::map<std::string, service_burn> parse_burn_report(const nlohmann::json& document)
{
    std::map<std::string, service_burn> report;
    for (const auto& [name, entry] : document.items()) {
        auto& burn = report[name];
        for (const auto& [window, counts] : entry.at("windows").items()) {
            if (const auto known = enum_from_name<burn_window>(window)) {
                burn.windows_[*known] = {counts.at(0).get<std::uint64_t>(), counts.at(1).get<std::uint64_t>(),
                                         counts.at(2).get<std::uint64_t>()};
            }
        }
        burn.failed_by_ = entry.at("failed_by").get<std::map<std::string, std::uint64_t>>();
        burn.slow_by_ = entry.at("slow_by").get<std::map<std::string, std::uint64_t>>();
        burn.probes_sent_ = entry.at("probes_sent").get<std::uint64_t>();
        burn.probing_for_ = std::chrono::seconds(entry.at("probing_for_s").get<std::int64_t>());
    }
    return report;
}

nlohmann::json describe_burn(const std::map<std::string, service_burn>& sums, const configuration& config)
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto& [name, service] : config.services_) {
        const auto found = sums.find(name);
        const service_burn burn = found == sums.end() ? service_burn{} : found->second;
        const auto& objective = service.objective_;
        const double seconds = std::max<double>(1, static_cast<double>(burn.probing_for_.count()));
        services[name] = {{"availability", describe_objective(burn, objective.availability_,
                                                              &outcome_counts::failed_, burn.failed_by_)},
                          {"latency", describe_objective(burn, objective.latency_share_,
                                                         &outcome_counts::slow_, burn.slow_by_)},
                          {"probes",
                           {{"sent", burn.probes_sent_},
                            {"spent_per_second", static_cast<double>(burn.probes_sent_) / seconds},
                            {"budget_per_second", service.policy_.probes_per_second_}}}};
    }
    return services;
}

} // namespace anvilpost
