// Micro-benchmarks of the decision core: calls, configuration, slot ownership, heartbeats and claims. Not
// part of the tests.
#include "core/calls/call_engine.h"
#include "core/claims/claim_shard.h"
#include "core/configuration/configuration_json.h"
#include "core/fleet/mesh_messages.h"
#include "core/organisations/organisation_directory.h"
#include "core/organisations/quota_client.h"
#include "core/organisations/quota_coordinator.h"
#include "core/upstreams/slot_ownership.h"

#include <benchmark/benchmark.h>

namespace anvilpost {
namespace {

/// A clock that advances only when the benchmark moves it.
class manual_clock : public clock_port {
public:
    [[nodiscard]] time_point now() const override { return now_; }
    time_point now_{std::chrono::hours(1)};
};

/// A linear congruential generator: cheap, and the same numbers in each run.
class lcg_random : public random_port {
public:
    std::uint64_t next() override
    {
        return state_ = state_ * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
    }

private:
    std::uint64_t state_ = 1;
};

/// Ports that do nothing except remember the last attempt that was started.
class null_ports : public upstream_port, public caller_port, public claim_port, public call_observer {
public:
    void start(const attempt_order& order) override { last_attempt_ = order.attempt_; }
    void cancel(attempt_id) override {}
    void reject(call_id, const problem&) override {}
    void relay(call_id, attempt_id) override {}
    void abort(call_id) override {}
    [[nodiscard]] relay_progress progress_of(call_id) const override { return {}; }
    void claim(call_id, const std::string&, const std::string&) override {}
    void release(call_id) override {}
    void keep(call_id) override {}
    void on_call_finished(const call_record&) override {}

