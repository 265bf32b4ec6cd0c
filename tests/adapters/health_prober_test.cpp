// Tests that a probe counts as answered only by a response that is whole.
#include "adapters/http/health_prober.h"
#include "adapters/loopback_upstream.h"
#include "core/upstreams/send_gate.h"

using namespace anvilpost;
using namespace anvilpost::testing;
using namespace std::chrono_literals;

namespace {

/// Probes an upstream once and returns the result.
probe_result probe_answered_with(const std::string& text, delivery how)
{
    test_upstream upstream;
    event_loop loop;
    steady_clock clock;
    std::vector<probe_result> results;
    health_prober prober(loop, clock, {},
                         [&](const probe_target&, const probe_result& result) { results.push_back(result); });
    send_gate gate;
    const auto permit = gate.take(send_purpose::health_probe, clock.now());
    REQUIRE(permit.has_value());
    prober.set_targets({{*permit, "desk", "u1", "127.0.0.1", upstream.port(), "/health", 10s}});
    REQUIRE(run_loop_until(loop, [&] { return upstream.has_request(); }));
    upstream.discard_input();
    deliver(loop, upstream, text, how);
    run_loop(loop, 2ms);
    upstream.close_connection();
    REQUIRE(run_loop_until(loop, [&] { return !results.empty(); }));
    return results.front();
}

} // namespace

TEST_CASE("a probe is not answered by a response that is not whole or is no HTTP response")
{
    const auto text = GENERATE(
        as<std::string>{}, "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    const auto how = each_delivery();
    INFO(text << " " << static_cast<int>(how));
    const auto result = probe_answered_with(text, how);
    CHECK_FALSE(result.answered_);
    CHECK_FALSE(result.healthy_);
}

TEST_CASE("a probe is answered by a sound response, and only 200 is healthy")
{
    const auto how = each_delivery();
    INFO(static_cast<int>(how));
    const auto healthy = probe_answered_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", how);
    CHECK(healthy.answered_);
    CHECK(healthy.healthy_);
    const auto rare = probe_answered_with("HTTP/1.1 204 No Content\r\nX: gr\xfc\xdf\r\n\r\n", how);
    CHECK(rare.answered_);
    CHECK_FALSE(rare.healthy_);
}
