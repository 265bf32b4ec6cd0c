// Token bucket that limits the log lines of one kind. Suppressed lines are counted, and the next line of
// that kind carries the count.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace anvilpost {

/// Invariant: 0 <= tokens_ <= burst.
class line_limiter {
public:
    /// A line is about 300 bytes, so one kind of line takes at most 15 KB/s of a log pipeline.
    static constexpr double lines_per_second = 50;
    static constexpr double burst = 200;

    /// Returns how many lines were suppressed since the last admitted one if a line may be written now;
    /// otherwise counts it as suppressed and returns nothing.
    std::optional<std::uint64_t> admit(time_point now)
    {
        const double passed = std::chrono::duration<double>(now - last_).count();
        tokens_ = std::min(burst, tokens_ + std::max(0.0, passed) * lines_per_second);
        last_ = now;
        if (tokens_ < 1) {
            ++left_out_;
            return std::nullopt;
        }
        tokens_ -= 1;
        const auto skipped = left_out_;
        left_out_ = 0;
        return skipped;
    }

private:
    double tokens_ = burst;
    time_point last_{};
    std::uint64_t left_out_ = 0;
};

} // namespace anvilpost
