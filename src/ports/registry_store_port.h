// Port to the store that holds the operators' configuration and the registry of upstreams: full reads, and
// reads of the changes since a revision.
#pragma once

#include "ports/key_value_port.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvilpost {

/// Revisions order the changes of the store. A store that comes back from an older copy of its data gives out
/// the numbers of the lost changes again; its epoch, which rises each time, tells them apart. A revision
/// holds both, the epoch in its high bits, so that every change after a restore is newer than any before it.
inline constexpr int revision_number_bits = 40;
inline constexpr std::uint64_t max_revision_number = (std::uint64_t{1} << revision_number_bits) - 1;
inline constexpr std::uint64_t max_store_epoch = (std::uint64_t{1} << (63 - revision_number_bits)) - 1;

/// Both must be within their limits.
constexpr std::uint64_t make_revision(std::uint64_t epoch, std::uint64_t number)
{
    return (epoch << revision_number_bits) | number;
}

constexpr std::uint64_t epoch_of(std::uint64_t revision)
{
    return revision >> revision_number_bits;
}

constexpr std::uint64_t number_of(std::uint64_t revision)
{
    return revision & max_revision_number;
}

/// `evacuation`: exists while the data centre of this name is evacuated; its value means nothing. The numbers
/// are part of the messages that carry views.
enum class item_kind : std::uint8_t { configuration, upstream, node, evacuation };

/// One document of the store in its state after its last change.
struct stored_item {
    item_kind kind_ = item_kind::configuration;
    std::string name_; ///< Name of the upstream, node or data centre; empty for the configuration.
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
    /// The store no longer has the requested changes, or has another epoch; a full read is needed.
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
