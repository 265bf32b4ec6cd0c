// Builds the fleet, plays the calls and counts what callers got.
#include "emulator/emulated_fleet.h"

#include "core/calls/call_engine.h"
#include "core/fleet/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <unordered_map>
#include <vector>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr const char* service_name = "desk";
constexpr std::uint16_t datagram_port_number = 1;
constexpr duration probe_period = 60ms;

/// The caller's own network, both ways; it counts towards the objective.
constexpr duration caller_round_trip = 16ms;

class no_claims : public claim_port {
public:
    void claim(call_id, const std::string&, const std::string&) override {}
    void release(call_id) override {}
    void keep(call_id) override {}
};

class no_observer : public call_observer {
public:
    void on_call_finished(const call_record&) override {}
};

/// The store plays no part: all nodes have the configuration from the start.
class no_store : public registry_store_port {
public:
    void read_all(items_callback) override {}
    void changes_since(std::uint64_t, duration, items_callback) override {}
};

class emulated_fleet;

/// One node: the real core, and ports that lead to the emulated network.
class emulated_node : public upstream_port, public caller_port, public datagram_port {
public:
    emulated_node(emulated_fleet& fleet, int number, const std::string& data_centre);

    void start(const attempt_order& order) override;
    void cancel(attempt_id attempt) override;
    void reject(call_id call, const problem& why) override;
    void relay(call_id call, attempt_id attempt) override;
    void abort(call_id) override {}
    [[nodiscard]] relay_progress progress_of(call_id) const override { return {}; }
    void send(const std::string& ip, std::uint16_t port, const std::string& bytes) override;

    void tick();
    void probe_upstreams();
    void wake();

    emulated_fleet& fleet_;
    split_mix random_;
    no_claims claims_;
    no_observer observer_;
    no_store store_;
    std::string data_centre_;
    call_engine engine_;
    view_follower follower_;
    peer_exchange exchange_;

private:
    struct open_attempt {
        int upstream_ = 0;
        std::uint64_t request_ = 0; ///< 0 until the request has reached the upstream.
    };

    void on_answer(attempt_id attempt, int upstream, bool run, const load_report& load);

    std::unordered_map<attempt_id, open_attempt> attempts_;
    std::uint64_t wakeup_ = 0; ///< Of the latest scheduled wakeup; earlier ones are void.
};

/// A caller's request, over its first try and its one return.
struct caller_request {
    time_point first_sent_{};
    duration work_{};
    bool repeatable_ = true;
    bool counted_ = false;
    bool returned_ = false;
};

class emulated_fleet {
public:
    explicit emulated_fleet(const emulation_settings& settings);
    emulation_result play();

    void arrive();
    void send_to_node(std::uint64_t number, duration delay);
    void on_served(call_id call);
    void on_rejected(call_id call, const problem& why);
    [[nodiscard]] duration delay_between(const std::string& a, const std::string& b) const;
    [[nodiscard]] const std::string& data_centre_of_upstream(int upstream) const
    {
        return upstream_data_centres_[static_cast<std::size_t>(upstream)];
    }

    emulation_settings settings_;
    virtual_time time_;
    split_mix random_;
    configuration config_;
    std::vector<std::string> upstream_data_centres_;
    std::map<std::string, int> upstream_numbers_;
    std::vector<std::unique_ptr<emulated_upstream>> upstreams_;
    std::vector<std::unique_ptr<emulated_node>> nodes_;
    std::map<std::string, emulated_node*> node_by_ip_;
    std::vector<caller_request> requests_;
    std::unordered_map<call_id, std::uint64_t> request_of_call_;
    std::uint64_t next_call_ = 1;
    time_point count_from_{};
    time_point count_until_{};
    double earned_ = 0;
    int late_ = 0;
    int served_ = 0;
    int rejected_ = 0;
    int attempts_ = 0;
    int upstream_rejections_ = 0;
};

