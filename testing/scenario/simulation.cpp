// Implements the simulation: the fake upstreams and store, the nodes, and the loop that advances virtual
// time.
#include "scenario/simulation.h"

#include "support/split_mix.h"

#include <algorithm>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr duration network_delay = 500us;
constexpr duration store_delay = 2ms;
constexpr duration late_write_delay = 300ms;

} // namespace

time_point virtual_time::next_event_time(time_point limit) const
{
    return events_.empty() ? limit : std::min(limit, events_.begin()->first);
}

void virtual_time::advance_to(time_point to)
{
    now_ = std::max(now_, to);
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
}

/// An upstream with a fixed number of slots and an unbounded queue.
class simulation::fake_upstream {
public:
    enum class request_result { answered, failed, crashed };
    using done_function = std::function<void(request_result)>;

    fake_upstream(virtual_time& time, int slots, duration service_time)
        : time_(time), slots_(slots), service_time_(service_time)
    {
    }

    void request(const std::string& key, bool crashes, std::function<void()> on_run, done_function done)
    {
        request_times_.push_back(time_.now());
        if (condition_.fails_) {
            done(request_result::failed);
            return;
        }
        queue_.push_back({key, crashes, std::move(on_run), std::move(done)});
        start_queued_jobs();
    }

    upstream_condition condition_;
    std::map<std::string, int> executions_;
    std::vector<time_point> request_times_;

private:
    struct job {
        std::string key_;
        bool crashes_ = false;
        std::function<void()> on_run_;
        done_function done_;
    };

    void start_queued_jobs()
    {
        while (running_ < slots_ && !queue_.empty()) {
            auto next = std::make_shared<job>(std::move(queue_.front()));
            queue_.pop_front();
            ++running_;
            ++executions_[next->key_];
            next->on_run_();
            running_jobs_.insert(next);
            const duration length(
                static_cast<duration::rep>(service_time_.count() * condition_.slow_factor_));
            time_.schedule_after(length, [this, next] { finish(next); });
        }
    }

    void finish(const std::shared_ptr<job>& ended)
    {
        if (!running_jobs_.erase(ended)) {
            return;
        }
        --running_;
        if (ended->crashes_) {
            crash(ended);
            return;
        }
        if (!condition_.silent_) {
            ended->done_(request_result::answered);
        }
        start_queued_jobs();
    }

    /// Takes the upstream down and breaks every running and queued request.
    void crash(const std::shared_ptr<job>& crashing_job)
    {
        condition_.down_ = true;
        crashing_job->done_(request_result::crashed);
        const auto running = std::move(running_jobs_);
        const auto waiting = std::move(queue_);
        running_jobs_.clear();
        queue_.clear();
        running_ = 0;
        for (const auto& other_job : running) {
            other_job->done_(request_result::crashed);
        }
        for (const auto& other_job : waiting) {
            other_job.done_(request_result::crashed);
        }
    }

    virtual_time& time_;
    int slots_;
    duration service_time_;
    int running_ = 0;
    std::deque<job> queue_;
    std::set<std::shared_ptr<job>> running_jobs_;
};

/// Access of one node to the shared store. Operations take effect on time, even while the node is frozen;
/// their results are delivered to the node once it is thawed.
class simulation::simulated_store : public key_value_port {
public:
    using run_or_defer_function = std::function<void(std::function<void()>)>;

    simulated_store(simulation& owner, run_or_defer_function run_or_defer)
        : simulation_(owner), run_or_defer_(std::move(run_or_defer))
    {
    }

    void read(const std::string& key, read_callback done) override
    {
        simulation_.time_.schedule_after(store_delay, [this, key, done = std::move(done)] {
            const stored_value value = look_up(key);
            run_or_defer_([done, value] { done(value); });
        });
    }

    void watch(const std::string& key, std::uint64_t, duration, read_callback done) override
    {
        read(key, std::move(done));
    }

    void compare_and_swap(const std::string& key, const std::string& text, std::uint64_t version,
                          write_callback done) override
    {
        simulation_.time_.schedule_after(store_delay, [this, key, text, version, done = std::move(done)] {
            const store_status status = write(key, text, version);
            run_or_defer_([done, status] { done(status); });
        });
    }

private:
    [[nodiscard]] stored_value look_up(const std::string& key) const
    {
        if (simulation_.store_condition_ == store_condition::down) {
            return {store_status::unavailable, "", 0};
        }
        const auto found = simulation_.stored_.find(key);
        if (found == simulation_.stored_.end()) {
            return {store_status::not_found, "", 0};
        }
        return {store_status::ok, found->second.first, found->second.second};
    }

