// Keeps this node's configuration in force: takes documents from the store's watch (and later from
// peers) and applies only those with a greater revision.
#pragma once

#include "adapters/event/event_loop.h"
#include "core/configuration/configuration.h"
#include "ports/key_value_port.h"
#include "ports/random_port.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost {

/// Where a configuration came from.
enum class configuration_source { store, peer };

/// Invariant: `in_force().revision_` never decreases.
class configuration_follower {
public:
    using listener_function = std::function<void(const configuration&, configuration_source)>;

    configuration_follower(event_loop& loop, key_value_port& store, random_port& random);

    /// Calls `on_change` with each configuration that comes into force.
    void on_change(listener_function listener) { listeners_.push_back(std::move(listener)); }

    /// Starts or stops watching; a node that follows its peers need not watch the store.
    void set_watching(bool watching);

    /// Offers a document. Returns true when it came into force. A document that does not parse or whose
    /// revision is not greater is refused.
    bool offer(const nlohmann::json& document, configuration_source source);

    /// Reads the store once, outside of the watch.
    void read_once();

    [[nodiscard]] const configuration& in_force() const { return in_force_; }

    /// False until a first configuration, or word from the store that there is none, has arrived.
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] bool store_reachable() const { return store_reachable_; }
    [[nodiscard]] const std::string& last_refusal() const { return last_refusal_; }
    [[nodiscard]] bool watching() const { return watching_; }

private:
    void watch();
    void on_value(const stored_value& value);

    event_loop& loop_;
    key_value_port& store_;
    random_port& random_;
    timer retry_;
    configuration in_force_;
    std::vector<listener_function> listeners_;
    std::uint64_t watched_version_ = 0;
    std::uint64_t watch_generation_ = 0;
    bool watching_ = false;
    bool ready_ = false;
    bool store_reachable_ = false;
    std::string last_refusal_;
};

} // namespace anvilpost
