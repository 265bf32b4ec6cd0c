// Bounds the bytes of responses that have been read from upstreams and not yet written to callers, over all
// calls of a node.
#pragma once

#include <algorithm>
#include <cstddef>

namespace anvilpost {

/// Each call may hold a fixed share of the memory that is free, so that the bytes of callers that don't read
/// never use up what the others need: with n such calls, at least 1 / (1 + n * share_of_free) stays free.
struct unsent_memory {
    /// Part of the free memory that one call may hold.
    static constexpr std::size_t share_of_free_divisor = 16;

    std::size_t max_bytes_ = 0;  ///< 0: no bound.
    std::size_t used_bytes_ = 0; ///< Sum of the connections' unsent bytes.
    std::size_t peak_bytes_ = 0; ///< Largest `used_bytes_` so far.

    void add(std::size_t added, std::size_t removed)
    {
        used_bytes_ = used_bytes_ + added - removed;
        peak_bytes_ = std::max(peak_bytes_, used_bytes_);
    }

    /// Returns how many unsent bytes one call may have, of at most `call_limit`, before its response is no
    /// longer read.
    [[nodiscard]] std::size_t per_call(std::size_t call_limit) const
    {
        if (max_bytes_ == 0) {
            return call_limit;
        }
        const std::size_t free = max_bytes_ - std::min(max_bytes_, used_bytes_);
        return std::min(call_limit, free / share_of_free_divisor);
    }
};

} // namespace anvilpost
