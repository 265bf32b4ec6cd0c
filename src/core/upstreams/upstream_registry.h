// Merges the operators' configuration with the upstreams that have registered themselves in the store. An
// entry that cannot be parsed counts as absent; an entry whose lease may have expired only because the store
// was unavailable stays for a grace period.
#pragma once

#include "core/configuration/document_codec.h"
#include "ports/clock_port.h"
#include "ports/registry_store_port.h"
#include "vocabulary/recent_keys.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

/// A change to the registry, or a refused one, reported for logs and counters.
struct registry_event {
    enum class kind {
        configuration_taken,
        configuration_refused,
        entry_refused,
        arrived,
        leaving,
        gone,
        kept_after_lapse,
        evacuation_began,
        evacuation_ended
    };
    kind kind_ = kind::arrived;
    std::string name_;
    std::string detail_;
    std::uint64_t revision_ = 0;
};

template <>
struct enum_names<registry_event::kind> {
    using kind = registry_event::kind;
    static constexpr std::array<std::pair<kind, std::string_view>, 9> table{{
        {kind::configuration_taken, "configuration_taken"},
        {kind::configuration_refused, "configuration_refused"},
        {kind::entry_refused, "entry_refused"},
        {kind::arrived, "upstream_arrived"},
        {kind::leaving, "upstream_leaving"},
        {kind::gone, "upstream_gone"},
        {kind::kept_after_lapse, "upstream_kept_after_lapse"},
        {kind::evacuation_began, "evacuation_began"},
        {kind::evacuation_ended, "evacuation_ended"},
    }};
};

/// Invariants: the configuration's revision never decreases; an incarnation of an upstream that is leaving
/// stays leaving, also when its entry is removed and returns within `departed_retention`.
class upstream_registry {
public:
    upstream_registry(const document_codec& codec, const clock_port& clock, duration lapse_grace)
        : codec_(codec), clock_(clock), lapse_grace_(lapse_grace)
    {
    }

    /// Applies changes read from the store. Returns true when the result of `effective` may have changed.
    /// Documents that cannot be parsed are reported through `on_event_`; no exception is thrown for them.
    bool apply(const std::vector<stored_item>& changes);

    /// Marks an incarnation of an upstream as leaving, by its own word or that of a peer; its entry may say
    /// so later or never. Returns false when it is not the registered one or was leaving already.
    bool mark_leaving(const std::string& name, const std::string& incarnation);

    /// Removes lapsed entries and evacuations whose grace period has ended. Returns true when it removed any.
    bool drop_lapsed();

    /// Returns the configuration with the registered upstreams added to their services, and the evacuations.
    /// Upstreams of services that are not configured are left out.
    [[nodiscard]] configuration effective() const;

    [[nodiscard]] bool configured() const { return configured_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::uint64_t refused_entries() const { return refused_entries_; }

    std::function<void(const registry_event&)> on_event_;

private:
    struct entry {
        registered_upstream upstream_;
        std::optional<time_point> lapsed_at_; ///< Set while the entry is in its grace period.
    };

    bool apply_configuration(const stored_item& item);
    bool apply_upstream(const stored_item& item);
    bool apply_evacuation(const stored_item& item);
    bool remove(const std::string& name, std::uint64_t revision);
    void report_event(registry_event::kind event_kind, const std::string& name, std::uint64_t revision,
                      const std::string& detail = "") const;

    const document_codec& codec_;
    const clock_port& clock_;
    duration lapse_grace_;
    bool configured_ = false;
    configuration configuration_;
    std::map<std::string, entry> entries_;
    /// Evacuated data centres; with a time while the item is missing since a store outage or restore.
    std::map<std::string, std::optional<time_point>> evacuations_;
    std::uint64_t refused_entries_ = 0;

    /// Longer than an upstream goes on serving after it has announced that it leaves.
    static constexpr duration departed_retention = std::chrono::minutes(10);
    static constexpr std::size_t max_departed = 10'000;
    bool has_lapsed_ = false;            ///< Some entry may be in its grace period.
    recent_keys departed_{max_departed}; ///< Incarnations that were leaving when their entry was removed.
};

} // namespace anvilpost
