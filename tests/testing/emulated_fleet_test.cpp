// Tests of the emulator: its upstreams' queue and speed, and that its fleets show what real ones show.
#include "emulator/emulated_fleet.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;
using namespace std::chrono_literals;

namespace {

upstream_model steady_model()
{
    upstream_model model;
    model.slots_ = 2;
    model.queue_length_ = 1;
    model.slow_share_ = 0;
    model.contention_factor_ = 1.5;
    return model;
}

void run_for(virtual_time& time, duration length)
{
    const auto end = time.now() + length;
    while (time.next_event_time(end) < end) {
        time.advance_to(time.next_event_time(end));
    }
    time.advance_to(end);
}

} // namespace

TEST_CASE("an emulated upstream queues, rejects, slows down when full and forgets cancelled requests")
{
    virtual_time time;
    emulated_upstream upstream(time, steady_model(), 1);
    std::vector<std::pair<std::uint64_t, bool>> ended;
    const auto request = [&](std::uint64_t label) {
        return upstream.request(
            100ms, [&ended, label](bool run, const load_report&) { ended.emplace_back(label, run); });
    };
    request(1);
    run_for(time, 50ms);
    request(2); // Full from here on: the first request needs 75 ms more, the second 150 ms.
    const auto waiting = request(3);
    request(4);
    CHECK(ended == std::vector<std::pair<std::uint64_t, bool>>{{4, false}});
    CHECK(upstream.load().in_flight_ == 3);
    upstream.cancel(waiting);
    run_for(time, 74ms);
    CHECK(ended.size() == 1);
    run_for(time, 2ms);
    REQUIRE(ended.size() == 2);
    CHECK(ended.back() == std::pair<std::uint64_t, bool>{1, true});
    run_for(time, 52ms); // The second is alone now, so its other 50 ms of work take 50 ms.
    REQUIRE(ended.size() == 3);
    CHECK(upstream.load().in_flight_ == 0);
}

TEST_CASE("an emulation repeats with the same seed, and accounts for every call")
{
    emulation_settings settings;
    settings.nodes_ = 5;
    settings.upstreams_ = 12;
    settings.calls_per_second_ = 100;
    settings.length_ = 1s;
    const auto first = emulate(settings);
    const auto second = emulate(settings);
    CHECK(first.calls_ > 50);
    CHECK(first.worth_ == second.worth_);
    CHECK(first.datagram_bytes_ == second.datagram_bytes_);
    CHECK(first.worth_ > 0.9);
    CHECK(first.failed_ >= 0);
    CHECK(first.worth_ + first.late_ + first.failed_ + first.rejected_ <= 1.0 + settings.late_worth_);
}