emulated_node::emulated_node(emulated_fleet& fleet, int number, const std::string& data_centre)
    : fleet_(fleet), random_(fleet.settings_.seed_ * 1'000'003 + static_cast<std::uint64_t>(number)),
      data_centre_(data_centre), engine_({fleet.time_, random_, *this, *this, claims_, observer_}),
      follower_(store_, fleet.time_, random_, {}),
      exchange_({fleet.time_, random_, *this, follower_, engine_},
                {"n" + std::to_string(number), 1, data_centre, "ip" + std::to_string(number),
                 datagram_port_number, 2, 200, false})
{
    engine_.on_in_flight_changed_ = [this](const std::string&, const std::string&) {
        exchange_.record_in_flight_change();
    };
    engine_.on_earlier_wakeup_ = [this] { wake(); };
    exchange_.on_later_view_ = [](const peer&, std::uint64_t) {};
}

/// Schedules the engine's next timer.
void emulated_node::wake()
{
    const auto next = engine_.next_wakeup();
    const auto scheduled = ++wakeup_;
    if (!next) {
        return;
    }
    fleet_.time_.schedule_after(std::max<duration>(0us, *next - fleet_.time_.now()), [this, scheduled] {
        if (scheduled == wakeup_) {
            engine_.on_wakeup();
            wake();
        }
    });
}

void emulated_node::tick()
{
    exchange_.on_tick();
    fleet_.time_.schedule_after(peer_exchange::tick_period, [this] { tick(); });
}

void emulated_node::probe_upstreams()
{
    for (const auto& [name, number] : fleet_.upstream_numbers_) {
        const auto& data_centre = fleet_.data_centre_of_upstream(number);
        if (!exchange_.duties().probes(name, data_centre)) {
            continue;
        }
        const auto delay = fleet_.delay_between(data_centre_, data_centre);
        fleet_.time_.schedule_after(delay, [this, name = name, number = number, delay] {
            const auto load = fleet_.upstreams_[static_cast<std::size_t>(number)]->load();
            fleet_.time_.schedule_after(delay, [this, name, load] {
                engine_.on_probe(service_name, name, true, true, fleet_.time_.now());
                engine_.on_load(service_name, name, load, fleet_.time_.now());
                exchange_.record_load(service_name, name, load, true, true);
                engine_.apply_loads();
            });
        });
    }
    fleet_.time_.schedule_after(probe_period, [this] { probe_upstreams(); });
}

void emulated_node::start(const attempt_order& order)
{
    const int upstream = fleet_.upstream_numbers_.at(order.upstream_);
    attempts_[order.attempt_] = {upstream, 0};
    ++fleet_.attempts_;
    const auto delay = fleet_.delay_between(data_centre_, fleet_.data_centre_of_upstream(upstream));
    const auto work = fleet_.requests_[fleet_.request_of_call_.at(order.call_)].work_;
    fleet_.time_.schedule_after(delay, [this, attempt = order.attempt_, upstream, delay, work] {
        if (!attempts_.contains(attempt)) {
            return;
        }
        auto& target = *fleet_.upstreams_[static_cast<std::size_t>(upstream)];
        const auto request =
            target.request(work, [this, attempt, upstream, delay](bool run, const load_report& load) {
                fleet_.time_.schedule_after(
                    delay, [this, attempt, upstream, run, load] { on_answer(attempt, upstream, run, load); });
            });
        if (const auto open = attempts_.find(attempt); open != attempts_.end()) {
            open->second.request_ = request;
        }
    });
}

void emulated_node::cancel(attempt_id attempt)
{
    const auto open = attempts_.find(attempt);
    if (open == attempts_.end()) {
        return;
    }
    const auto [upstream, request] = open->second;
    attempts_.erase(open);
    const auto delay = fleet_.delay_between(data_centre_, fleet_.data_centre_of_upstream(upstream));
    fleet_.time_.schedule_after(delay, [this, upstream = upstream, request = request] {
        fleet_.upstreams_[static_cast<std::size_t>(upstream)]->cancel(request);
    });
}

