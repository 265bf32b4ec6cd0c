// Port to the wall clock, used only where times are compared across nodes. Elsewhere the monotonic
// `clock_port` is used.
#pragma once

#include <chrono>

namespace anvilpost {

/// How far the clocks of two nodes may differ. Code that compares times across nodes must allow for it.
inline constexpr std::chrono::milliseconds clock_skew_allowance = std::chrono::seconds(60);

class wall_clock_port {
public:
    virtual ~wall_clock_port() = default;

    /// Returns the time since the Unix epoch.
    [[nodiscard]] virtual std::chrono::milliseconds since_epoch() const = 0;
};

} // namespace anvilpost
