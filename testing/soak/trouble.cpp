// Implements each kind of disruption and its end after a random time.
#include "soak/trouble.h"

#include <array>
#include <csignal>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, trouble_kinds> names{"kill_node",
                                                       "kill_several_nodes",
                                                       "pause_node",
                                                       "stop_node",
                                                       "reload_node",
                                                       "store_refuses",
                                                       "store_hangs",
                                                       "store_resets",
                                                       "store_slow",
                                                       "store_forgets_history",
                                                       "store_link_silent",
                                                       "store_link_one_way",
                                                       "store_link_forgotten",
                                                       "crash_worker",
                                                       "drain_worker",
                                                       "slow_worker",
                                                       "worker_loses_answers",
                                                       "worker_cuts_answers",
                                                       "worker_refuses",
                                                       "worker_link_delayed",
                                                       "worker_link_silent",
                                                       "worker_link_one_way",
                                                       "worker_link_reset",
                                                       "worker_link_forgotten",
                                                       "move_route"};

constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;
constexpr std::uint64_t longest_trouble_ms = 2500;
constexpr std::uint64_t shortest_trouble_ms = 100;

} // namespace

const char* name_of(trouble_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

bool is_planned(trouble_kind kind)
{
    return kind == trouble_kind::stop_node || kind == trouble_kind::reload_node ||
           kind == trouble_kind::drain_worker || kind == trouble_kind::move_route;
}

void trouble_maker::later(duration delay, std::function<void()> work)
{
    timers_.push_back(std::make_unique<timer>(world_.loop(), std::move(work)));
    timers_.back()->start(delay);
}

duration trouble_maker::some_time()
{
    return std::chrono::milliseconds(shortest_trouble_ms + random_below(world_.random(), longest_trouble_ms));
}

int trouble_maker::some_node()
{
    return static_cast<int>(random_below(world_.random(), static_cast<std::uint64_t>(world_.node_count())));
}

int trouble_maker::some_worker()
{
    return static_cast<int>(random_below(world_.random(), static_cast<std::uint64_t>(world_.worker_count())));
}

void trouble_maker::kill(int node)
{
    world_.signal_node(node, SIGKILL);
    later(some_time(), [this, node] {
        if (!world_.node_runs(node)) {
            world_.start_node(node);
        }
    });
}

std::string trouble_maker::start(trouble_kind kind)
{
    const auto length = some_time();
    const int node = some_node();
    if (!is_planned(kind)) {
        world_.disturb(length + longest_trouble_ms * 1ms);
    }
    std::string at_node = std::string(name_of(kind)) + " node-" + std::to_string(node);
    switch (kind) {
    case trouble_kind::kill_node: kill(node); return at_node;
    case trouble_kind::kill_several_nodes:
        for (int i = 0; i < world_.node_count(); ++i) {
            if (i != node || random_below(world_.random(), 2) == 0) {
                kill(i);
            }
        }
        return at_node;
    case trouble_kind::pause_node:
        world_.signal_node(node, SIGSTOP);
        later(length, [this, node] { world_.signal_node(node, SIGCONT); });
        return at_node;
    case trouble_kind::stop_node: world_.stop_node(node, true); return at_node;
    case trouble_kind::reload_node: world_.signal_node(node, SIGHUP); return at_node;
    case trouble_kind::move_route: {
        const auto which = random_below(world_.random(), world_.routes().size());
        const bool at_desk = world_.routes()[which].service_ == "desk";
        world_.move_route(which, at_desk ? "log" : "desk");
        return std::string(name_of(kind)) + " " + world_.routes()[which].name_;
    }
    default: break;
    }
    if (kind <= trouble_kind::store_forgets_history) {
        return store_trouble(kind, length);
    }
    const bool at_link =
        kind <= trouble_kind::store_link_forgotten || kind >= trouble_kind::worker_link_delayed;
    return at_link ? link_trouble(kind, length) : worker_trouble(kind, length);
}

std::string trouble_maker::store_trouble(trouble_kind kind, duration length)
{
    if (kind == trouble_kind::store_forgets_history) {
        world_.store().compact();
        return name_of(kind);
    }
    store_front_faults faults;
    faults.hang_ = kind == trouble_kind::store_hangs;
    faults.reset_ = kind == trouble_kind::store_resets;
    faults.delay_ = kind == trouble_kind::store_slow ? 200ms : 0ms;
    if (kind == trouble_kind::store_refuses) {
        faults.refuse_with_ = random_below(world_.random(), 2) == 0 ? http_too_many : http_unavailable;
    }
    const bool for_all = random_below(world_.random(), 2) == 0;
    for (int i = 0; i < world_.node_count(); ++i) {
        if (for_all || random_below(world_.random(), 2) == 0) {
            world_.store().set_faults(static_cast<std::size_t>(i), faults);
        }
    }
    later(length, [this] { world_.store().set_faults({}); });
    return std::string(name_of(kind)) + (for_all ? " for all" : " for some");
}

std::string trouble_maker::worker_trouble(trouble_kind kind, duration length)
{
    const int number = some_worker();
    std::string what = std::string(name_of(kind)) + " " + std::to_string(number);
    if (!world_.worker_runs(number)) {
        world_.start_worker(number);
        return what + " (was stopped: started)";
    }
    if (kind == trouble_kind::crash_worker || kind == trouble_kind::drain_worker) {
        if (kind == trouble_kind::crash_worker) {
            world_.crash_worker(number);
        }
        else if (!world_.server(number).draining()) {
            world_.drain_worker(number);
        }
        const auto gone = kind == trouble_kind::crash_worker ? length : duration(world_bounds::drain + 5s);
        later(gone, [this, number] {
            if (!world_.worker_runs(number)) {
                world_.start_worker(number);
            }
        });
        return what;
    }
    worker_faults faults;
    constexpr double slow = 10;
    constexpr double some = 0.3;
    faults.slowdown_ = kind == trouble_kind::slow_worker ? slow : 1.0;
    faults.lose_answers_ = kind == trouble_kind::worker_loses_answers ? some : 0;
    faults.cut_answers_ = kind == trouble_kind::worker_cuts_answers ? some : 0;
    faults.refuse_ = kind == trouble_kind::worker_refuses ? some : 0;
    world_.server(number).set_faults(faults);
    later(length, [this, number] {
        if (world_.worker_runs(number)) {
            world_.server(number).set_faults({});
        }
    });
    return what;
}

std::string trouble_maker::link_trouble(trouble_kind kind, duration length)
{
    const bool to_store = kind <= trouble_kind::store_link_forgotten;
    const int number = to_store ? some_node() : some_worker();
    auto& link = to_store ? world_.store_link(number) : world_.worker_link(number);
    std::string what = std::string(name_of(kind)) + " " + std::to_string(number);
    switch (kind) {
    case trouble_kind::store_link_forgotten:
    case trouble_kind::worker_link_forgotten: link.forget_open(); return what;
    case trouble_kind::worker_link_reset: link.reset_open(); return what;
    case trouble_kind::worker_link_delayed: link.set_fault(link_fault::delayed, 100ms); break;
    case trouble_kind::store_link_one_way:
    case trouble_kind::worker_link_one_way: link.set_fault(link_fault::one_way); break;
    default: link.set_fault(link_fault::silent); break;
    }
    later(length, [&link] { link.set_fault(link_fault::none); });
    return what;
}

} // namespace anvilpost::testing
