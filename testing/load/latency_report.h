// Collects the status and latency of each call of a load run and reports counts and latency quantiles as
// JSON.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// Counts every call by status. Latency quantiles cover successful calls only (status 200 to 399).
class latency_report {
public:
    /// Records one call. `status` is the HTTP status, or 0 when no complete response arrived; `verdict` is
    /// the value of the Anvilpost-Verdict header, or empty.
    void record(int status, const std::string& verdict, duration latency)
    {
        ++by_status_[std::to_string(status) + (verdict.empty() ? "" : " " + verdict)];
        if (status >= 200 && status < 400) {
            latencies_.push_back(latency);
        }
        ++calls_;
    }

    [[nodiscard]] nlohmann::json to_json() const
    {
        auto sorted = latencies_;
        std::sort(sorted.begin(), sorted.end());
        return {{"calls", calls_},
                {"by_status", by_status_},
                {"p50_ms", quantile_ms(sorted, 0.50)},
                {"p95_ms", quantile_ms(sorted, 0.95)},
                {"p99_ms", quantile_ms(sorted, 0.99)},
                {"p999_ms", quantile_ms(sorted, 0.999)},
                {"max_ms", quantile_ms(sorted, 1.0)}};
    }

private:
    /// Returns the quantile in milliseconds, or 0 without samples.
    static double quantile_ms(const std::vector<duration>& sorted, double probability)
    {
        if (sorted.empty()) {
            return 0;
        }
        const auto index = std::min(
            sorted.size() - 1, static_cast<std::size_t>(probability * static_cast<double>(sorted.size())));
        return static_cast<double>(sorted[index].count()) / 1000;
    }

    std::size_t calls_ = 0;
    std::map<std::string, std::size_t> by_status_;
    std::vector<duration> latencies_;
};

} // namespace anvilpost::testing
