// Tests that the command-line tool does not take a response that broke off for a success.
#include "adapters/loopback_upstream.h"
#include "ctl/node_client.h"

#include <thread>

using namespace anvilpost;
using namespace anvilpost::testing;
using namespace std::chrono_literals;

namespace {

/// Sends a request to a node that answers with `text` and closes the connection.
node_response response_to(const std::string& text)
{
    test_upstream node;
    std::thread answering([&] {
        while (!node.has_request()) {
            std::this_thread::sleep_for(1ms);
        }
        node.discard_input();
        static_cast<void>(node.try_send(text));
        node.close_connection();
    });
    node_client client("127.0.0.1", node.port(), 5s);
    const auto response = client.get("/v1/status");
    answering.join();
    return response;
}

} // namespace

TEST_CASE("a node's success counts as an answer only with its whole document")
{
    const auto sound = response_to("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"revision\":3}");
    CHECK(sound.status_ == 200);
    CHECK(sound.body_.value("revision", 0) == 3);
    const auto refusal = response_to("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
    CHECK(refusal.status_ == 503);
    CHECK(refusal.text_ == "busy");
    for (const auto* text : {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"revision\":3",
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"revision\":3}",
                             "HTTP/1.1 000 Odd\r\nContent-Length: 14\r\n\r\n{\"revision\":3}"}) {
        INFO(text);
        CHECK(response_to(text).status_ == 0);
    }
}
