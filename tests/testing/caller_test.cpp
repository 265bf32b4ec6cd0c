// Unit tests of the simulated client that the soak and the end-to-end tests use.
#include "test_deployment/caller.h"

#include "stand_in_server.h"

#include <catch2/catch.hpp>
#include <thread>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

// Fails with sanitizers: LeakSanitizer reports the stream when the program ends.
TEST_CASE("a caller whose loop stops while its connection is being closed leaks no stream", "[caller]")
{
    event_loop loop;
    const steady_clock clock;
    system_random random;
    guarantee_checker checker([&] { return clock.now(); });
    const listener unresponsive(loop, "127.0.0.1", 0, stand_in_listener_limits(), [](evhttp_request*) {});
    request_kind kind;
    kind.time_left_ = 20ms;
    caller client(loop, checker, random, "c1",
                  {[&] {
                       return node_choice{0, {"127.0.0.1", unresponsive.port()}};
                   },
                   [&] { return kind; }});
    client.start(0ms);
    timer stop(loop, [&] { loop.stop(); });
    stop.start(60ms);
    // The request's deadline and the stop are both due after this pause, the deadline first.
    timer pause(loop, [] { std::this_thread::sleep_for(100ms); });
    pause.start(10ms);
    loop.run();
    CHECK(client.idle());
}

} // namespace
} // namespace anvilpost::testing