void emulated_node::on_answer(attempt_id attempt, int upstream, bool run, const load_report& load)
{
    if (attempts_.erase(attempt) == 0) {
        return;
    }
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    fleet_.upstream_rejections_ += run ? 0 : 1;
    exchange_.record_load(service_name, "u" + std::to_string(upstream), load, true, false);
    engine_.on_response_started(attempt, {run ? ok : unavailable, !run, false, false, {false, load}});
    if (run) {
        engine_.on_attempt_ended(attempt, attempt_outcome::complete);
    }
    wake();
}

void emulated_node::reject(call_id call, const problem& why)
{
    fleet_.on_rejected(call, why);
}

void emulated_node::relay(call_id call, attempt_id)
{
    fleet_.on_served(call);
}

void emulated_node::send(const std::string& ip, std::uint16_t, const std::string& bytes)
{
    const auto found = fleet_.node_by_ip_.find(ip);
    if (found == fleet_.node_by_ip_.end() || random_unit(fleet_.random_) < fleet_.settings_.datagram_loss_) {
        return;
    }
    auto* receiver = found->second;
    fleet_.time_.schedule_after(fleet_.delay_between(data_centre_, receiver->data_centre_),
                                [receiver, bytes] { receiver->exchange_.on_datagram(bytes); });
}

emulated_fleet::emulated_fleet(const emulation_settings& settings)
    : settings_(settings), random_(settings.seed_)
{
    const auto data_centre = [&](int i) { return "dc-" + std::to_string(i % settings_.data_centres_); };
    config_.revision_ = 1;
    auto& service = config_.services_[service_name];
    service.policy_.picker_ = picker_kind::earliest_finish;
    service.policy_.slots_ = settings_.upstream_.slots_;
    service.policy_.queue_length_ = 1'000;
    service.policy_.retry_share_ = 0.2;
    service.policy_.retry_budget_slack_ = 150;
    service.policy_.shared_retry_budget_ = true;
    service.policy_.worker_connections_ = 820;
    for (int i = 0; i < settings_.upstreams_; ++i) {
        const std::string name = "u" + std::to_string(i);
        upstream_config upstream{"10.0.0.9", 80, data_centre(i), "", upstream_state::active};
        upstream.slots_ = settings_.upstream_.slots_;
        service.upstreams_[name] = upstream;
        upstream_numbers_[name] = i;
        upstream_data_centres_.push_back(data_centre(i));
        upstreams_.push_back(std::make_unique<emulated_upstream>(
            time_, settings_.upstream_, settings_.seed_ * 7919 + static_cast<std::uint64_t>(i)));
    }
    for (int i = 0; i < settings_.nodes_; ++i) {
        nodes_.push_back(std::make_unique<emulated_node>(*this, i, data_centre(i)));
        auto& added = *nodes_.back();
        node_by_ip_["ip" + std::to_string(i)] = &added;
        added.exchange_.set_seeds({{"ip0", datagram_port_number}});
        added.engine_.apply(config_);
        added.exchange_.on_configuration(config_);
        // The nodes tick at different times.
        const duration phase(static_cast<duration::rep>(
            random_unit(random_) * static_cast<double>(peer_exchange::tick_period.count())));
        time_.schedule_after(phase, [&added] { added.tick(); });
        time_.schedule_after(phase, [&added] { added.probe_upstreams(); });
    }
}

duration emulated_fleet::delay_between(const std::string& a, const std::string& b) const
{
    return a == b ? settings_.delay_in_data_centre_ : settings_.delay_between_data_centres_;
}

/// Calls arrive with exponentially distributed gaps, half to one and a half times their mean work.
void emulated_fleet::arrive()
{
    caller_request request;
    request.first_sent_ = time_.now();
    request.work_ = duration(static_cast<duration::rep>(static_cast<double>(settings_.work_.count()) *
                                                        (0.5 + random_unit(random_))));
    request.repeatable_ = random_unit(random_) >= settings_.unrepeatable_share_;
    request.counted_ = time_.now() >= count_from_ && time_.now() < count_until_;
    requests_.push_back(request);
    send_to_node(requests_.size() - 1, caller_round_trip / 2);
    const double gap_s = -std::log(1 - random_unit(random_)) / settings_.calls_per_second_;
    time_.schedule_after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap_s)),
                         [this] { arrive(); });
}

