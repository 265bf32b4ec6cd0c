// Keeps the node's active configuration up to date: takes documents from a watch on the store and from peers,
// and applies only those with a greater revision. When the store came back from an older copy of its data, it
// writes the configuration in force again, or gives a later document of the operators a revision that nodes
// accept (core/configuration/restore_decision.h).
#pragma once

#include "adapters/event/event_loop.h"
#include "core/configuration/restore_decision.h"
#include "ports/key_value_port.h"
#include "ports/random_port.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost {

/// The origin of a configuration.
enum class configuration_source { store, peer };

/// Invariant: `in_force().revision_` never decreases.
class configuration_follower {
public:
    using listener_function = std::function<void(const configuration&, configuration_source)>;

    configuration_follower(event_loop& loop, key_value_port& store, random_port& random);

    /// Adds a listener that is called with each configuration that comes into force.
    void on_change(listener_function listener) { listeners_.push_back(std::move(listener)); }

    /// Starts or stops the watch on the store. A node that gets the configuration from its peers does not
    /// need the watch.
    void set_watching(bool watching);

    /// Applies a document and returns true, or rejects it and returns false: a document that is invalid or
    /// whose revision is not greater is rejected, and the configuration in force stays.
    bool offer(const nlohmann::json& document, configuration_source source);

    /// Reads the store once, independently of the watch, and applies what it holds.
    void read_once();

    [[nodiscard]] const configuration& in_force() const { return in_force_; }

    /// False until a first valid configuration has arrived or the store has answered that it holds none.
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] bool store_reachable() const { return store_reachable_; }
    [[nodiscard]] const std::string& last_refusal() const { return last_refusal_; }
    [[nodiscard]] bool watching() const { return watching_; }

    /// Returns how often this node wrote the configuration again after the store had lost it.
    [[nodiscard]] std::uint64_t store_restores() const { return store_restores_; }
    /// Returns the plans that were in force here and that a later configuration lacks.
    [[nodiscard]] const std::vector<applied_plan>& lost_plans() const { return lost_plans_; }

private:
    void watch();
    void on_value(const stored_value& value);
    void rewrite_if_restored(const std::optional<configuration>& stored, std::uint64_t version);

    event_loop& loop_;
    key_value_port& store_;
    random_port& random_;
    timer retry_;
    configuration in_force_;
    std::vector<listener_function> listeners_;
    std::uint64_t watched_version_ = 0;
    std::uint64_t watch_generation_ = 0; ///< Responses to a watch of an earlier generation are ignored.
    bool watching_ = false;
    bool ready_ = false;
    bool store_reachable_ = false;
    std::string last_refusal_;
    bool rewriting_ = false; ///< A write after a restore is in progress.
    std::uint64_t store_restores_ = 0;
    std::vector<applied_plan> lost_plans_;
};

} // namespace anvilpost
