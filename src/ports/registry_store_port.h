// Port to the store that holds the operators' configuration and the registry of upstreams: whole reads,
// changes since a revision, and entries of our own that live as long as a lease.
#pragma once

#include "ports/key_value_port.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvilpost {

enum class item_kind : std::uint8_t { configuration, upstream, node };

/// One document of the store, as of its last change.
struct stored_item {
    item_kind kind_ = item_kind::configuration;
    std::string name_; ///< Of the upstream or node; empty for the configuration.
    std::string value_;
    std::uint64_t revision_ = 0; ///< Of the store at that change.
    bool deleted_ = false;
    /// Deleted, but perhaps only because its lease ran out while the store was away.
    bool lapsed_ = false;

    bool operator==(const stored_item&) const = default;
};

/// Result of a read. `items_` and `revision_` are set when `status_` is ok.
struct items_result {
    store_status status_ = store_status::unavailable;
    std::vector<stored_item> items_;
    /// All changes up to this revision are in the result.
    std::uint64_t revision_ = 0;
    /// The store no longer has the changes asked for; only a whole read helps.
    bool history_lost_ = false;
};

/// Callbacks come from the event loop, never from inside the call, and exactly once.
class registry_store_port {
public:
    using items_callback = std::function<void(const items_result&)>;
    using done_callback = std::function<void(store_status)>;

    virtual ~registry_store_port() = default;

    /// Reads the configuration and all upstreams, as the store knows them now.
    virtual void read_all(items_callback done) = 0;

    /// Returns the changes of configuration and upstreams after `revision`. Without any, waits up to
    /// `longest` for one.
    virtual void changes_since(std::uint64_t revision, duration longest, items_callback done) = 0;
};

} // namespace anvilpost
