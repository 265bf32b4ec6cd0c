// Token bucket that limits the log lines of one kind. Suppressed lines are counted, and the next line of
// that kind carries the count.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace anvilpost {

/// Invariant: 0 <= tokens_ <= burst_lines.
class line_limiter {
public:
    /// A line is about 300 bytes, so one kind of line takes at most 15 KB/s of a log pipeline.
    static constexpr double lines_per_second = 50;
    static constexpr double burst_lines = 200;

    /// Returns how many lines were suppressed since the last admitted one if a line may be written now;
    /// otherwise counts it as suppressed and returns nothing.
    std::optional<std::uint64_t> admit(time_point now)
    {
        const double elapsed_s = std::chrono::duration<double>(now - last_refill_).count();
        tokens_ = std::min(burst_lines, tokens_ + std::max(0.0, elapsed_s) * lines_per_second);
        last_refill_ = now;
        if (tokens_ < 1) {
            ++suppressed_lines_;
            return std::nullopt;
        }
        tokens_ -= 1;
        const auto suppressed_lines = suppressed_lines_;
        suppressed_lines_ = 0;
        return suppressed_lines;
    }

private:
    double tokens_ = burst_lines;
    time_point last_refill_{};
    std::uint64_t suppressed_lines_ = 0;
};

} // namespace anvilpost