    store_status write(const std::string& key, const std::string& text, std::uint64_t version)
    {
        switch (simulation_.store_condition_) {
        case store_condition::down: return store_status::unavailable;
        case store_condition::loses_answers: apply(key, text, version); return store_status::unknown;
        case store_condition::late_writes:
            simulation_.time_.schedule_after(late_write_delay,
                                             [this, key, text, version] { apply(key, text, version); });
            return store_status::unknown;
        case store_condition::up:
            return apply(key, text, version) ? store_status::ok : store_status::conflict;
        }
        return store_status::unavailable;
    }

    bool apply(const std::string& key, const std::string& text, std::uint64_t version)
    {
        const auto found = simulation_.stored_.find(key);
        const std::uint64_t current = found == simulation_.stored_.end() ? 0 : found->second.second;
        if (current != version) {
            return false;
        }
        simulation_.stored_[key] = {text, ++simulation_.stored_version_};
        return true;
    }

    simulation& simulation_;
    run_or_defer_function run_or_defer_;
};

/// A node: the real call engine and claim ledger, with ports connected to the simulation.
class simulation::node : public upstream_port, public caller_port, public call_observer {
public:
    node(simulation& owner, int index)
        : simulation_(owner), random_(static_cast<std::uint64_t>(index) + 1),
          store_(owner, [this](std::function<void()> event) { run_or_defer(std::move(event)); }),
          ledger_(store_, owner.time_, owner.time_, static_cast<std::uint64_t>(index) + 1, {}),
          engine_({owner.time_, random_, *this, *this, ledger_, *this})
    {
        ledger_.on_decided(
            [this](call_id call, claim_decision decision) { engine_.on_claim_decided(call, decision); });
    }

    void start(const attempt_order& order) override
    {
        orders_.insert_or_assign(order.attempt_, order);
        simulation_.time_.schedule_after(network_delay, [this, order] { arrive(order); });
    }

    void cancel(attempt_id attempt) override { orders_.erase(attempt); }

    void reject(call_id call, const problem& why) override
    {
        auto& outcome = outcome_of(call);
        outcome.problem_ = name_of(why.kind_);
        outcome.verdict_ = name_of(why.verdict_);
        outcome.answered_at_ = simulation_.time_.now();
        outcome.finished_ = true;
    }

    void relay(call_id call, attempt_id attempt) override
    {
        auto& outcome = outcome_of(call);
        outcome.upstream_ = orders_.at(attempt).upstream_;
        outcome.verdict_ = "ran";
        outcome.answered_at_ = simulation_.time_.now();
        outcome.finished_ = true;
    }

    void abort(call_id call) override { outcome_of(call).problem_ = "aborted"; }
    [[nodiscard]] relay_progress progress_of(call_id) const override { return {}; }
    void on_call_finished(const call_record&) override {}

    /// Runs `event` now, or once the node is thawed.
    void run_or_defer(std::function<void()> event)
    {
        if (frozen_) {
            deferred_events_.push_back(std::move(event));
            return;
        }
        event();
    }

    void freeze(bool frozen)
    {
        frozen_ = frozen;
        const auto due_events = std::move(deferred_events_);
        deferred_events_.clear();
        for (const auto& event : due_events) {
            event();
        }
    }

    void wake()
    {
        if (!frozen_) {
            engine_.on_wakeup();
            ledger_.on_wakeup();
        }
    }

    [[nodiscard]] time_point next_wakeup(time_point limit) const
    {
        for (const auto& next : {engine_.next_wakeup(), ledger_.next_wakeup()}) {
            if (next && !frozen_) {
                limit = std::min(limit, *next);
            }
        }
        return limit;
    }

    simulation& simulation_;
    split_mix random_;
    simulated_store store_;
    claim_ledger ledger_;
    call_engine engine_;
    std::map<call_id, std::size_t> outcome_index_;
    std::map<call_id, simulated_call> sent_calls_;

private:
    call_outcome& outcome_of(call_id call) { return simulation_.outcomes_[outcome_index_.at(call)]; }

    void arrive(const attempt_order& order)
    {
        auto& upstream = *simulation_.upstreams_.at(order.upstream_);
        if (!orders_.contains(order.attempt_)) {
            return;
        }
        if (upstream.condition_.down_) {
            report(order.attempt_, attempt_outcome::not_sent, 0);
            return;
        }
        const auto& call_spec = sent_calls_.at(order.call_);
        const auto on_run = [this, call = order.call_] { ++outcome_of(call).executions_; };
        upstream.request(call_spec.key_, call_spec.crashes_upstreams_, on_run,
                         [this, order](fake_upstream::request_result result) {
                             const bool crashed = result == fake_upstream::request_result::crashed;
                             report(order.attempt_,
                                    crashed ? attempt_outcome::broken : attempt_outcome::complete,
                                    result == fake_upstream::request_result::failed ? 500 : 200);
                         });
    }

