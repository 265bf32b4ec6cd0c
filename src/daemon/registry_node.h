// A node whose configuration and upstreams come from a store with a registry. It shares its view of the
// store and of the upstreams' load with the other nodes.
#pragma once

#include "adapters/logging/decision_log.h"
#include "adapters/operators/page_server.h"
#include "core/fleet/view_follower.h"
#include "core/upstreams/upstream_registry.h"
#include "daemon/call_path.h"
#include "daemon/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace anvilpost {

struct registry_node_settings {
    std::string node_;
    std::string data_centre_;
    call_path_settings call_path_;
    socket_address ready_; ///< Answers whether the node is ready for callers.
    std::string ready_path_ = "/ready";
    socket_address control_; ///< For other nodes and operators.
    socket_address metrics_;
    follower_terms follower_;
};

/// Claims are not used here: no key travels with a request, and each attempt of a caller is a request of
/// its own.
class no_claims : public claim_port {
public:
    void claim(call_id, const std::string&, const std::string&) override {}
    void release(call_id) override {}
    void keep(call_id) override {}
};

class registry_node {
public:
    registry_node(event_loop& loop, const registry_node_settings& settings, registry_store_port& store,
                  const document_codec& codec);
    registry_node(const registry_node&) = delete;
    registry_node& operator=(const registry_node&) = delete;
    ~registry_node() = default;

    /// Runs until the node has stopped. Returns the process's exit code.
    int run();

private:
    void on_tick();
    void on_store_changes(const std::vector<stored_item>& changes);
    void put_in_force();
    void on_terminate();
    page_table control_pages();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] std::string metrics() const;

    event_loop& loop_;
    registry_node_settings settings_;
    boot_clock clock_;
    system_random random_;
    no_claims claims_;
    decision_log decisions_;
    call_path path_;
    upstream_registry registry_;
    view_follower follower_;
    page_server ready_server_;
    page_server control_server_;
    timer tick_;
    signal_watch terminate_;
    signal_watch interrupt_;
};

} // namespace anvilpost
