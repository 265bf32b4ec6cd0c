// Sets up and runs the deployment: addresses, settings files, worker registration, configuration and process
// control. Its checks are in the companion file named ..._checks.cpp.
#include "platform_world/test_deployment.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint16_t caller_port = 8144;
constexpr std::uint16_t ready_port = 8140;
constexpr std::uint16_t control_port = 8146;
constexpr std::uint16_t peer_port = 7660;
constexpr std::uint16_t store_port = 8142;
constexpr std::uint16_t worker_port = 8080;

constexpr duration beat_period = 1s;

/// The platform's balancer sends no new connections to a node this long after asking it to stop.
constexpr duration out_of_rotation_after = 2s;

/// Third byte of a loopback address, by what listens there.
enum part : std::uint8_t { node_part = 1, store_part, store_link_part, worker_part, worker_link_part };

constexpr const char* host = "site.example";

} // namespace

world::world(const world_settings& settings)
    : settings_(settings), random_(settings.seed_), book_([this] { return clock_.now(); }), store_(loop_),
      beat_(loop_, [this] { beat(); }), pace_(loop_, [this] { watch_own_pace(); })
{
    std::filesystem::create_directories(settings_.folder_);
    routes_ = {{"pages", "/pages/", "desk", true, 1500ms},
               {"orders", "/orders/", "desk", false, 1500ms},
               {"bills", "/bills/", "log", false, 1000ms},
               {"archive", "/archive/", "log", true, 2000ms}};
    for (const auto* service : {"desk", "log"}) {
        for (int i = 0; i < settings_.workers_per_service_; ++i) {
            const int number = static_cast<int>(workers_.size());
            worker_place place;
            place.address_ = {address(worker_link_part, number), worker_port};
            place.behind_ = {address(worker_part, number), worker_port};
            place.link_ = std::make_unique<loopback_proxy>(loop_, place.address_, place.behind_);
            place.service_ = service;
            workers_.push_back(std::move(place));
        }
    }
    for (int i = 0; i < worker_count(); ++i) {
        start_worker(i);
    }
    put_configuration();
    nodes_.resize(index(settings_.nodes_));
    for (int i = 0; i < settings_.nodes_; ++i) {
        const loopback_address front{address(store_part, i), store_port};
        store_.listen(front);
        store_links_.push_back(std::make_unique<loopback_proxy>(
            loop_, loopback_address{address(store_link_part, i), store_port}, front));
        write_settings(i);
        if (!settings_.idle_nodes_.contains(i)) {
            start_node(i);
        }
    }
    beat_.start(beat_period);
    last_pace_ = now();
    pace_.start(pace_period);
}

world::~world()
{
    for (auto& node : nodes_) {
        node.process_.reset();
    }
}

std::string world::address(int part, int number) const
{
    return "127." + std::to_string(settings_.net_) + "." + std::to_string(part) + "." +
           std::to_string(number + 1);
}

std::string world::data_centre_of(int node) const
{
    return "dc-" + std::to_string(node % settings_.data_centres_);
}

void world::write_settings(int node) const
{
    const std::string ip = address(node_part, node);
    const auto at = [](const std::string& where, std::uint16_t port) {
        return where + ":" + std::to_string(port);
    };
    json seeds = json::array();
    for (int i = 0; i < std::min(3, settings_.nodes_); ++i) {
        seeds.push_back(at(address(node_part, i), control_port));
    }
    const json document{
        {"self",
         {{"node", "node-" + std::to_string(node)},
          {"zone", data_centre_of(node)},
          {"limits", {{"cpu_share", 1.0}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}}}}},
        {"network",
         {{"listen",
           {{"front", at(ip, caller_port)},
            {"ready", at(ip, ready_port)},
            {"control", at(ip, control_port)}}},
          {"internal_ports", {peer_port, peer_port + 15}},
          {"seeds", seeds}}},
        {"platform", {{"platform", {{"address", at(address(store_link_part, node), store_port)}}}}},
        {"terms",
         {{"bounds",
           {{"drain_ms", world_bounds::drain.count()},
            {"grace_s", world_bounds::grace.count()},
            {"config_apply_ms", world_bounds::configuration.count()},
            {"retry_budget_ratio", 0.2},
            {"retry_budget_slack", 56},
            {"probes_per_s", 60}}}}}};
    std::ofstream(settings_.folder_ + "/node-" + std::to_string(node) + ".json") << document.dump(2);
}

