// Keeps the recent latencies of one service in a ring buffer and provides their median and 95th percentile,
// from which the hedge delay and the typical latency are derived.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <array>
#include <vector>

namespace anvilpost {

/// Quantiles are recomputed with every sample up to `samples_per_refresh`, and once per `samples_per_refresh`
/// samples from then on, because each recomputation sorts the window.
///
/// Invariant: `size_ <= capacity`.
class latency_window {
public:
    static constexpr std::size_t capacity = 512;
    static constexpr std::size_t samples_per_refresh = 32;

    void add(duration sample)
    {
        samples_[next_] = sample;
        next_ = (next_ + 1) % capacity;
        size_ = std::min(size_ + 1, capacity);
        if (++samples_since_refresh_ >= samples_per_refresh || size_ <= samples_per_refresh) {
            recompute_quantiles();
        }
    }

    [[nodiscard]] bool empty() const { return size_ == 0; }

    /// Returns whether there are enough samples for the quantiles to be meaningful.
    [[nodiscard]] bool has_enough_samples() const { return size_ >= samples_per_refresh; }

    /// Both are zero before the first sample.
    [[nodiscard]] duration median() const { return median_; }
    [[nodiscard]] duration p95() const { return p95_; }

private:
    void recompute_quantiles()
    {
        samples_since_refresh_ = 0;
        std::vector<duration> sorted(samples_.begin(), samples_.begin() + static_cast<std::ptrdiff_t>(size_));
        std::sort(sorted.begin(), sorted.end());
        median_ = sorted[size_ / 2];
        p95_ = sorted[size_ * 95 / 100];
    }

    std::array<duration, capacity> samples_{};
    std::size_t next_ = 0; ///< Position that the next sample overwrites.
    std::size_t size_ = 0; ///< Samples held.
    std::size_t samples_since_refresh_ = 0;
    duration median_{};
    duration p95_{};
};

} // namespace anvilpost