void emulated_fleet::send_to_node(std::uint64_t number, duration delay)
{
    time_.schedule_after(delay, [this, number] {
        const auto& request = requests_[number];
        auto& node = *nodes_[random_below(random_, nodes_.size())];
        call made;
        made.id_ = call_id{next_call_++};
        made.service_ = service_name;
        made.route_ = "route";
        made.repeatable_ = request.repeatable_;
        made.fingerprint_ = static_cast<std::uint64_t>(made.id_);
        made.priority_ = request.repeatable_ ? 2 : 1;
        made.is_resend_ = request.returned_;
        made.arrival_ = time_.now();
        made.objective_ = request.first_sent_ + settings_.objective_ - caller_round_trip / 2;
        made.deadline_ = request.first_sent_ + settings_.timeout_ - caller_round_trip / 2;
        request_of_call_[made.id_] = number;
        if (made.deadline_ > made.arrival_) {
            node.engine_.on_call(made);
            node.wake();
        }
    });
}

void emulated_fleet::on_served(call_id call)
{
    auto& request = requests_[request_of_call_.at(call)];
    const auto latency = time_.now() + caller_round_trip / 2 - request.first_sent_;
    if (!request.counted_ || latency > settings_.timeout_) {
        return;
    }
    const bool in_time = latency <= settings_.objective_;
    ++served_;
    late_ += in_time ? 0 : 1;
    earned_ += in_time ? 1 : settings_.late_worth_;
}

/// A caller comes back once, after the time that it was told, through any node.
void emulated_fleet::on_rejected(call_id call, const problem& why)
{
    const auto number = request_of_call_.at(call);
    auto& request = requests_[number];
    const bool may_return = !request.returned_ && (request.repeatable_ || why.verdict_ == verdict::not_run);
    const duration left = request.first_sent_ + settings_.timeout_ - time_.now();
    const duration pause = std::min<duration>(why.retry_after_.value_or(0ms), left / 3);
    if (may_return && left > caller_round_trip) {
        request.returned_ = true;
        send_to_node(number, caller_round_trip + pause);
        return;
    }
    rejected_ += request.counted_ ? 1 : 0;
}

emulation_result emulated_fleet::play()
{
    const auto start = std::chrono::steady_clock::now();
    const auto run_until = [&](time_point end) {
        while (time_.next_event_time(end) < end) {
            time_.advance_to(time_.next_event_time(end));
        }
        time_.advance_to(end);
    };
    const auto begin = time_.now();
    // Without calls at first, so that the nodes know each other.
    run_until(begin + settings_.warm_up_ / 2);
    count_from_ = begin + settings_.warm_up_;
    count_until_ = count_from_ + settings_.length_;
    arrive();
    run_until(count_from_);
    std::uint64_t bytes_before = 0;
    for (const auto& node : nodes_) {
        bytes_before += node->exchange_.counters().bytes_sent_;
    }
    run_until(count_until_);
    std::uint64_t bytes = 0;
    for (const auto& node : nodes_) {
        bytes += node->exchange_.counters().bytes_sent_;
    }
    // Calls that are still open end meanwhile.
    run_until(count_until_ + settings_.timeout_);
    const auto counted = static_cast<int>(std::count_if(
        requests_.begin(), requests_.end(), [](const auto& request) { return request.counted_; }));
    emulation_result result;
    result.calls_ = counted;
    const double all = std::max(1, counted);
    result.worth_ = earned_ / all;
    result.late_ = late_ / all;
    result.rejected_ = rejected_ / all;
    result.failed_ = 1 - (served_ + rejected_) / all;
    result.upstream_rejections_ = upstream_rejections_ / std::max(1.0, static_cast<double>(attempts_));
    result.datagram_bytes_ = static_cast<double>(bytes - bytes_before) / settings_.nodes_ /
                             std::chrono::duration<double>(settings_.length_).count();
    result.elapsed_s_ = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    return result;
}

} // namespace

emulation_result emulate(const emulation_settings& settings)
{
    emulated_fleet fleet(settings);
    return fleet.play();
}

} // namespace anvilpost::testing
