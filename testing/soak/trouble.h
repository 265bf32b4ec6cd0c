// What the soak does to a world: one action a kind, drawn by seed, each with its own end.
#pragma once

#include "platform_world/world.h"

#include <string>
#include <vector>

namespace anvilpost::testing {

/// Kinds of trouble, in the order of `name_of`.
enum class trouble_kind : std::uint8_t {
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
};

inline constexpr int trouble_kinds = static_cast<int>(trouble_kind::move_route) + 1;

const char* name_of(trouble_kind kind);

/// True for what operators plan; it leaves the world calm.
bool is_planned(trouble_kind kind);

/// Causes troubles and ends them again.
class trouble_maker {
public:
    explicit trouble_maker(world& target) : world_(target) {}

    /// Starts one trouble; its effects end by themselves. Returns a line that tells what was done.
    std::string start(trouble_kind kind);

private:
    void later(duration delay, std::function<void()> work);
    duration some_time();
    int some_node();
    int some_worker();
    void kill(int node);
    std::string store_trouble(trouble_kind kind, duration length);
    std::string worker_trouble(trouble_kind kind, duration length);
    std::string link_trouble(trouble_kind kind, duration length);

    world& world_;
    std::vector<std::unique_ptr<timer>> timers_;
};

} // namespace anvilpost::testing
