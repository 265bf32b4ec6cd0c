// Checks that need the state of the deployment: planned stops, requests to draining workers, and routing.
// Also detects stalls of this process and pauses of nodes, after which time bounds can't be checked.
#include "platform_world/test_deployment.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

/// A periodic timer that is late by more than this shows that this process wasn't scheduled.
constexpr duration shortest_stall = 200ms;

/// Tolerance for time bounds, which are checked in real time on a shared machine.
constexpr duration check_slack = 500ms;

} // namespace

void world::watch_stop(int number)
{
    auto& node = nodes_.at(index(number));
    if (node_runs(number)) {
        if (now() - node.asked_to_stop_ > world_bounds::grace && calm() && node.calm_stop_) {
            book_.report_late("a planned stop ends within the grace period",
                              "node-" + std::to_string(number));
        }
        if (now() - node.asked_to_stop_ > world_bounds::grace) {
            node.process_->signal(SIGKILL);
        }
        node.check_->start(stop_check_period);
        return;
    }
    node.stopping_ = false;
    check_cut_requests(number);
    if (node.start_again_) {
        start_node(number);
    }
}

/// After a planned stop without faults, no request that reached a worker may have ended without an answer.
void world::check_cut_requests(int number)
{
    const auto& node = nodes_.at(index(number));
    if (!node.calm_stop_ || !calm()) {
        return;
    }
    for (const auto& [id, request] : book_.requests()) {
        const bool ours = request.node_ == number && request.sent_ > node.asked_to_stop_ - 1s;
        if (ours && request.end_ == request_end::closed && !request.arrived_at_.empty() &&
            !request.worker_faulty_) {
            book_.report("planned stops abort no requests", id);
        }
    }
}

bool world::paused_lately(int number) const
{
    const auto& node = nodes_.at(index(number));
    return node.paused_ && now() - node.last_pause_ < world_bounds::stable;
}

void world::watch_own_pace()
{
    const auto gap = now() - last_pace_;
    if (gap > shortest_stall) {
        last_stall_ = now();
        longest_stall_ = std::max(longest_stall_, gap);
        disturb({});
    }
    last_pace_ = now();
    pace_.start(pace_period);
}

bool world::stalled_lately() const
{
    const bool now_in_a_stall = now() - last_pace_ > shortest_stall;
    return now_in_a_stall || (longest_stall_ > duration{} && now() - last_stall_ < world_bounds::stable);
}

void world::on_arrival(int number, arrival what)
{
    const auto* request = book_.find(what.request_id_);
    // A paused node reads a request late and can't know how long it waited.
    what.held_up_ = (request != nullptr && paused_lately(request->node_)) ||
                    worker_link(number).harmed_within(world_bounds::stable) || stalled_lately();
    book_.on_arrival(what);
    const auto& place = workers_.at(index(number));
    const bool leaving = place.server_ != nullptr && place.server_->draining();
    if (leaving && calm() && now() - place.leaving_since_ > world_bounds::drain + check_slack) {
        book_.report_late("a draining worker receives no new requests",
                          what.request_id_ + " at " + what.worker_);
    }
    check_route(what);
}

/// Checks that a request reached a service that a configuration in force routes it to.
void world::check_route(const arrival& what)
{
    const auto* request = book_.find(what.request_id_);
    const auto route = std::find_if(routes_.begin(), routes_.end(), [&](const operator_route& each) {
        return what.path_.starts_with(each.path_prefix_);
    });
    if (request == nullptr || route == routes_.end() || route->service_ == what.service_) {
        return;
    }
    const auto moved = moved_.find(route->name_);
    const bool was_allowed = moved != moved_.end() && moved->second.first == what.service_;
    if (!was_allowed) {
        book_.report("requests run at the service that the configuration routes them to",
                     what.request_id_ + " at " + what.service_);
    }
    else if (calm() && request->sent_ > moved->second.second + world_bounds::configuration + check_slack) {
        book_.report_late("a new configuration takes effect in time",
                          what.request_id_ + " at " + what.service_);
    }
}

double world::peak_node_memory() const
{
    double most = 0;
    for (const auto& node : nodes_) {
        if (node.process_ == nullptr) {
            continue;
        }
        std::ifstream status("/proc/" + std::to_string(node.process_->pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            constexpr double kilobytes_per_megabyte = 1024;
            if (line.starts_with("VmHWM:")) {
                most = std::max(most, std::stod(line.substr(6)) / kilobytes_per_megabyte);
            }
        }
    }
    return most;
}

double world::served_part(time_point from) const
{
    constexpr int http_ok = 200;
    int asked = 0;
    int served = 0;
    for (const auto& [unused, request] : book_.requests()) {
        if (request.sent_ >= from && request.end_ != request_end::open) {
            ++asked;
            served += request.status_ == http_ok ? 1 : 0;
        }
    }
    return asked == 0 ? 0 : static_cast<double>(served) / asked;
}

} // namespace anvilpost::testing
