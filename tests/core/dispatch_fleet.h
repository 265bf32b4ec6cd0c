// A fleet with dispatch over a small simulated network in virtual time: nodes with the real engine, gossip
// and dispatch; datagrams with delay and loss; upstreams with a fixed number of slots that count the requests
// which arrive while all of them are in use ("collisions").
#pragma once

#include "core/dispatch/dispatch_exchange.h"
#include "core/event_clock.h"
#include "core/exchange_network.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilpost::testing {

struct dispatch_fleet_settings {
    int nodes_ = 93;
    int upstreams_ = 40;
    int slots_ = 3;
    std::size_t from_nodes_ = 40; ///< 0: without dispatch.
    int old_nodes_ = 0;           ///< The last ones: builds that know nothing of dispatch.
    double loss_ = 0;             ///< Of datagrams.
    double shed_share_ = 0;       ///< Of the requests, which upstreams refuse without running them.
    duration objective_ = 250ms;
    scheduling_kind scheduling_ = scheduling_kind::by_objective;
    bool has_organisations_ = false;
    double less_urgent_share_ = 0; ///< Of the calls: of priority 2, on another route. The others have 0.
    duration mean_work_ = 80ms;
    int slow_upstreams_ = 0; ///< The first ones take `slow_factor_` times as long, and say so.
    double slow_factor_ = 7.0;
    duration deadline_ = 1s;
};

class dispatch_fleet {
public:
    struct node : public datagram_port, public upstream_port, public caller_port {
        node(dispatch_fleet& fleet, int number)
            : fleet_(fleet), number_(number), random_(static_cast<std::uint64_t>(number) + 1),
              engine_({fleet.clock_, random_, *this, *this, claims_, observer_}),
              follower_(store_, fleet.clock_, random_, {}),
              exchange_({fleet.clock_, random_, *this, follower_, engine_}, fleet.describe(number)),
              dispatch_(std::make_unique<dispatch_exchange>(
                  dispatch_exchange_ports{fleet.clock_, random_, *this, exchange_.peers(), engine_},
                  fleet.from_nodes(number)))
        {
            dispatch_->on_flush_due_ = [this] {
                fleet_.clock_.after(0us, [this] {
                    dispatch_->flush();
                    wake();
                });
            };
            engine_.on_earlier_wakeup_ = [this] { wake(); };
            exchange_.on_later_view_ = [](const peer&, std::uint64_t) {};
        }

        void send(const std::string& ip, std::uint16_t, const std::string& bytes) override
        {
            fleet_.transmit(*this, ip, bytes);
        }
        void start(const attempt_order& order) override { fleet_.start(*this, order); }
        void cancel(attempt_id attempt) override { cancelled_.insert(attempt); }
        void reject(call_id call, const problem& why) override { fleet_.on_rejected(call, why); }
        void relay(call_id call, attempt_id) override { fleet_.on_served(call); }
        void abort(call_id) override {}
        [[nodiscard]] relay_progress progress_of(call_id) const override { return {}; }

        void wake()
        {
            auto next = engine_.next_wakeup();
            if (const auto other = dispatch_->next_wakeup()) {
                next = next ? std::min(*next, *other) : *other;
            }
            const auto scheduled = ++wakeup_;
            if (next) {
                fleet_.clock_.after(std::max<duration>(0us, *next - fleet_.clock_.now()), [this, scheduled] {
                    if (scheduled == wakeup_ && !frozen_) {
                        engine_.on_wakeup();
                        dispatch_->on_wakeup();
                        wake();
                    }
                });
            }
        }

        void tick()
        {
            if (!frozen_) {
                exchange_.on_tick();
                dispatch_->on_tick();
            }
            fleet_.clock_.after(peer_exchange::tick_period, [this] { tick(); });
        }

