// Port through which the core reads the monotonic clock; tests substitute virtual time.
#pragma once

#include "vocabulary/core_clock.h"

namespace anvilpost {

class clock_port {
public:
    virtual ~clock_port() = default;

    /// Returns the current instant, which is never earlier than one returned before.
    [[nodiscard]] virtual time_point now() const = 0;
};

} // namespace anvilpost
