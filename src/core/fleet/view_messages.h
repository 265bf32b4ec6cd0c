// What a node passes on of its view of the store to another node, in CBOR (RFC 8949).
#pragma once

#include "core/fleet/store_view.h"
#include "vocabulary/core_clock.h"

#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

struct view_message {
    std::uint64_t revision_ = 0; ///< The sender's view is complete up to here.
    duration age_{};             ///< Since the moment at which that was last known to be current.
    bool whole_ = false;         ///< `items_` is everything, not changes.
    std::vector<stored_item> items_;
};

std::string encode(const view_message& message);

/// Returns nothing when the bytes are no such message.
std::optional<view_message> decode_view_message(const std::string& bytes);

} // namespace anvilpost