void world::start_node(int number)
{
    const std::string name = settings_.folder_ + "/node-" + std::to_string(number);
    auto& node = nodes_.at(index(number));
    node.stopping_ = false;
    node.process_ =
        std::make_unique<child_process>(settings_.daemon_, std::vector<std::string>{},
                                        child_options{name + ".log", {{"ANVILPOST_BOOT", name + ".json"}}});
}

void world::signal_node(int number, int signal)
{
    auto& node = nodes_.at(index(number));
    if (node_runs(number)) {
        node.process_->signal(signal);
    }
    if (signal == SIGSTOP || signal == SIGCONT) {
        node.paused_ = true;
        node.last_pause_ = now();
    }
}

bool world::node_runs(int number)
{
    auto& node = nodes_.at(index(number));
    return node.process_ != nullptr && node.process_->running();
}

void world::stop_node(int number, bool started_again)
{
    auto& node = nodes_.at(index(number));
    if (!node_runs(number) || node.stopping_) {
        return;
    }
    node.stopping_ = true;
    node.start_again_ = started_again;
    node.calm_stop_ = calm();
    node.asked_to_stop_ = now();
    node.process_->signal(SIGTERM);
    node.check_ = std::make_unique<timer>(loop_, [this, number] { watch_stop(number); });
    node.check_->start(stop_check_period);
}

void world::start_worker(int number)
{
    auto& place = workers_.at(index(number));
    ++place.lives_;
    place.leaving_since_ = {};
    worker_settings settings;
    settings.id_ = "w" + std::to_string(number) + "-" + std::to_string(place.lives_);
    settings.service_ = place.service_;
    settings.address_ = place.behind_;
    place.server_ = std::make_unique<worker>(loop_, book_, random_, settings);
    place.server_->on_arrival_ = [this, number](const arrival& what) { on_arrival(number, what); };
    register_worker(place);
}

void world::register_worker(worker_place& place)
{
    const auto& settings = place.server_->settings();
    const json entry{{"service", settings.service_},
                     {"address", place.address_.ip_ + ":" + std::to_string(place.address_.port_)},
                     {"zone", data_centre_of(static_cast<int>(&place - workers_.data()))},
                     {"version", "v1"},
                     {"slots", settings.slots_},
                     {"state", place.server_->draining() ? "draining" : "ready"},
                     {"warmup_left_ms", 0},
                     {"sequence", ++place.sequence_}};
    store_.put("servers/" + settings.id_, entry.dump());
}

void world::crash_worker(int number)
{
    auto& place = workers_.at(index(number));
    if (place.server_ == nullptr) {
        return;
    }
    for (const auto& [id, request] : book_.requests()) {
        const auto& reached = request.arrived_at_;
        if (request.end_ == request_end::open && !reached.empty() &&
            reached.back() == place.server_->settings().id_) {
            book_.on_worker_broke_off(id);
        }
    }
    store_.erase("servers/" + place.server_->settings().id_);
    place.server_->abandon();
    std::shared_ptr<worker> ended = std::move(place.server_);
    loop_.defer([ended] {});
}

void world::drain_worker(int number)
{
    auto& place = workers_.at(index(number));
    place.server_->set_draining(true);
    place.leaving_since_ = now();
    register_worker(place);
}

void world::beat()
{
    for (int i = 0; i < worker_count(); ++i) {
        auto& place = workers_.at(index(i));
        const bool left = place.server_ != nullptr && place.server_->draining() &&
                          now() - place.leaving_since_ > world_bounds::drain + 2s;
        if (left) {
            crash_worker(i);
        }
        else if (place.server_ != nullptr) {
            register_worker(place);
        }
    }
    beat_.start(beat_period);
}

