// Tests of the HTTP client for the platform's store, other nodes and the command-line tool: a response that
// is not whole, or is no HTTP response, counts as none.
#include "adapters/loopback_upstream.h"

using namespace anvilpost;
using namespace anvilpost::testing;
using namespace std::chrono_literals;

namespace {

struct fetch_fixture {
    void start(const std::string& body = "")
    {
        fetch_request request;
        request.method_ = body.empty() ? "GET" : "PUT";
        request.ip_ = "127.0.0.1";
        request.port_ = server_.port();
        request.body_ = body;
        request.timeout_ = timeout_;
        request.max_body_bytes_ = max_body_bytes_;
        fetch(loop_, request, [this](const fetch_result& result) { results_.push_back(result); });
        REQUIRE(run_loop_until(loop_, [&] { return server_.has_request(); }));
    }

    const fetch_result& wait()
    {
        REQUIRE(run_loop_until(loop_, [&] { return !results_.empty(); }));
        run_loop(loop_, 5ms);
        REQUIRE(results_.size() == 1);
        return results_.front();
    }

    /// Has a request answered with `text`, after which the connection is closed.
    const fetch_result& answer_with(const std::string& text, delivery how)
    {
        start();
        server_.discard_input();
        deliver(loop_, server_, text, how);
        run_loop(loop_, 2ms);
        server_.close_connection();
        return wait();
    }

    test_upstream server_;
    event_loop loop_;
    duration timeout_ = 5s;
    std::size_t max_body_bytes_ = 1000;
    std::vector<fetch_result> results_;
};

} // namespace

TEST_CASE("a fetched response that is not whole or is no HTTP response counts as none")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 4\r\n\r\n";
    const auto text = GENERATE_COPY(
        as<std::string>{}, "HTTP/1.1 000 Odd\r\n" + length + "body", "HTTP/1.1 600 Odd\r\n" + length + "body",
        "HTTP/1.1 -20 Odd\r\n" + length + "body", "HTTP/1.1 200abc OK\r\n" + length + "body",
        "HTTP/1.1 20 OK\r\n" + length + "body", "HTTP/9.9 200 OK\r\n" + length + "body",
        ok + "Store Era: 1\r\n" + length + "body", ok + "Store-Era : 1\r\n" + length + "body",
        ok + "Store\x01-Era: 1\r\n" + length + "body",
        ok + std::string("Store\0-Era: 1\r\n", 15) + length + "body",
        ok + std::string("Store-Era: 1\0002\r\n", 16) + length + "body", ok + ": 1\r\n" + length + "body",
        ok + "no colon\r\n" + length + "body", ok + "Content-Length : 4\r\n\r\nbody",
        ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ok + "Transfer-Encoding: gzip\r\n\r\nbody",
        ok + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nbody", ok + "Content-Length: 9\r\n\r\nbody",
        ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", ok + "X: 1\r\n", ok,
        "HTTP/1.1 100 Continue\r\n\r\n");
    const auto how = each_delivery();
    INFO(text << " " << static_cast<int>(how));
    fetch_fixture fixture;
    const auto& result = fixture.answer_with(text, how);
    CHECK(result.status_ == 0);
    CHECK(result.body_.empty());
    CHECK(result.headers_.empty());
    CHECK(result.sent_);
}

TEST_CASE("a fetched response that ends with its connection is whole only after an orderly close")
{
    fetch_fixture fixture;
    const bool reset = GENERATE(false, true);
    fixture.start();
    fixture.server_.discard_input();
    fixture.server_.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody");
    run_loop(fixture.loop_, 5ms);
    reset ? fixture.server_.reset_connection() : fixture.server_.close_connection();
    const auto& result = fixture.wait();
    CHECK(result.status_ == (reset ? 0 : 200));
    CHECK(result.body_ == (reset ? "" : "body"));
    CHECK(result.sent_);
}

TEST_CASE("a sound response is fetched whole, however it is framed and however its bytes arrive")
{
    const std::string framing = GENERATE("Content-Length: 4\r\n\r\nbody", "Connection: close\r\n\r\nbody",
                                         "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    const std::string interim = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
    const auto how = each_delivery();
    INFO(interim << framing << " " << static_cast<int>(how));
    fetch_fixture fixture;
    const auto& result = fixture.answer_with(
        interim + "HTTP/1.1 226 Rare\r\nStore-Era: 1\r\nX: gr\xfc\xdf\r\n" + framing, how);
    CHECK(result.status_ == 226);
    CHECK(result.body_ == "body");
    REQUIRE(result.headers_.contains("store-era"));
    CHECK(result.headers_.at("store-era") == "1");
    CHECK(result.headers_.at("x") == "gr\xfc\xdf");
}

TEST_CASE("a fetched response without a body is whole at the end of its head")
{
    fetch_fixture fixture;
    fixture.start();
    fixture.server_.send(
        GENERATE("HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"));
    CHECK(fixture.wait().status_ == 204);
}

TEST_CASE("a refusal with its length that comes before the upload is read is fetched whole")
{
    fetch_fixture fixture;
    fixture.start(std::string(7UL * 1024 * 1024, 'u'));
    const bool reset = GENERATE(false, true);
    fixture.server_.send("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbody");
    if (reset) {
        fixture.server_.close_connection();
    }
    const auto& result = fixture.wait();
    CHECK(result.status_ == 503);
    CHECK(result.body_ == "body");
}

TEST_CASE("a fetched response over the limit, a late one and a refused connection count as none")
{
    fetch_fixture fixture;
    SECTION("announced")
    {
        fixture.start();
        fixture.server_.send("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n");
        CHECK(fixture.wait().status_ == 0);
    }
    SECTION("not announced")
    {
        fixture.start();
        fixture.server_.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + std::string(1001, 'x'));
        CHECK(fixture.wait().status_ == 0);
    }
    SECTION("late")
    {
        fixture.timeout_ = 20ms;
        fixture.start();
        fixture.server_.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod");
        CHECK(fixture.wait().status_ == 0);
        CHECK(fixture.wait().sent_);
    }
    SECTION("refused")
    {
        fetch_request request;
        request.ip_ = "127.0.0.1";
        request.port_ = 1;
        fetch(fixture.loop_, request,
              [&](const fetch_result& result) { fixture.results_.push_back(result); });
        CHECK(fixture.results_.empty());
        CHECK(fixture.wait().status_ == 0);
        CHECK_FALSE(fixture.wait().sent_);
    }
}
