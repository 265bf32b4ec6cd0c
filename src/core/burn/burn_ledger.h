// Counts good and bad calls per service in minutes, in a form that can be added up over nodes, and
// computes error-budget burn from the sums.
#pragma once

#include "core/configuration/configuration.h"
#include "ports/call_observer.h"
#include "vocabulary/core_clock.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

/// Counts over some time. Sums of tallies are tallies.
struct burn_tally {
    std::uint64_t calls_ = 0;
    std::uint64_t failed_ = 0; ///< Bad for availability: answered with 5xx, or not at all.
    std::uint64_t slow_ = 0;   ///< Bad for latency: failed, or slower than the objective.

    void add(const burn_tally& other)
    {
        calls_ += other.calls_;
        failed_ += other.failed_;
        slow_ += other.slow_;
    }
    bool operator==(const burn_tally&) const = default;
};

/// The windows of the report, shortest first; two pairs as in the multi-window alerts of Google's Site
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

std::chrono::minutes length_of(burn_window window);

/// What one node, or the sum of several, knows of a service.
struct service_burn {
    std::map<burn_window, burn_tally> windows_;
    std::map<std::string, std::uint64_t> failed_by_; ///< Cause to count, last hour.
    std::map<std::string, std::uint64_t> slow_by_;
    std::uint64_t probes_sent_ = 0;
    std::chrono::seconds probing_for_{}; ///< Node time that `probes_sent_` covers.

    void add(const service_burn& other);
};

/// Invariant: holds one slot per minute of the longest window, the newest first used.
class burn_ledger : public call_observer {
public:
    explicit burn_ledger(const class clock_port& clock) : clock_(clock) {}

    void apply(const configuration& config);
    void on_call_finished(const call_record& record) override;

    /// Sums per service over each window.
    [[nodiscard]] std::map<std::string, service_burn> report() const;

private:
    static constexpr std::size_t minutes_kept = 360;
    static constexpr std::size_t max_causes = 64;

    struct minute_slot {
        std::int64_t minute_ = -1;
        burn_tally tally_;
    };

    struct cause_slot {
        std::int64_t period_ = -1; ///< Period of `cause_period` minutes.
        std::map<std::string, std::uint64_t> failed_;
        std::map<std::string, std::uint64_t> slow_;
    };

    static constexpr std::int64_t cause_period = 5;
    static constexpr std::size_t cause_periods_kept = 12;

    struct service_slots {
        std::array<minute_slot, minutes_kept> minutes_;
        std::array<cause_slot, cause_periods_kept> causes_;
        std::chrono::milliseconds latency_objective_{};
    };

    [[nodiscard]] std::int64_t current_minute() const;

    const class clock_port& clock_;
    std::map<std::string, service_slots> services_;
};

nlohmann::json to_json(const std::map<std::string, service_burn>& report);

/// Throws nlohmann::json::exception when the document is no report.
std::map<std::string, service_burn> parse_burn_report(const nlohmann::json& document);

/// The operators' report: burn rates, budget left, alerts, main causes, probes against their budget.
nlohmann::json describe_burn(const std::map<std::string, service_burn>& sums, const configuration& config);

} // namespace anvilpost
