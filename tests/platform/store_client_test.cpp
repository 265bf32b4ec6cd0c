// Tests of what the client of the platform's store reports of responses that are sound, broken off or of
// another form.
#include "adapters/loopback_upstream.h"
#include "platform/store_client.h"

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

struct store_fixture {
    /// Has each of the requests of one read answered with a body, in turn.
    items_result read_answered_with(const std::vector<std::string>& bodies)
    {
        std::optional<items_result> result;
        client_.read_all([&](const items_result& read) { result = read; });
        for (const auto& body : bodies) {
            answer_once(loop_, server_, answer(body));
        }
        REQUIRE(run_loop_until(loop_, [&] { return result.has_value(); }));
        return *result;
    }

    items_result watch_answered_with(const std::string& text)
    {
        std::optional<items_result> result;
        client_.changes_since(5, std::chrono::seconds(1), [&](const items_result& read) { result = read; });
        answer_once(loop_, server_, text);
        REQUIRE(run_loop_until(loop_, [&] { return result.has_value(); }));
        return *result;
    }

    static std::string answer(const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    test_upstream server_;
    event_loop loop_;
    platform::store_client client_{loop_, "127.0.0.1", server_.port()};
};

} // namespace

// An exception in a callback of the event loop ends the node.
TEST_CASE("a page of the store whose fields have other types fails the read")
{
    const std::string sound = R"({"items":[],"has_more":false,"store_revision":7})";
    const auto broken = GENERATE(
        as<std::string>{}, R"({"items":[],"has_more":"no","store_revision":7})",
        R"({"items":[1],"has_more":true,"store_revision":7})",
        R"({"items":[{"key":2}],"has_more":true,"store_revision":7})",
        R"({"items":[{}],"has_more":true,"store_revision":7})",
        R"({"items":[{"key":"op/config","revision":3,"value":"%"}],"has_more":false,"store_revision":7})",
        R"({"items":[],"has_more":false})", R"({"items":[],"has_more":false,"store_revision":7)", "[]", "");
    INFO(broken);
    store_fixture fixture;
    CHECK(fixture.read_answered_with({broken}).status_ != store_status::ok);
    CHECK(fixture.read_answered_with({sound, broken}).status_ != store_status::ok);
    const auto result = fixture.read_answered_with({sound, sound});
    CHECK(result.status_ == store_status::ok);
    CHECK(result.revision_ == 7);
}

// Without the store's epoch, changes would be taken for those of another history.
TEST_CASE("changes are reported only from a response whose head is sound and whose body is whole")
{
    const std::string body = R"({"events":[],"store_revision":9})";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    store_fixture fixture;
    const auto sound = fixture.watch_answered_with("HTTP/1.1 200 OK\r\n" + length + body);
    CHECK(sound.status_ == store_status::ok);
    CHECK_FALSE(sound.history_lost_);
    CHECK(sound.revision_ == 9);
    const std::vector<std::string> broken_responses{
        "HTTP/1.1 200 OK\r\nStore-Era : 3\r\n" + length + body,
        "HTTP/1.1 200 OK\r\nStore Era: 3\r\n" + length + body, "HTTP/1.1 000 Odd\r\n" + length + body,
        "HTTP/1.1 200 OK\r\n" + length + body.substr(1), "HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\n"};
    for (const auto& text : broken_responses) {
        INFO(text);
        const auto broken = fixture.watch_answered_with(text);
        CHECK(broken.status_ == store_status::unknown);
        CHECK_FALSE(broken.history_lost_);
    }
}
