// Port through which the core learns the time.
#pragma once

#include "vocabulary/core_clock.h"

namespace anvilpost {

class clock_port {
public:
    virtual ~clock_port() = default;

    /// Returns the current instant. Never goes back.
    [[nodiscard]] virtual time_point now() const = 0;
};

} // namespace anvilpost
