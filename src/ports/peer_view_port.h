// Port through which a node asks another node for its view of the store.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace anvilpost {

struct peer;
struct view_message;

class peer_view_port {
public:
    /// Gets nothing when no readable view arrived.
    using view_callback = std::function<void(const std::optional<view_message>& view)>;

    virtual ~peer_view_port() = default;

    /// Asks `from` for the changes after `after_revision`; 0 asks for the whole view. `done` is called
    /// exactly once, after at most `timeout`, from the event loop and never from inside this function.
    virtual void fetch(const peer& from, std::uint64_t after_revision, duration timeout,
                       view_callback done) = 0;
};

} // namespace anvilpost
