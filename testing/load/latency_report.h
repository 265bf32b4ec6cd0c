// Latencies and outcomes of a load run.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost::testing {

class latency_report {
public:
    /// `status` 0 stands for a call without a whole answer.
    void add(int status, const std::string& verdict, duration latency)
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
                {"p50_ms", quantile(sorted, 0.50)},
                {"p95_ms", quantile(sorted, 0.95)},
                {"p99_ms", quantile(sorted, 0.99)},
                {"p999_ms", quantile(sorted, 0.999)},
                {"max_ms", quantile(sorted, 1.0)}};
    }

private:
    static double quantile(const std::vector<duration>& sorted, double share)
    {
        if (sorted.empty()) {
            return 0;
        }
        const auto index =
            std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())));
        return static_cast<double>(sorted[index].count()) / 1000;
    }

    std::size_t calls_ = 0;
    std::map<std::string, std::size_t> by_status_;
    std::vector<duration> latencies_;
};

} // namespace anvilpost::testing
