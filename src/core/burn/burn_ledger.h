// Counts good and bad calls per service and minute, and computes from the counts how fast each service burns
// its error budget. The counts of several nodes can be added up.
#pragma once

#include "core/configuration/configuration.h"
#include "ports/call_observer.h"
#include "vocabulary/core_clock.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

/// Numbers of calls over a period, which can be added up over periods and nodes.
struct outcome_counts {
    std::uint64_t calls_ = 0;
    /// Bad for the availability objective: answered with a 5xx status, which this node generates itself when
    /// no upstream answers, or with a response that broke off.
    std::uint64_t failed_ = 0;
    /// Bad for the latency objective: failed, or slower than the objective.
    std::uint64_t slow_ = 0;

    void add(const outcome_counts& other)
    {
        calls_ += other.calls_;
        failed_ += other.failed_;
        slow_ += other.slow_;
    }
    bool operator==(const outcome_counts&) const = default;
};

/// Windows of the report, shortest first. They form two pairs, as in the multi-window alerts of Google's Site
/// Reliability Workbook, chapter 5: 5 m with 1 h, and 30 m with 6 h.
enum class burn_window { five_minutes, thirty_minutes, one_hour, six_hours };

template <>
struct enum_names<burn_window> {
    static constexpr std::array<std::pair<burn_window, std::string_view>, 4> table{{
        {burn_window::five_minutes, "5m"},
        {burn_window::thirty_minutes, "30m"},
        {burn_window::one_hour, "1h"},
        {burn_window::six_hours, "6h"},
    }};
};

std::chrono::minutes window_length(burn_window window);

/// The counts of one service, from one node or summed over several.
struct service_burn {
    std::map<burn_window, outcome_counts> windows_;
    std::map<std::string, std::uint64_t> failed_by_; ///< Number of failed calls by cause, over the last hour.
    std::map<std::string, std::uint64_t> slow_by_;   ///< Number of slow calls by cause, over the last hour.
    std::uint64_t probes_sent_ = 0;
    std::chrono::seconds probing_for_{}; ///< Time that `probes_sent_` covers; a sum keeps the longest.

    void add(const service_burn& other);
};

/// Counts the calls of this node. Invariant: its ring buffers hold one bucket for each minute of the longest
/// window and for each cause period of the last hour; a bucket is cleared when a newer period first uses it.
class burn_ledger : public call_observer {
public:
    explicit burn_ledger(const class clock_port& clock) : clock_(clock) {}

    /// Applies the latency objectives of `config` and drops the counts of services that it does not contain.
    void apply(const configuration& config);
    void on_call_finished(const call_record& record) override;

    /// Returns the sums over each window, by service.
    [[nodiscard]] std::map<std::string, service_burn> report() const;

private:
    static constexpr std::size_t minutes_kept = 360;
    /// Further causes of a period are counted together as "other".
    static constexpr std::size_t max_causes_per_period = 64;

    struct minute_bucket {
        std::int64_t minute_ = -1;
        outcome_counts counts_;
    };

    struct cause_bucket {
        std::int64_t period_ = -1; ///< Period of `cause_period_minutes` minutes.
        std::map<std::string, std::uint64_t> failed_;
        std::map<std::string, std::uint64_t> slow_;
    };

    static constexpr std::int64_t cause_period_minutes = 5;
    static constexpr std::size_t cause_periods_kept = 12;

    struct service_buckets {
        std::array<minute_bucket, minutes_kept> minutes_;
        std::array<cause_bucket, cause_periods_kept> causes_;
        std::chrono::milliseconds latency_objective_{};
    };

    [[nodiscard]] std::int64_t current_minute() const;

    const class clock_port& clock_;
    std::map<std::string, service_buckets> services_;
};

/// Writes a report in the form that nodes exchange and `parse_burn_report` reads.
nlohmann::json to_json(const std::map<std::string, service_burn>& report);

/// Reads what `to_json` wrote. Throws nlohmann::json::exception when the document is not a report.
std::map<std::string, service_burn> parse_burn_report(const nlohmann::json& document);

/// Returns the report for operators: burn rates, remaining budget, alerts, main causes, and the probes sent
/// against their budget.
nlohmann::json describe_burn(const std::map<std::string, service_burn>& sums, const configuration& config);

} // namespace anvilpost
