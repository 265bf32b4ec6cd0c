// What a node holds for one service: its settings, its upstreams, the calls that wait, and its budgets.
#pragma once

#include "core/calls/latency_window.h"
#include "core/calls/picker.h"
#include "core/calls/share_budget.h"
#include "core/configuration/configuration.h"
#include "core/upstreams/upstream_tracker.h"
#include "vocabulary/call.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilpost {

/// Invariants: a tracker that is no longer listed is kept while it has calls in flight; `waiting_` holds
/// each call at most once, in order of arrival.
class service_state {
public:
    service_state(std::string name, const service_config& config, time_point now);

    void configure(const service_config& config, time_point now);

    /// Removes trackers that are neither listed nor busy.
    void drop_finished_upstreams();

    /// Marks every upstream as no longer listed; used when the service leaves the configuration.
    void unlist_all();

    /// Returns the upstream a call should go to now, or nullptr when none has room. Upstreams in
    /// `tried` are avoided.
    upstream_tracker* choose(const std::set<std::string>& tried, random_port& random, time_point now);

    /// True when at least one upstream outside `tried` receives calls, with or without room.
    [[nodiscard]] bool has_receiver(const std::set<std::string>& tried) const;

    [[nodiscard]] upstream_tracker* find(const std::string& upstream);
    [[nodiscard]] const std::map<std::string, std::unique_ptr<upstream_tracker>>& upstreams() const
    {
        return upstreams_;
    }

    /// Sets the number of nodes that share each upstream's connections.
    void set_nodes(std::size_t nodes) { nodes_ = std::max<std::size_t>(1, nodes); }

    /// Connections that this node may hold to one upstream: its share of what the upstream takes.
    [[nodiscard]] int connection_limit() const;

    /// Expected wait of a call that joins the queue now.
    [[nodiscard]] duration expected_queue_wait() const;

    /// Latency that a failure counts as, so that failing fast attracts no calls.
    [[nodiscard]] duration failure_penalty() const;

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const service_config& config() const { return config_; }

    std::deque<call_id> waiting_;
    share_budget retries_;
    share_budget hedges_;
    latency_window latencies_;

private:
    [[nodiscard]] bool has_room(const upstream_tracker& upstream) const;

    /// True when failures keep every upstream out. Then each one is tried with a single call at a time.
    [[nodiscard]] bool every_receiver_ejected(time_point now) const;

    std::string name_;
    service_config config_;
    any_picker picker_;
    std::size_t nodes_ = 1;
    std::map<std::string, std::unique_ptr<upstream_tracker>> upstreams_;
};

} // namespace anvilpost
