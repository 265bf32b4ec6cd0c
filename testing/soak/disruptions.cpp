// Implements each kind of disruption and its end after a random time.
#include "soak/disruptions.h"

#include <array>
#include <csignal>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, disruption_kind_count> kind_names{"kill_node",
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
                                                                    "move_route",
                                                                    "worker_says_leaving",
                                                                    "worker_limits_rate",
                                                                    "worker_asks_for_pause",
                                                                    "nodes_cut_off",
                                                                    "store_restored",
                                                                    "replace_key",
                                                                    "evacuate_data_centre",
                                                                    "flood_organisation"};

constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;
constexpr std::uint64_t duration_range_ms = 2500;
constexpr std::uint64_t min_duration_ms = 100;

} // namespace

const char* name_of(disruption_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

bool is_planned(disruption_kind kind)
{
    return kind == disruption_kind::stop_node || kind == disruption_kind::reload_node ||
           kind == disruption_kind::drain_worker || kind == disruption_kind::move_route ||
           kind == disruption_kind::worker_says_leaving || kind > disruption_kind::store_restored;
}

disruption_kind kind_drawer::draw(random_port& random, bool planned_only)
{
    constexpr int first_recent = static_cast<int>(disruption_kind::move_route) + 1;
    constexpr int first_of_organisations = static_cast<int>(disruption_kind::store_restored) + 1;
    constexpr int recent_count = first_of_organisations - first_recent;
    constexpr double organisation_share = 0.3;
    if (organisations_ && random_unit(organisation_random_) < organisation_share) {
        return static_cast<disruption_kind>(
            first_of_organisations +
            random_below(organisation_random_, disruption_kind_count - first_of_organisations));
    }
    constexpr double recent_share = 0.25;
    const bool recent = random_unit(recent_random_) < recent_share;
    while (true) {
        const auto drawn = recent ? first_recent + random_below(recent_random_, recent_count)
                                  : random_below(random, first_recent);
        const auto kind = static_cast<disruption_kind>(drawn);
        if (!planned_only || is_planned(kind)) {
            return kind;
        }
    }
}

void disruption_injector::schedule(duration delay, std::function<void()> work)
{
    timers_.push_back(std::make_unique<timer>(deployment_.loop(), std::move(work)));
    timers_.back()->start(delay);
}

duration disruption_injector::random_duration()
{
    return std::chrono::milliseconds(min_duration_ms + random_below(deployment_.random(), duration_range_ms));
}

int disruption_injector::random_node()
{
    return static_cast<int>(
        random_below(deployment_.random(), static_cast<std::uint64_t>(deployment_.node_count())));
}

int disruption_injector::random_worker()
{
    return static_cast<int>(
        random_below(deployment_.random(), static_cast<std::uint64_t>(deployment_.worker_count())));
}

void disruption_injector::kill_and_restart(int node)
{
    deployment_.signal_node(node, SIGKILL);
    schedule(random_duration(), [this, node] {
        if (!deployment_.node_runs(node)) {
            deployment_.start_node(node);
        }
    });
}

std::string disruption_injector::start(disruption_kind kind)
{
    const auto length = random_duration();
    const int node = random_node();
    if (!is_planned(kind)) {
        deployment_.announce_fault(length + duration_range_ms * 1ms);
    }
    std::string node_description = std::string(name_of(kind)) + " node-" + std::to_string(node);
    switch (kind) {
    case disruption_kind::kill_node: kill_and_restart(node); return node_description;
    case disruption_kind::kill_several_nodes:
        for (int i = 0; i < deployment_.node_count(); ++i) {
            if (i != node || random_below(deployment_.random(), 2) == 0) {
                kill_and_restart(i);
            }
        }
        return node_description;
    case disruption_kind::pause_node:
        deployment_.signal_node(node, SIGSTOP);
        schedule(length, [this, node] { deployment_.signal_node(node, SIGCONT); });
        return node_description;
    case disruption_kind::stop_node: deployment_.stop_node(node, true); return node_description;
    case disruption_kind::reload_node: deployment_.signal_node(node, SIGHUP); return node_description;
    case disruption_kind::move_route: {
        const auto route_index = random_below(deployment_.random(), deployment_.routes().size());
        const bool at_desk = deployment_.routes()[route_index].service_ == "desk";
        deployment_.move_route(route_index, at_desk ? "log" : "desk");
        return std::string(name_of(kind)) + " " + deployment_.routes()[route_index].name_;
    }
    case disruption_kind::worker_says_leaving:
    case disruption_kind::worker_limits_rate:
    case disruption_kind::worker_asks_for_pause: return let_worker_say(kind, length);
    case disruption_kind::nodes_cut_off: return cut_off_nodes(length);
    case disruption_kind::store_restored: return restore_store(length);
    case disruption_kind::replace_key: return replace_key(length);
    case disruption_kind::evacuate_data_centre: return evacuate_data_centre(length);
    case disruption_kind::flood_organisation: return flood_organisation(length);
    default: break;
    }
    if (kind <= disruption_kind::store_forgets_history) {
        return disrupt_store(kind, length);
    }
    const bool is_link_fault =
        kind <= disruption_kind::store_link_forgotten || kind >= disruption_kind::worker_link_delayed;
    return is_link_fault ? disrupt_link(kind, length) : disrupt_worker(kind, length);
}

std::string disruption_injector::disrupt_store(disruption_kind kind, duration length)
{
    if (kind == disruption_kind::store_forgets_history) {
        deployment_.store().compact();
        return name_of(kind);
    }
    store_endpoint_faults faults;
    faults.hang_ = kind == disruption_kind::store_hangs;
    faults.reset_ = kind == disruption_kind::store_resets;
    faults.delay_ = kind == disruption_kind::store_slow ? 200ms : 0ms;
    if (kind == disruption_kind::store_refuses) {
        faults.refuse_with_ = random_below(deployment_.random(), 2) == 0 ? http_too_many : http_unavailable;
    }
    const bool for_all = random_below(deployment_.random(), 2) == 0;
    for (int i = 0; i < deployment_.node_count(); ++i) {
        if (for_all || random_below(deployment_.random(), 2) == 0) {
            deployment_.store().set_faults(static_cast<std::size_t>(i), faults);
        }
    }
    schedule(length, [this] { deployment_.store().set_faults({}); });
    return std::string(name_of(kind)) + (for_all ? " for all" : " for some");
}

std::string disruption_injector::disrupt_worker(disruption_kind kind, duration length)
{
    const int number = random_worker();
    std::string description = std::string(name_of(kind)) + " " + std::to_string(number);
    if (!deployment_.worker_runs(number)) {
        deployment_.start_worker(number);
        return description + " (was stopped: started)";
    }
    if (kind == disruption_kind::crash_worker || kind == disruption_kind::drain_worker) {
        if (kind == disruption_kind::crash_worker) {
            deployment_.crash_worker(number);
        }
        else if (!deployment_.worker_at(number).draining()) {
            deployment_.drain_worker(number);
        }
        const auto downtime =
            kind == disruption_kind::crash_worker ? length : duration(platform_bounds::drain + 5s);
        schedule(downtime, [this, number] {
            if (!deployment_.worker_runs(number)) {
                deployment_.start_worker(number);
            }
        });
        return description;
    }
    worker_faults faults;
    constexpr double slow_factor = 10;
    constexpr double fault_share = 0.3;
    faults.slowdown_ = kind == disruption_kind::slow_worker ? slow_factor : 1.0;
    faults.lose_responses_ = kind == disruption_kind::worker_loses_answers ? fault_share : 0;
    faults.truncate_responses_ = kind == disruption_kind::worker_cuts_answers ? fault_share : 0;
    faults.refuse_ = kind == disruption_kind::worker_refuses ? fault_share : 0;
    deployment_.worker_at(number).set_faults(faults);
    schedule(length, [this, number] {
        if (deployment_.worker_runs(number)) {
            deployment_.worker_at(number).set_faults({});
        }
    });
    return description;
}

/// A worker that has said it leaves ends like one that drains; its entry in the store never says so.
std::string disruption_injector::let_worker_say(disruption_kind kind, duration length)
{
    constexpr double max_limit_per_second = 10;
    constexpr int pause_s = 1;
    const int number = random_worker();
    std::string description = std::string(name_of(kind)) + " " + std::to_string(number);
    if (!deployment_.worker_runs(number) || deployment_.worker_at(number).draining()) {
        return description + " (not running: nothing)";
    }
    if (kind == disruption_kind::worker_says_leaving) {
        deployment_.let_worker_say_leaving(number);
        const std::string id = deployment_.worker_at(number).settings().id_;
        const duration end = platform_bounds::drain + 2s;
        schedule(end, [this, number, id] {
            if (deployment_.worker_runs(number) && deployment_.worker_at(number).settings().id_ == id) {
                deployment_.crash_worker(number);
            }
        });
        schedule(end + 100ms, [this, number] {
            if (!deployment_.worker_runs(number)) {
                deployment_.start_worker(number);
            }
        });
        return description;
    }
    worker_faults faults;
    if (kind == disruption_kind::worker_limits_rate) {
        faults.rate_limit_ = max_limit_per_second * random_unit(deployment_.random());
    }
    else {
        faults.refuse_ = 1;
        faults.retry_after_s_ = pause_s;
    }
    deployment_.worker_at(number).set_faults(faults);
    schedule(length, [this, number] {
        if (deployment_.worker_runs(number)) {
            deployment_.worker_at(number).set_faults({});
        }
    });
    return description;
}

std::string disruption_injector::cut_off_nodes(duration length)
{
    constexpr std::array kinds{partition_kind::silent, partition_kind::reset, partition_kind::new_refused};
    const auto kind = random_below(deployment_.random(), kinds.size());
    std::set<int> nodes;
    std::string description = name_of(disruption_kind::nodes_cut_off);
    for (int i = 0; i < deployment_.node_count(); ++i) {
        if (random_below(deployment_.random(), 2) == 0) {
            nodes.insert(i);
            description += " " + std::to_string(i);
        }
    }
    deployment_.partition_from_workers(nodes, kinds.at(kind));
    schedule(length, [this] { deployment_.partition_from_workers({}, partition_kind::silent); });
    return description + " kind " + std::to_string(kind);
}

std::string disruption_injector::restore_store(duration length)
{
    constexpr duration rewritten_after = 500ms;
    deployment_.store().take_copy();
    schedule(length, [this] { deployment_.store().restore(); });
    schedule(length + rewritten_after, [this] { deployment_.rewrite_store(); });
    return name_of(disruption_kind::store_restored);
}

std::string disruption_injector::replace_key(duration length)
{
    const auto& organisations = deployment_.organisations();
    const auto number = random_below(deployment_.organisation_random(), organisations.size());
    const std::string replaced = deployment_.add_key(number);
    schedule(length, [this, number, replaced] { deployment_.withdraw_key(number, replaced); });
    return std::string(name_of(disruption_kind::replace_key)) + " of " + organisations[number].name_;
}

/// One data centre at a time, so that the others can serve all requests.
std::string disruption_injector::evacuate_data_centre(duration length)
{
    const std::string description = name_of(disruption_kind::evacuate_data_centre);
    if (!deployment_.evacuations().empty()) {
        return description + " (one is already evacuated: nothing)";
    }
    const auto count = static_cast<std::uint64_t>(deployment_.data_centre_count());
    const auto number = random_below(deployment_.organisation_random(), count);
    const std::string data_centre = deployment_.data_centre_of(static_cast<int>(number));
    deployment_.evacuate(data_centre);
    schedule(platform_bounds::evacuation + length,
             [this, data_centre] { deployment_.end_evacuation(data_centre); });
    return description + " " + data_centre;
}

std::string disruption_injector::flood_organisation(duration length)
{
    // Longer than a fault and its settling time, so that whole windows of the flood are checked.
    constexpr duration min_flood = 8s;
    const std::string description = name_of(disruption_kind::flood_organisation);
    const auto& organisations = deployment_.organisations();
    std::vector<std::size_t> limited;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        if (organisations[i].rate_per_second_ > 0 && !deployment_.floods(i)) {
            limited.push_back(i);
        }
    }
    if (limited.empty()) {
        return description + " (all flood already: nothing)";
    }
    const auto number = limited[random_below(deployment_.organisation_random(), limited.size())];
    deployment_.flood(number);
    schedule(min_flood + length, [this, number] { deployment_.end_flood(number); });
    return description + " " + organisations[number].name_;
}

std::string disruption_injector::disrupt_link(disruption_kind kind, duration length)
{
    const bool to_store = kind <= disruption_kind::store_link_forgotten;
    const int number = to_store ? random_node() : random_worker();
    auto& link = to_store ? deployment_.store_link(number) : deployment_.worker_link(number);
    std::string description = std::string(name_of(kind)) + " " + std::to_string(number);
    switch (kind) {
    case disruption_kind::store_link_forgotten:
    case disruption_kind::worker_link_forgotten: link.blackhole_open(); return description;
    case disruption_kind::worker_link_reset: link.reset_open(); return description;
    case disruption_kind::worker_link_delayed: link.set_fault(link_fault::delayed, 100ms); break;
    case disruption_kind::store_link_one_way:
    case disruption_kind::worker_link_one_way: link.set_fault(link_fault::one_way); break;
    default: link.set_fault(link_fault::silent); break;
    }
    schedule(length, [&link] { link.set_fault(link_fault::none); });
    return description;
}

} // namespace anvilpost::testing
