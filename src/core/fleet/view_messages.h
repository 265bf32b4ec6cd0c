// The message with which a node sends its copy of the store, or changes to it, to another node, as CBOR
// (RFC 8949).
#pragma once

#include "core/fleet/store_view.h"
#include "vocabulary/core_clock.h"

#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

/// Part or all of the sender's view of the store.
struct view_message {
    std::uint64_t revision_ = 0; ///< The sender's view holds all changes up to here.
    duration age_{};             ///< Time since the sender's view was last known to be current.
    bool is_snapshot_ = false;   ///< `items_` is a full snapshot instead of changes.
    std::vector<stored_item> items_;
    int format_ = view_format; ///< See `view_format`.
    duration known_for_{};     ///< Time since the first node had `revision_`; 0 in earlier builds.

    /// Removes the items that a node of an earlier format does not know; it would reject the whole message.
    void limit_to_format(int format);
};

std::string encode(const view_message& message);

/// Returns nothing when the bytes are not a view message.
std::optional<view_message> decode_view_message(const std::string& bytes);

} // namespace anvilpost
