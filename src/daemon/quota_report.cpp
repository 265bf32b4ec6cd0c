// Formats the state of quotas for operators.
#include "daemon/quota_report.h"

#include "adapters/logging/json_log.h"
#include "daemon/call_path.h"

#include <cmath>

namespace anvilpost {
namespace {

constexpr double thousandths = 1000;

} // namespace

nlohmann::json describe_usages(const organisation_usages& usages)
{
    nlohmann::json described = nlohmann::json::object();
    for (const auto& [name, usage] : usages) {
        auto& entry = described[name];
        entry = {{"rate_per_second", usage.rate_per_second_},
                 {"burst", usage.burst_},
                 {"admitted", usage.admitted_},
                 {"refused", usage.refused_}};
        if (usage.used_) {
            entry["used_in_window"] = *usage.used_;
        }
    }
    return described;
}

nlohmann::json describe_quotas(const quota_exchange& quotas)
{
    return {{"coordinator", quotas.coordinator_name()},
            {"delegated_to_this_node", quotas.coordinator().delegated()},
            {"organisations", describe_usages(quotas.usages())}};
}

void add_usage_metrics(std::string& text, const organisation_usages& usages)
{
    text += "# TYPE anvilpost_quota_calls_total counter\n";
    for (const auto& [name, usage] : usages) {
        const std::string label = "anvilpost_quota_calls_total{organisation=\"" + name + "\",decision=\"";
        text += label + "admitted\"} " + std::to_string(usage.admitted_) + "\n";
        text += label + "refused\"} " + std::to_string(usage.refused_) + "\n";
    }
}

void add_quota_metrics(std::string& text, const quota_exchange& quotas)
{
    const auto& client = quotas.client().counters();
    const auto& coordinator = quotas.coordinator().counters();
    const auto& exchange = quotas.counters();
    const auto delegated = std::lround(quotas.coordinator().delegated() * thousandths);
    add_usage_metrics(text, quotas.usages());
    add_metric(text, "quota_admitted_total", "counter", client.admitted_);
    add_metric(text, "quota_refused_total", "counter", client.refused_);
    add_metric(text, "quota_refused_without_answer_total", "counter", client.refused_without_answer_);
    add_metric(text, "quota_admitted_from_reserve_total", "counter", client.from_reserve_);
    add_metric(text, "quota_tokens_asked_total", "counter", client.tokens_asked_);
    add_metric(text, "quota_tokens_granted_total", "counter", client.tokens_granted_);
    add_metric(text, "quota_tokens_returned_total", "counter", client.tokens_returned_);
    add_metric(text, "quota_has_coordinator", "gauge", quotas.coordinator_name().empty() ? 0 : 1);
    add_metric(text, "quota_coordinator_changes_total", "counter", client.coordinator_changes_);
    add_metric(text, "quota_delegated_here_thousandths", "gauge", static_cast<std::uint64_t>(delegated));
    add_metric(text, "quota_requests_served_total", "counter", coordinator.requests_);
    add_metric(text, "quota_tokens_granted_here_total", "counter", coordinator.tokens_granted_);
    add_metric(text, "quota_messages_sent_total", "counter", exchange.messages_sent_);
    add_metric(text, "quota_bytes_sent_total", "counter", exchange.bytes_sent_);
    add_metric(text, "quota_messages_passed_on_total", "counter", exchange.passed_on_);
    const auto name = quotas.coordinator_name();
    if (!name.empty()) {
        text += "# TYPE anvilpost_quota_coordinator gauge\nanvilpost_quota_coordinator{node=\"" + name +
                "\"} 1\n";
    }
}

void log_coordinator_change(const std::string& coordinator, const quota_exchange& quotas)
{
    write_log(coordinator.empty() ? log_level::warning : log_level::info, "quota coordinator changed",
              {{"coordinator", coordinator},
               {"changes", quotas.client().counters().coordinator_changes_},
               {"refused_without_answer", quotas.client().counters().refused_without_answer_}});
}

} // namespace anvilpost