        /// A frozen node does nothing; what arrives is handled when it is woken. A killed one never wakes.
        void freeze() { frozen_ = true; }
        void wake_from_freeze()
        {
            frozen_ = false;
            for (const auto& event : std::exchange(held_back_, {})) {
                event();
            }
            wake();
        }
        void run(const std::function<void()>& event)
        {
            if (frozen_) {
                held_back_.push_back(event);
                return;
            }
            event();
        }

        dispatch_fleet& fleet_;
        int number_;
        split_mix random_;
        recording_claims claims_;
        recording_observer observer_;
        unresponsive_store store_;
        call_engine engine_;
        view_follower follower_;
        peer_exchange exchange_;
        std::unique_ptr<dispatch_exchange> dispatch_;
        std::set<attempt_id> cancelled_;
        bool frozen_ = false;
        std::vector<std::function<void()>> held_back_;
        std::uint64_t wakeup_ = 0;
    };

    explicit dispatch_fleet(const dispatch_fleet_settings& settings) : settings_(settings)
    {
        config_.revision_ = 1;
        auto& service = config_.services_["log"];
        service.policy_.picker_ = picker_kind::earliest_finish;
        service.policy_.scheduling_ = settings.scheduling_;
        service.policy_.slots_ = settings.slots_;
        service.policy_.queue_length_ = 100;
        service.policy_.worker_connections_ = 1'000;
        service.policy_.shared_retry_budget_ = true;
        service.policy_.retry_share_ = 0.2;
        service.policy_.retry_budget_slack_ = 100;
        if (settings.has_organisations_) {
            config_.organisations_.emplace();
        }
        add_upstreams_to_configuration(0);
        for (int i = 0; i < settings.nodes_; ++i) {
            nodes_.push_back(std::make_unique<node>(*this, i));
            auto& added = *nodes_.back();
            added.exchange_.set_seeds({{"ip0", 1}});
            added.engine_.apply(config_);
            added.exchange_.on_configuration(config_);
            added.dispatch_->on_configuration(config_);
            clock_.after(duration(i * 211 % 20'000), [&added] { added.tick(); });
        }
        probe();
        clock_.run(10s);
    }

    /// Adds upstreams and applies the configuration at all nodes.
    void add_upstreams(int count)
    {
        settings_.upstreams_ += count;
        ++config_.revision_;
        add_upstreams_to_configuration(settings_.upstreams_ - count);
        for (auto& each : nodes_) {
            each->engine_.apply(config_);
            each->exchange_.on_configuration(config_);
            each->dispatch_->on_configuration(config_);
        }
    }

    /// Sends calls at random times, to random nodes that are not frozen.
    void play(duration length, double calls_per_second)
    {
        const auto end = clock_.now() + length;
        while (clock_.now() < end) {
            clock_.run(duration(static_cast<duration::rep>(2e6 * random_unit(random_) / calls_per_second)));
            auto& receiver = *nodes_[random_below(random_, nodes_.size())];
            if (!receiver.frozen_) {
                send_call(receiver);
            }
        }
    }

    call_id send_call(node& receiver)
    {
        call request;
        request.id_ = call_id{next_call_++};
        request.service_ = "log";
        request.route_ = "log";
        request.repeatable_ = true;
        request.fingerprint_ = static_cast<std::uint64_t>(request.id_);
        request.arrival_ = clock_.now();
        request.objective_ = request.arrival_ + settings_.objective_;
        request.deadline_ = request.arrival_ + settings_.deadline_;
        if (settings_.less_urgent_share_ > 0 && random_unit(random_) < settings_.less_urgent_share_) {
            request.route_ = "report";
            request.priority_ = 2;
        }
        priority_of_[request.id_] = request.priority_;
        ++sent_[request.priority_];
        sent_at_[request.id_] = clock_.now();
        receiver.engine_.on_call(request);
        receiver.wake();
        return request.id_;
    }

    /// Name of the node that the first node takes for the dispatcher; empty while dispatch is off.
    [[nodiscard]] std::string dispatcher_name() const
    {
        const auto& ranked = nodes_.back()->dispatch_->selection().ranked("log");
        const auto& first = nodes_.front()->dispatch_->selection().ranked("log");
        return !first.empty() ? first.front() : (ranked.empty() ? "" : ranked.front());
    }

    node& find(const std::string& name)
    {
        return *nodes_.at(static_cast<std::size_t>(std::stoi(name.substr(1))));
    }

    void forget()
    {
        requests_ = collisions_ = served_ = late_ = rejected_ = 0;
        longest_start_ = {};
        sent_at_.clear();
        sent_.clear();
        in_time_.clear();
        used_.clear();
        rejections_.clear();
    }

    [[nodiscard]] double collision_share() const
    {
        return static_cast<double>(collisions_) / std::max(1, requests_);
    }

    template <class Read>
    std::uint64_t sum(Read read) const
    {
        std::uint64_t total = 0;
        for (const auto& each : nodes_) {
            total += read(*each->dispatch_);
        }
        return total;
    }

    dispatch_fleet_settings settings_;
    event_clock clock_;
    split_mix random_{7};
    configuration config_;
    std::vector<std::unique_ptr<node>> nodes_;
    int requests_ = 0;   ///< That arrived at upstreams.
    int collisions_ = 0; ///< Of these, while all slots were in use.
    int served_ = 0;
    int late_ = 0;
    int rejected_ = 0;
    std::function<bool(const node& from, const node& to)> loses_; ///< Datagrams that are lost.
    std::set<std::pair<std::string, std::string>> used_;          ///< Pairs of node and upstream.
    std::vector<problem> rejections_;
    std::map<int, int> sent_;    ///< Calls, by priority.
    std::map<int, int> in_time_; ///< Calls served within the objective, by priority.
    duration longest_start_{};   ///< Longest time from a call's arrival to its first attempt.

private:
    struct slotted_upstream {
        int running_ = 0;
        std::vector<std::function<void()>> waiting_;
    };

    void add_upstreams_to_configuration(int first)
    {
        for (int i = first; i < settings_.upstreams_; ++i) {
            // Addresses tell upstreams apart where nodes prefer those to which they have connections.
            auto& added = config_.services_["log"].upstreams_["u" + std::to_string(i)];
            added = {"10.1.0." + std::to_string(i), 80, data_centre(i), "", upstream_state::active};
            added.slots_ = settings_.slots_;
        }
    }

    static std::string data_centre(int number) { return "dc" + std::to_string(number % 3); }

    [[nodiscard]] std::size_t from_nodes(int number) const
    {
        return number < settings_.nodes_ - settings_.old_nodes_ ? settings_.from_nodes_ : 0;
    }

    [[nodiscard]] peer describe(int number) const
    {
        peer self{
            "n" + std::to_string(number), 1, data_centre(number), "ip" + std::to_string(number), 1, 2, 200};
        self.capabilities_ = from_nodes(number) > 0 ? peer_capability::dispatch : 0;
        return self;
    }

    static duration delay(const std::string& a, const std::string& b) { return a == b ? 200us : 1'400us; }

    void transmit(node& from, const std::string& ip, const std::string& bytes)
    {
        auto& to = *nodes_.at(static_cast<std::size_t>(std::stoi(ip.substr(2))));
        if (from.frozen_ || random_unit(random_) < settings_.loss_ || (loses_ && loses_(from, to))) {
            return;
        }
        const auto way =
            delay(from.exchange_.peers().self().data_centre_, to.exchange_.peers().self().data_centre_);
        clock_.after(way, [&to, bytes] {
            to.run([&to, bytes] {
                if (!to.dispatch_->on_datagram(bytes)) {
                    to.exchange_.on_datagram(bytes);
                }
                to.wake();
            });
        });
    }

    /// Takes half to one and a half times the mean work; beyond the slots, requests wait in order.
    void start(node& from, const attempt_order& order)
    {
        used_.emplace(from.exchange_.peers().self().name_, order.upstream_);
        const auto call_sent = sent_at_.find(order.call_);
        if (call_sent != sent_at_.end()) {
            longest_start_ = std::max(longest_start_, clock_.now() - call_sent->second);
        }
        const auto way = delay(from.exchange_.peers().self().data_centre_,
                               config_.services_["log"].upstreams_.at(order.upstream_).data_centre_);
        clock_.after(way, [this, &from, order, way] {
            auto& target = upstreams_[order.upstream_];
            ++requests_;
            if (random_unit(random_) < settings_.shed_share_) {
                const auto load = load_of(order.upstream_);
                clock_.after(way, [&from, order, load] {
                    from.run([&from, order, load] { refuse(from, order, load); });
                });
                return;
            }
            const auto work = duration(
                static_cast<duration::rep>(static_cast<double>(settings_.mean_work_.count()) *
                                           slowdown_of(order.upstream_) * (0.5 + random_unit(random_))));
            const auto run = [this, &from, order, way, work, &target] {
                clock_.after(work, [this, &from, order, way, &target] {
                    --target.running_;
                    start_next(target);
                    const auto load = load_of(order.upstream_);
                    clock_.after(way, [&from, order, load] {
                        from.run([&from, order, load] { answer(from, order, load); });
                    });
                });
            };
            target.waiting_.emplace_back(run);
            collisions_ += target.running_ >= settings_.slots_ ? 1 : 0;
            start_next(target);
        });
    }

    void start_next(slotted_upstream& target) const
    {
        while (target.running_ < settings_.slots_ && !target.waiting_.empty()) {
            const auto next = target.waiting_.front();
            target.waiting_.erase(target.waiting_.begin());
            ++target.running_;
            next();
        }
    }

    [[nodiscard]] double slowdown_of(const std::string& upstream) const
    {
        return std::stoi(upstream.substr(1)) < settings_.slow_upstreams_ ? settings_.slow_factor_ : 1.0;
    }

    [[nodiscard]] load_report load_of(const std::string& upstream)
    {
        const auto& target = upstreams_[upstream];
        return {target.running_ + static_cast<double>(target.waiting_.size()), settings_.slots_,
                slowdown_of(upstream)};
    }

    static void answer(node& to, const attempt_order& order, const load_report& load)
    {
        to.exchange_.record_load("log", order.upstream_, load, true, false);
        to.engine_.on_response_started(order.attempt_, {200, false, false, false, {false, load, {}, {}}});
        to.engine_.on_attempt_ended(order.attempt_, attempt_outcome::complete);
        to.wake();
    }

    static void refuse(node& to, const attempt_order& order, const load_report& load)
    {
        to.exchange_.record_load("log", order.upstream_, load, false, false);
        to.engine_.on_response_started(order.attempt_, {503, true, false, false, {false, load, {}, {}}});
        to.wake();
    }

    /// The probes of all nodes: each upstream's load reaches its prober every 60 ms.
    void probe()
    {
        for (auto& each : nodes_) {
            for (int i = 0; i < settings_.upstreams_ && !each->frozen_; ++i) {
                const auto name = "u" + std::to_string(i);
                if (each->exchange_.duties().probes(name, data_centre(i))) {
                    const auto load = load_of(name);
                    each->engine_.on_load("log", name, load, clock_.now());
                    each->exchange_.record_load("log", name, load, true, true);
                    each->engine_.apply_loads();
                }
            }
        }
        clock_.after(60ms, [this] { probe(); });
    }

    void on_served(call_id call)
    {
        if (const auto found = sent_at_.find(call); found != sent_at_.end()) {
            ++served_;
            const bool late = clock_.now() - found->second > settings_.objective_;
            late_ += late ? 1 : 0;
            in_time_[priority_of_[call]] += late ? 0 : 1;
        }
    }

    void on_rejected(call_id, const problem& why)
    {
        ++rejected_;
        rejections_.push_back(why);
    }

    std::map<std::string, slotted_upstream> upstreams_;
    std::map<call_id, time_point> sent_at_;
    std::map<call_id, int> priority_of_;
    std::uint64_t next_call_ = 1;
};

} // namespace anvilpost::testing
