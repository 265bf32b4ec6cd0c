// Collects the call statistics of a node and formats them as Prometheus text.
#include "adapters/metrics/call_metrics.h"

#include <array>

namespace anvilpost {
namespace {

constexpr std::array<double, 3> exported_quantiles{0.5, 0.99, 0.999};
constexpr std::array<double, 5> tracked_quantiles{0.25, 0.5, 0.9, 0.99, 0.999};
constexpr double microseconds_per_millisecond = 1000.0;

std::string metric_line(const std::string& name, const std::string& labels, const std::string& value)
{
    return "anvilpost_" + name + "{" + labels + "} " + value + "\n";
}

} // namespace

call_metrics::service_metrics::service_metrics()
    : latency_ms_(boost::accumulators::tag::extended_p_square::probabilities = tracked_quantiles)
{
}

void call_metrics::on_call_finished(const call_record& record)
{
    auto& metrics = services_[record.service_.empty() ? "(unknown)" : record.service_];
    metrics.latency_ms_(static_cast<double>(record.latency_.count()) / microseconds_per_millisecond);
    ++metrics.status_classes_[record.status_ / 100];
    metrics.attempts_ += static_cast<std::uint64_t>(record.attempts_);
    if (record.problem_) {
        ++metrics.problems_[*record.problem_];
    }
}

void call_metrics::on_decision(const call_decision& decision)
{
    if (decision.restricted_.empty() || decision.call_ == nullptr) {
        return;
    }
    auto& metrics = services_[decision.call_->service_];
    metrics.held_by_warm_up_ += decision.restricted_.contains("warming_up") ? 1 : 0;
    metrics.held_by_evacuation_ += decision.restricted_.contains("evacuated") ? 1 : 0;
}

std::string call_metrics::text() const
{
    namespace acc = boost::accumulators;
    std::string text = "# TYPE anvilpost_call_latency_ms summary\n# TYPE anvilpost_calls_total counter\n"
                       "# TYPE anvilpost_attempts_total counter\n# TYPE anvilpost_problems_total counter\n"
                       "# TYPE anvilpost_sends_held_total counter\n";
    for (const auto& [service, metrics] : services_) {
        const std::string label = "service=\"" + service + "\"";
        for (const double quantile : exported_quantiles) {
            text += metric_line(
                "call_latency_ms", label + ",quantile=\"" + std::to_string(quantile).substr(0, 5) + "\"",
                std::to_string(acc::quantile(metrics.latency_ms_, acc::quantile_probability = quantile)));
        }
        text += metric_line("call_latency_ms_max", label, std::to_string(acc::max(metrics.latency_ms_)));
        text += metric_line("call_latency_ms_mean", label, std::to_string(acc::mean(metrics.latency_ms_)));
        text += metric_line("attempts_total", label, std::to_string(metrics.attempts_));
        text += metric_line("sends_held_total", label + ",restriction=\"warming_up\"",
                            std::to_string(metrics.held_by_warm_up_));
        text += metric_line("sends_held_total", label + ",restriction=\"evacuated\"",
                            std::to_string(metrics.held_by_evacuation_));
        for (const auto& [status_class, count] : metrics.status_classes_) {
            text += metric_line("calls_total", label + ",class=\"" + std::to_string(status_class) + "xx\"",
                                std::to_string(count));
        }
        for (const auto& [kind, count] : metrics.problems_) {
            text += metric_line("problems_total", label + ",problem=\"" + std::string(name_of(kind)) + "\"",
                                std::to_string(count));
        }
    }
    return text;
}

} // namespace anvilpost