    /// Reports the end of an attempt to the engine after the network delay, unless the attempt was cancelled.
    void report(attempt_id attempt, attempt_outcome outcome, int status)
    {
        simulation_.time_.schedule_after(network_delay, [this, attempt, outcome, status] {
            run_or_defer([this, attempt, outcome, status] {
                const auto found = orders_.find(attempt);
                if (found == orders_.end()) {
                    return;
                }
                if (outcome == attempt_outcome::complete) {
                    response_head head{status};
                    head.self_.leaving_ =
                        simulation_.upstreams_.at(found->second.upstream_)->condition_.draining_;
                    engine_.on_response_started(attempt, head);
                }
                if (orders_.erase(attempt) > 0) {
                    engine_.on_attempt_ended(attempt, outcome);
                }
            });
        });
    }

    std::map<attempt_id, attempt_order> orders_;
    bool frozen_ = false;
    std::deque<std::function<void()>> deferred_events_;
};

simulation::simulation(const simulation_settings& settings) : settings_(settings), start_(time_.now())
{
    configuration config;
    config.revision_ = 1;
    auto& service = config.services_["desk"];
    service.hosts_ = {"desk.example"};
    service.policy_ = settings.policy_;
    service.policy_.slots_ = settings.slots_;
    for (int i = 1; i <= settings.upstreams_; ++i) {
        const std::string name = "u" + std::to_string(i);
        upstreams_[name] = std::make_unique<fake_upstream>(time_, settings.slots_, settings.service_time_);
        service.upstreams_[name] = {"10.0.0." + std::to_string(i), 80, "", "", upstream_state::active};
    }
    for (int i = 0; i < settings.nodes_; ++i) {
        nodes_.push_back(std::make_unique<node>(*this, i));
        nodes_.back()->engine_.apply(config);
        nodes_.back()->engine_.on_strike_ = [this, i](std::uint64_t fingerprint,
                                                      const std::string& upstream) {
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                if (other != static_cast<std::size_t>(i)) {
                    time_.schedule_after(network_delay, [this, other, fingerprint, upstream] {
                        nodes_[other]->engine_.on_peer_strike(fingerprint, upstream);
                    });
                }
            }
        };
    }
}

simulation::~simulation() = default;

void simulation::schedule_at(duration since_start, std::function<void()> event)
{
    time_.schedule_after(start_ + since_start - time_.now(), std::move(event));
}

void simulation::run(duration length)
{
    const time_point end = time_.now() + length;
    while (time_.now() < end) {
        time_point next = time_.next_event_time(end);
        for (const auto& running : nodes_) {
            next = running->next_wakeup(next);
        }
        time_.advance_to(next);
        wake_nodes();
    }
}

void simulation::wake_nodes()
{
    for (const auto& running : nodes_) {
        running->wake();
    }
}

std::size_t simulation::send(const simulated_call& call_spec)
{
    const std::size_t index = outcomes_.size();
    outcomes_.push_back({call_spec.key_, "", "", "", time_.now(), {}, false, 0});
    auto& at = *nodes_.at(static_cast<std::size_t>(call_spec.node_));
    call request;
    request.id_ = call_id{index + 1};
    request.service_ = "desk";
    request.repeatable_ = call_spec.repeatable_;
    request.idempotency_key_ = call_spec.repeatable_ ? "" : call_spec.key_;
    request.fingerprint_ = call_spec.fingerprint_ != 0 ? call_spec.fingerprint_ : 1'000'000 + index;
    request.arrival_ = time_.now();
    request.deadline_ = time_.now() + call_spec.timeout_;
    at.outcome_index_[request.id_] = index;
    at.sent_calls_[request.id_] = call_spec;
    at.run_or_defer([&at, request] { at.engine_.on_call(request); });
    return index;
}

void simulation::set_condition(const std::string& upstream, const upstream_condition& condition)
{
    upstreams_.at(upstream)->condition_ = condition;
}

void simulation::freeze(int index, bool frozen)
{
    nodes_.at(static_cast<std::size_t>(index))->freeze(frozen);
}

void simulation::announce_leaving(const std::string& upstream)
{
    for (const auto& running : nodes_) {
        running->engine_.on_upstream_leaving("desk", upstream, leaving_source::vm_list);
    }
}

int simulation::executions(const std::string& key) const
{
    int count = 0;
    for (const auto& [unused, upstream] : upstreams_) {
        const auto found = upstream->executions_.find(key);
        count += found == upstream->executions_.end() ? 0 : found->second;
    }
    return count;
}

int simulation::started_at(const std::string& upstream, duration from, duration to) const
{
    const auto& started = upstreams_.at(upstream)->request_times_;
    return static_cast<int>(std::count_if(started.begin(), started.end(), [&](time_point when) {
        return when >= start_ + from && when < start_ + to;
    }));
}

int simulation::upstreams_down() const
{
    return static_cast<int>(std::count_if(upstreams_.begin(), upstreams_.end(),
                                          [](const auto& entry) { return entry.second->condition_.down_; }));
}

} // namespace anvilpost::testing