void world::put_configuration()
{
    json routes{{"columns",
                 {"name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms", "priority",
                  "service", "max_attempts", "traffic_split"}},
                {"rows", json::array()}};
    int priority = 0;
    for (const auto& route : routes_) {
        constexpr int objective_ms = 400;
        routes["rows"].push_back({route.name_, host, route.path_prefix_,
                                  route.repeatable_ ? "safe" : "unsafe", route.timeout_.count(), objective_ms,
                                  priority++, route.service_, 2, nullptr});
    }
    constexpr int hexadecimal_digits = 8;
    std::string digits(hexadecimal_digits + 1, '\0');
    std::snprintf(digits.data(), digits.size(), "%08llx", static_cast<unsigned long long>(++version_));
    digits.resize(hexadecimal_digits);
    const json services{
        {"columns", {"name", "health_path", "max_connections", "protocol", "tls"}},
        {"rows", {{"desk", "/health", 220, "h1", false}, {"log", "/health", 220, "h1", false}}}};
    const json document{{"version", digits},
                        {"routes", routes},
                        {"services", services},
                        {"limits",
                         {{"max_header_bytes", 16384},
                          {"max_body_bytes", 1 << 20},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}}}};
    store_.put("op/config", document.dump());
}

void world::move_route(std::size_t which, const std::string& service)
{
    auto& route = routes_.at(which);
    moved_[route.name_] = {route.service_, now()};
    route.service_ = service;
    put_configuration();
}

node_choice world::choose_node()
{
    std::vector<int> in_rotation;
    for (int i = 0; i < settings_.nodes_; ++i) {
        const auto& node = nodes_.at(index(i));
        const bool leaving = node.stopping_ && now() - node.asked_to_stop_ > out_of_rotation_after;
        if (node_runs(i) && !leaving) {
            in_rotation.push_back(i);
        }
    }
    const int chosen = in_rotation.empty() ? 0 : in_rotation[random_below(random_, in_rotation.size())];
    return {chosen, {address(node_part, chosen), caller_port}};
}

request_kind world::choose_kind()
{
    const auto& route = routes_[random_below(random_, routes_.size())];
    return {host, route.path_prefix_, route.repeatable_, 2, 1500ms};
}

void world::start_callers(int count, duration pause)
{
    for (int i = 0; i < count; ++i) {
        callers_.push_back(std::make_unique<caller>(
            loop_, book_, random_, "c" + std::to_string(callers_.size()),
            caller::sources{[this] { return choose_node(); }, [this] { return choose_kind(); }}));
        callers_.back()->start(pause);
    }
}

void world::stop_callers()
{
    for (auto& each : callers_) {
        each->stop();
    }
}

void world::disturb(duration length)
{
    disturbed_until_ = std::max(disturbed_until_, now() + length);
}

bool world::calm() const
{
    return now() > disturbed_until_ + world_bounds::stable;
}

void world::run_for(duration length)
{
    timer end(loop_, [this] { loop_.stop(); });
    end.start(length);
    loop_.run();
}

bool world::run_until(const std::function<bool()>& condition, duration longest)
{
    constexpr duration step = 20ms;
    const auto end = now() + longest;
    while (!condition()) {
        if (now() >= end) {
            return false;
        }
        run_for(step);
    }
    return true;
}

void world::finish()
{
    stop_callers();
    run_until(
        [this] {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](const auto& each) { return each->idle(); });
        },
        2s);
    for (int i = 0; i < settings_.nodes_; ++i) {
        stop_node(i, false);
    }
    run_until(
        [this] {
            bool any = false;
            for (int i = 0; i < settings_.nodes_; ++i) {
                any = node_runs(i) || any;
            }
            return !any;
        },
        world_bounds::grace + 1s);
    book_.check_at_the_end();
}

} // namespace anvilpost::testing
