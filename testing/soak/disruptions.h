// Disruptions of a deployment for the soak test: injected faults and planned operations, one action per kind,
// each of which ends by itself. Targets and lengths are drawn from the deployment's seeded random source.
#pragma once

#include "test_deployment/test_deployment.h"

#include <string>
#include <vector>

namespace anvilpost::testing {

/// Kinds of disruption. The implementation compares ranges of these values, so their order matters; the table
/// behind `name_of` has the same order. The last ones are drawn apart from the others (see `draw_kind`).
enum class disruption_kind : std::uint8_t {
    kill_node,
    kill_several_nodes,
    pause_node,
    stop_node,
    reload_node,
    store_refuses,
    store_hangs,
    store_resets,
    store_slow,
    store_forgets_history,
    store_link_silent,
    store_link_one_way,
    store_link_forgotten,
    crash_worker,
    drain_worker,
    slow_worker,
    worker_loses_answers,
    worker_cuts_answers,
    worker_refuses,
    worker_link_delayed,
    worker_link_silent,
    worker_link_one_way,
    worker_link_reset,
    worker_link_forgotten,
    move_route,
    worker_says_leaving,
    worker_limits_rate,
    worker_asks_for_pause,
    nodes_cut_off,
    store_restored,
    replace_key,
    evacuate_data_centre,
    flood_organisation,
};

inline constexpr int disruption_kind_count = static_cast<int>(disruption_kind::flood_organisation) + 1;

const char* name_of(disruption_kind kind);

/// True for operations that operators plan; guarantees with a time bound hold during them.
bool is_planned(disruption_kind kind);

/// Draws the next kind. A share of the draws takes one of the kinds after `move_route`, from a generator of
/// its own, so that seeds which once failed go on drawing the same of the kinds before. The kinds after
/// `store_restored` need organisations; they come from a third generator and are drawn only with it.
class kind_drawer {
public:
    /// `organisations`: whether the deployment has organisations.
    kind_drawer(std::uint64_t seed, bool organisations)
        : recent_random_(seed), organisation_random_(~seed), organisations_(organisations)
    {
    }

    /// With `planned_only`, nothing that `is_planned` denies.
    disruption_kind draw(random_port& random, bool planned_only);

private:
    split_mix recent_random_;
    split_mix organisation_random_;
    bool organisations_;
};

/// Starts disruptions and ends them after a while. Must not outlive the deployment.
class disruption_injector {
public:
    explicit disruption_injector(test_deployment& deployment) : deployment_(deployment) {}

    /// Starts one disruption, which ends by itself. Returns its description for the log.
    std::string start(disruption_kind kind);

private:
    void schedule(duration delay, std::function<void()> work);
    duration random_duration();
    int random_node();
    int random_worker();
    void kill_and_restart(int node);
    std::string disrupt_store(disruption_kind kind, duration length);
    std::string disrupt_worker(disruption_kind kind, duration length);
    std::string disrupt_link(disruption_kind kind, duration length);
    std::string let_worker_say(disruption_kind kind, duration length);
    std::string cut_off_nodes(duration length);
    std::string restore_store(duration length);
    std::string replace_key(duration length);
    std::string evacuate_data_centre(duration length);
    std::string flood_organisation(duration length);

    test_deployment& deployment_;
    std::vector<std::unique_ptr<timer>> timers_;
};

} // namespace anvilpost::testing