    attempt_id last_attempt_{};
};

service_config make_service(int upstreams, int first)
{
    service_config service;
    service.hosts_ = {"service-" + std::to_string(first) + ".example"};
    for (int i = 0; i < upstreams; ++i) {
        const int number = first + i;
        service.upstreams_["worker-" + std::to_string(number)] = {
            "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1), 8080,
            "region-" + std::to_string(number % 3) + "-dc-" + std::to_string(number % 9),
            "2026-12-03T10:00:00Z", upstream_state::active};
    }
    return service;
}

/// The size of the target deployment: 860 workers in 81 services.
configuration target_configuration()
{
    configuration config;
    config.revision_ = 1;
    int first = 0;
    for (int i = 0; i < 81; ++i) {
        const int count = i < 50 ? 11 : 10;
        config.services_["service-" + std::to_string(i)] = make_service(count, first);
        first += count;
    }
    return config;
}

/// One successful call through the engine, by number of upstreams.
void one_call(benchmark::State& state)
{
    manual_clock clock;
    lcg_random random;
    null_ports ports;
    call_engine engine({clock, random, ports, ports, ports, ports});
    configuration config;
    config.revision_ = 1;
    config.services_["s"] = make_service(static_cast<int>(state.range(0)), 0);
    engine.apply(config);
    std::uint64_t next = 1;
    for (auto unused : state) {
        call request;
        request.id_ = call_id{next++};
        request.service_ = "s";
        request.repeatable_ = true;
        request.fingerprint_ = next;
        request.arrival_ = clock.now_;
        request.deadline_ = clock.now_ + std::chrono::seconds(1);
        engine.on_call(request);
        clock.now_ += std::chrono::milliseconds(1);
        const auto attempt = ports.last_attempt_;
        engine.on_response_started(attempt, {200, false, false, false, {false, load_report{1}}});
        engine.on_attempt_ended(attempt, attempt_outcome::complete);
    }
}
BENCHMARK(one_call)->Arg(10)->Arg(100)->Arg(1000);

void apply_target_configuration(benchmark::State& state)
{
    manual_clock clock;
    lcg_random random;
    null_ports ports;
    call_engine engine({clock, random, ports, ports, ports, ports});
    auto config = target_configuration();
    for (auto unused : state) {
        ++config.revision_;
        engine.apply(config);
    }
}
BENCHMARK(apply_target_configuration);

void parse_target_configuration(benchmark::State& state)
{
    const std::string text = to_json(target_configuration()).dump();
    for (auto unused : state) {
        benchmark::DoNotOptimize(parse_configuration(nlohmann::json::parse(text)));
    }
    state.counters["json_bytes"] = static_cast<double>(text.size());
    state.counters["cbor_bytes"] =
        static_cast<double>(encode(configuration_message{to_json(target_configuration())}).size());
}
BENCHMARK(parse_target_configuration);

void divide_slots_of_target(benchmark::State& state)
{
    const auto config = target_configuration();
    std::vector<slot_owner> owners;
    for (int i = 0; i < 54; ++i) {
        owners.push_back({"entry-" + std::to_string(i),
                          "region-" + std::to_string(i % 3) + "-dc-" + std::to_string(i % 9)});
    }
    for (auto unused : state) {
        for (const auto& [name, service] : config.services_) {
            benchmark::DoNotOptimize(count_owned_slots(name, service, owners, "entry-7"));
        }
    }
}
BENCHMARK(divide_slots_of_target);

/// Finds the organisation of a key among 10,000 and decides a call of it, at the node that is the
/// coordinator: the request, the grant and the decision. With a `range` of 0 calls are admitted, else most
/// are refused.
void quota_decision_at_coordinator(benchmark::State& state)
{
    manual_clock clock;
    fleet_size size;
    configuration config;
    auto& organisations = config.organisations_.emplace();
    constexpr int organisation_count = 76;
    constexpr int keys_each = 132;
    std::vector<key_digest> keys;
    for (int i = 0; i < organisation_count; ++i) {
        auto& organisation = organisations["organisation-" + std::to_string(i)];
        organisation.rate_per_second_ = state.range(0) == 0 ? 1'000'000 : 1;
        organisation.burst_ = organisation.rate_per_second_;
        for (int k = 0; k < keys_each; ++k) {
            keys.push_back(digest_of_key("key-" + std::to_string(i) + "-" + std::to_string(k)));
            organisation.keys_.push_back(keys.back());
        }
    }
    organisation_directory directory;
    directory.apply(config);
    quota_coordinator coordinator(clock, 1, size);
    quota_client client(clock, 1, "node", size);
    coordinator.apply(config);
    client.apply(config);
    client.send_ = [&](const quota_request& request) { client.on_answer(*coordinator.on_request(request)); };
    std::uint64_t admitted = 0;
    client.decide_ = [&](call_id, const quota_decision& decision) { admitted += decision.admitted_ ? 1 : 0; };
    client.set_candidates({1});
    for (int i = 0; i < 200; ++i) {
        clock.now_ += std::chrono::milliseconds(20);
        client.on_tick();
        coordinator.on_tick();
    }
    std::uint64_t next = 0;
    for (auto unused : state) {
        clock.now_ += std::chrono::microseconds(8);
        if (++next % 2500 == 0) {
            client.on_tick();
            coordinator.on_tick();
        }
        const auto* found = directory.find(keys[next * 7919 % keys.size()]);
        client.admit(call_id{next}, found->name_, clock.now_ + std::chrono::milliseconds(200));
    }
    state.counters["admitted_share"] = static_cast<double>(admitted) / static_cast<double>(next);
}
BENCHMARK(quota_decision_at_coordinator)->Arg(0)->Arg(100);

void heartbeat_round_trip(benchmark::State& state)
{
    const member peer{
        "entry-vm-12", 1'796'000'000'000, "region-1-dc-4", "10.1.2.3", 8082, "10.1.2.3", 8081, 86'400, 350,
        false};
    const heartbeat_message heartbeat{{peer, peer, peer, peer}};
    std::string bytes;
    for (auto unused : state) {
        bytes = encode(heartbeat);
        benchmark::DoNotOptimize(decode_mesh_message(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(heartbeat_round_trip);

void claim_shard_round_trip(benchmark::State& state)
{
    claim_shard shard;
    lcg_random random;
    for (int i = 0; i < state.range(0); ++i) {
        shard.entries_[{random.next(), random.next()}] = {{random.next(), static_cast<std::uint64_t>(i)},
                                                          std::chrono::minutes(29'000'000)};
    }
    std::string bytes;
    for (auto unused : state) {
        bytes = encode_claim_shard(shard);
        benchmark::DoNotOptimize(decode_claim_shard(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(claim_shard_round_trip)->Arg(100)->Arg(1000)->Arg(10'000);

} // namespace
} // namespace anvilpost

BENCHMARK_MAIN();
