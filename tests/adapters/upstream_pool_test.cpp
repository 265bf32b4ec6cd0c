// Tests of upstream_pool with the real server for callers and the real call engine, over loopback connections
// in one thread. The test plays the upstream.
#include "adapters/http/caller_server.h"
#include "adapters/http/http_fetch.h"
#include "adapters/loopback_caller.h"
#include "core/fakes.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

/// An upstream that accepts one connection.
class test_upstream {
public:
    test_upstream() : listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(listen(listener_, 1) == 0);
        evutil_make_socket_nonblocking(listener_);
    }
    test_upstream(const test_upstream&) = delete;
    test_upstream& operator=(const test_upstream&) = delete;
    ~test_upstream()
    {
        close_connection();
        close(listener_);
    }

    [[nodiscard]] std::uint16_t port() const { return local_port(listener_); }

    /// Returns whether a request has arrived.
    bool has_request()
    {
        if (connection_ < 0) {
            connection_ = accept(listener_, nullptr, nullptr);
        }
        char byte = 0;
        return connection_ >= 0 && recv(connection_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
    }

    void send(const std::string& bytes) const
    {
        REQUIRE(::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }

    void close_connection()
    {
        if (connection_ >= 0) {
            close(connection_);
        }
        connection_ = -1;
    }

private:
    int listener_;
    int connection_ = -1;
};

struct call_path_fixture {
    call_path_fixture()
    {
        pool_.connect(engine_, server_, server_);
        server_.connect(engine_, pool_);
        configuration config;
        config.revision_ = 1;
        auto& service = config.services_["desk"];
        service.hosts_ = {"desk.example"};
        service.upstreams_["u1"] = {"127.0.0.1", upstream_.port(), "", "", upstream_state::active};
        server_.apply(config);
        engine_.apply(config);
        run_engine_timers();
    }

    void run_engine_timers()
    {
        engine_.on_wakeup();
        engine_timer_.start(5ms);
    }

    test_upstream upstream_;
    event_loop loop_;
    steady_clock clock_;
    split_mix random_;
    recording_claims claims_;
    recording_observer observer_;
    upstream_pool_limits limits_;
    upstream_pool pool_{loop_, clock_, limits_, {}};
    organisation_directory organisations_;
    caller_server server_{loop_, clock_, random_, "127.0.0.1", 0, {}, {}, "entry-1", organisations_};
    call_engine engine_{{clock_, random_, pool_, server_, claims_, observer_}};
    timer engine_timer_{loop_, [this] { run_engine_timers(); }};
};

} // namespace

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
