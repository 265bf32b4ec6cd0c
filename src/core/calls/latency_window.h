// Recent latencies of one service in a fixed ring, for the hedge delay and the typical latency.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <array>
#include <vector>

namespace anvilpost {

/// Invariant: `size_ <= window`; quantiles are recomputed only after `refresh_every` new samples.
class latency_window {
public:
    static constexpr std::size_t window = 512;
    static constexpr std::size_t refresh_every = 32;

    void add(duration sample)
    {
        samples_[next_] = sample;
        next_ = (next_ + 1) % window;
        size_ = std::min(size_ + 1, window);
        if (++since_refresh_ >= refresh_every || size_ <= refresh_every) {
            refresh();
        }
    }

    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] bool full_enough() const { return size_ >= refresh_every; }
    [[nodiscard]] duration median() const { return median_; }
    [[nodiscard]] duration p95() const { return p95_; }

private:
    void refresh()
    {
        since_refresh_ = 0;
        std::vector<duration> sorted(samples_.begin(), samples_.begin() + static_cast<std::ptrdiff_t>(size_));
        std::sort(sorted.begin(), sorted.end());
        median_ = sorted[size_ / 2];
        p95_ = sorted[size_ * 95 / 100];
    }

    std::array<duration, window> samples_{};
    std::size_t next_ = 0;
    std::size_t size_ = 0;
    std::size_t since_refresh_ = 0;
    duration median_{};
    duration p95_{};
};

} // namespace anvilpost
