// Tests of what the adapter for Consul reports of responses that are sound, broken off or of another form.
#include "adapters/loopback_upstream.h"
#include "adapters/store/consul_store.h"

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

struct consul_fixture {
    store_status write_answered_with(const std::string& text)
    {
        std::optional<store_status> status;
        store_.compare_and_swap("key", "text", 1, [&](store_status result) { status = result; });
        answer_once(loop_, server_, text);
        REQUIRE(run_loop_until(loop_, [&] { return status.has_value(); }));
        return *status;
    }

    store_status read_answered_with(const std::string& text)
    {
        std::optional<store_status> status;
        store_.read("key", [&](const stored_value& value) { status = value.status_; });
        answer_once(loop_, server_, text);
        REQUIRE(run_loop_until(loop_, [&] { return status.has_value(); }));
        return *status;
    }

    test_upstream server_;
    event_loop loop_;
    consul_store store_{loop_, {"127.0.0.1", server_.port()}};
};

} // namespace

// A conflict states that nothing was written.
TEST_CASE("a write is reported as done or as a conflict only when the response says so")
{
    consul_fixture fixture;
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    CHECK(fixture.write_answered_with(ok + "Content-Length: 4\r\n\r\ntrue") == store_status::ok);
    CHECK(fixture.write_answered_with(ok + "Content-Length: 5\r\n\r\ntrue\n") == store_status::ok);
    CHECK(fixture.write_answered_with(ok + "Content-Length: 5\r\n\r\nfalse") == store_status::conflict);
    CHECK(fixture.write_answered_with(ok + "Content-Length: 6\r\n\r\nfalse\n") == store_status::conflict);
    for (const auto* text :
         {"Content-Length: 0\r\n\r\n", "Connection: close\r\n\r\ntr", "Connection: close\r\n\r\n",
          "Content-Length: 4\r\n\r\ntr", "Content-Length: 5\r\n\r\ntrue?", "Content-Length: 4\r\n\r\nnull"}) {
        INFO(text);
        CHECK(fixture.write_answered_with(ok + text) == store_status::unknown);
    }
    CHECK(fixture.write_answered_with("HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\ntrue") ==
          store_status::unknown);
}

TEST_CASE("a read is reported as failed when its response is not whole or its value is not base64")
{
    consul_fixture fixture;
    const auto answer = [](const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    CHECK(fixture.read_answered_with(answer(R"([{"Value":"dGV4dA==","ModifyIndex":7}])")) ==
          store_status::ok);
    CHECK(fixture.read_answered_with(answer(R"([{"Value":"","ModifyIndex":7}])")) == store_status::ok);
    CHECK(fixture.read_answered_with("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") ==
          store_status::not_found);
    for (const auto* body : {R"([{"Value":"dGV4dA==","ModifyIndex":7})",
                             R"([{"Value":"dGV4d!!=","ModifyIndex":7}])", "", "[]"}) {
        INFO(body);
        CHECK(fixture.read_answered_with(answer(body)) == store_status::unavailable);
    }
    CHECK(fixture.read_answered_with("HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\n") ==
          store_status::unavailable);
}
