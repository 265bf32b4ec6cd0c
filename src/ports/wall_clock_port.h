// Port to the calendar clock, used only where times are compared across nodes. Clocks of nodes may
// differ; users allow for `clock_skew_allowance`.
#pragma once

#include <chrono>

namespace anvilpost {

inline constexpr std::chrono::milliseconds clock_skew_allowance = std::chrono::seconds(60);

class wall_clock_port {
public:
    virtual ~wall_clock_port() = default;

    /// Returns the time since the Unix epoch.
    [[nodiscard]] virtual std::chrono::milliseconds since_epoch() const = 0;
};

} // namespace anvilpost
