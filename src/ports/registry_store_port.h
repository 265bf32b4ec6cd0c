// Port to the store that holds the operators' configuration and the registry of upstreams: full reads, and
// reads of the changes since a revision.
#pragma once

#include "ports/key_value_port.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvilpost {

enum class item_kind : std::uint8_t { configuration, upstream, node };

/// One document of the store in its state after its last change.
struct stored_item {
    item_kind kind_ = item_kind::configuration;
    std::string name_; ///< Name of the upstream or node; empty for the configuration.
    std::string value_;
    std::uint64_t revision_ = 0; ///< Revision of the store at that change.
    bool deleted_ = false;
    /// Deleted, but possibly only because its lease expired while the store was unreachable.
    bool lapsed_ = false;

    bool operator==(const stored_item&) const = default;
};

/// Result of a read. `items_` and `revision_` are set when `status_` is ok.
struct items_result {
    store_status status_ = store_status::unavailable;
    std::vector<stored_item> items_;
    /// The result includes all changes up to this revision of the store.
    std::uint64_t revision_ = 0;
    /// The store no longer has the requested changes; a full read is needed.
    bool history_lost_ = false;
};

/// Each callback is invoked exactly once, from the event loop and never from inside the function that takes
/// it.
class registry_store_port {
public:
    using items_callback = std::function<void(const items_result&)>;
    using done_callback = std::function<void(store_status)>;

    virtual ~registry_store_port() = default;

    /// Reads the present configuration and all upstreams.
    virtual void read_all(items_callback done) = 0;

    /// Reads the changes of the configuration and the upstreams after `revision`. If there are none, waits up
    /// to `longest` for one.
    virtual void changes_since(std::uint64_t revision, duration longest, items_callback done) = 0;
};

} // namespace anvilpost
