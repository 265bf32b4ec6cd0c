// Tests of upstream_pool with the real server for callers and the real call engine, over loopback connections
// in one thread. The test plays the upstream.
#include "adapters/call_path_fixture.h"

using namespace anvilpost;
using namespace anvilpost::testing;

// A response that has begun is held back for a short time, so that the request can be retried if it breaks
// off. When the loop is late, the end of that time and the close of the connection are handled one right
// after the other.
TEST_CASE("a response that breaks off while it is held back does not reach the caller as complete")
{
    call_path_fixture fixture;
    test_caller caller(fixture.server_.port());
    caller.send("POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.upstream_.has_request(); }));
    fixture.upstream_.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + std::string(40, 'x'));
    run_loop(fixture.loop_, fixture.limits_.max_response_hold_time_ / 5);
    fixture.upstream_.close_connection();
    usleep(static_cast<useconds_t>(2 * fixture.limits_.max_response_hold_time_.count()));
    REQUIRE(run_loop_until(fixture.loop_, [&] { return !caller.received().empty(); }));
    run_loop(fixture.loop_, 20ms);
    INFO(caller.received());
    CHECK(caller.received().starts_with("HTTP/1.1 502"));
    CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
}

// Guards against callers that wait for ever: the time limit of a call ended when the head of its response was
// passed on.
TEST_CASE("a response that stops after its head was passed on is cut off soon after the deadline")
{
    constexpr duration timeout = 300ms;
    constexpr duration latest_end = 250ms; ///< After the deadline.
    const std::string head =
        GENERATE("Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n28\r\n");
    call_path_fixture fixture;
    test_caller caller(fixture.server_.port());
    const auto sent = fixture.clock_.now();
    caller.send("GET / HTTP/1.1\r\nHost: desk.example\r\nAnvilpost-Timeout-Ms: 300\r\n\r\n");
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.upstream_.has_request(); }));
    fixture.upstream_.send("HTTP/1.1 200 OK\r\n" + head + std::string(40, 'x'));
    const auto is_reset = [&] { return !caller.received().empty() && caller.reset(); };
    REQUIRE(run_loop_until(fixture.loop_, [&] { return !caller.received().empty(); }));
    CHECK_FALSE(is_reset());
    REQUIRE(run_loop_until(fixture.loop_, is_reset, 2s));
    const auto took = fixture.clock_.now() - sent;
    CHECK(took >= timeout);
    CHECK(took < timeout + latest_end);
    REQUIRE(fixture.observer_.records_.size() == 1);
    CHECK(fixture.observer_.records_[0].problem_ == problem_kind::deadline_exceeded);
    CHECK(fixture.server_.open_exchanges() == 0);
    // The upstream may still send the rest; no other request may get it.
    CHECK_FALSE(
        fixture.pool_.has_idle_connection("127.0.0.1", fixture.upstream_.port(), connection_need::any));
}

TEST_CASE("a response that arrives without a pause is passed on whole, also after the deadline")
{
    constexpr int pieces = 30;
    const std::string piece(8000, 'x');
    call_path_fixture fixture;
    test_caller caller(fixture.server_.port());
    caller.send("GET / HTTP/1.1\r\nHost: desk.example\r\nAnvilpost-Timeout-Ms: 200\r\n\r\n");
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.upstream_.has_request(); }));
    fixture.upstream_.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces * piece.size()) +
                           "\r\n\r\n");
    for (int i = 0; i < pieces; ++i) {
        run_loop(fixture.loop_, 20ms);
        fixture.upstream_.send(piece);
        caller.received();
    }
    CHECK(run_loop_until(fixture.loop_, [&] { return fixture.server_.open_exchanges() == 0; }));
    const auto body = caller.received().substr(caller.received().find("\r\n\r\n") + 4);
    CHECK(body.size() == pieces * piece.size());
    CHECK_FALSE(caller.reset());
}
