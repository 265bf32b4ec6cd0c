// Tests that a response which is not whole, or is no HTTP response, never reaches a caller as one, and that
// unusual but sound responses do. Each is delivered at once, byte by byte and with pauses, since the pool
// holds a response back for a short time only.
#include "adapters/call_path_fixture.h"

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

/// More than the buffers of the sockets between the node and `test_upstream` take.
constexpr std::size_t large_upload_bytes = 7UL * 1024 * 1024;

/// Fits into the buffer of the node's socket, but not of the upstream's.
constexpr std::size_t buffered_upload_bytes = 500UL * 1024;

const std::string post = "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n";

/// Allows responses that end with their connection.
header_names close_delimited_allowed()
{
    header_names names;
    names.always_framed_ = false;
    return names;
}

/// A response is held back until it is whole, however slowly a test runs.
upstream_pool_limits long_hold()
{
    upstream_pool_limits limits;
    limits.max_response_hold_time_ = 10s;
    return limits;
}

std::string upload_of(std::size_t body_bytes)
{
    return "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n" + std::string(body_bytes, 'u');
}

/// What a caller makes of the bytes that it received.
struct received_response {
    bool complete_ = false;
    int status_ = 0;
    std::string body_;
    header_list headers_;
};

received_response parse_received(const std::string& received)
{
    const owned_evbuffer input(evbuffer_new());
    evbuffer_add(input.get(), received.data(), received.size());
    message_reader reader(message_side::response, 64UL * 1024);
    const auto outcome = reader.feed(input.get());
    std::string body(evbuffer_get_length(reader.body()), '\0');
    evbuffer_copyout(reader.body(), body.data(), body.size());
    return {outcome == read_status::complete && evbuffer_get_length(input.get()) == 0, reader.head().status_,
            body, reader.head().headers_};
}

/// Waits until the call has ended; returns what its caller has received.
const std::string& wait_for_end(call_path_fixture& fixture, test_caller& caller)
{
    REQUIRE(run_loop_until(fixture.loop_, [&] { return !fixture.observer_.records_.empty(); }));
    run_loop(fixture.loop_, 10ms);
    return caller.received();
}

/// Checks that the caller got one response, the node's own, and that the upstream counts as failed.
void check_refused(call_path_fixture& fixture, test_caller& caller)
{
    const auto& received = wait_for_end(fixture, caller);
    INFO(received);
    CHECK(received.starts_with("HTTP/1.1 502"));
    CHECK(parse_received(received).complete_);
    REQUIRE(fixture.observer_.records_.size() == 1);
    CHECK(fixture.observer_.records_[0].problem_ == problem_kind::upstream_broken);
    CHECK(fixture.observer_.records_[0].verdict_ != verdict::not_run);
}

/// Sends a request, lets the upstream answer with `text` and returns what the caller has received at the end.
std::string answer_with(call_path_fixture& fixture, test_caller& caller, const std::string& text,
                        delivery how)
{
    caller.send(post);
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.upstream_.has_request(); }));
    fixture.upstream_.discard_input();
    deliver(fixture.loop_, fixture.upstream_, text, how);
    run_loop(fixture.loop_, 2ms);
    fixture.upstream_.close_connection();
    return wait_for_end(fixture, caller);
}

/// Has one request answered, so that the next one is sent on the same connection to the upstream.
void use_connection_once(call_path_fixture& fixture, test_caller& caller)
{
    caller.send(post);
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.upstream_.has_request(); }));
    fixture.upstream_.discard_input();
    fixture.upstream_.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(run_loop_until(fixture.loop_, [&] { return !caller.received().empty(); }));
    run_loop(fixture.loop_, 2ms);
    caller.clear_received();
    fixture.observer_.records_.clear();
}

/// Starts a large upload that the upstream does not read.
void start_large_upload(call_path_fixture& fixture, test_caller& caller, bool on_used_connection = false)
{
    if (on_used_connection) {
        use_connection_once(fixture, caller);
    }
    caller.send_large(fixture.loop_, upload_of(large_upload_bytes));
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.upstream_.has_request(); }));
    CHECK(fixture.pool_.counters().connections_reused_ == (on_used_connection ? 1 : 0));
}

} // namespace

// The event loop may handle the error of writing before the end of reading, which then looks like an orderly
// close, since the error is reported only once. On a connection that was used before, it does.
TEST_CASE("a response whose connection is reset during the upload does not reach the caller as complete")
{
    const std::string framing =
        GENERATE("\r\n", "Content-Length: 20000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4e20\r\n");
    const bool on_used_connection = GENERATE(false, true);
    call_path_fixture fixture(close_delimited_allowed(), long_hold());
    test_caller caller(fixture.server_.port());
    start_large_upload(fixture, caller, on_used_connection);
    fixture.upstream_.send("HTTP/1.1 200 OK\r\n" + framing + std::string(7000, 'x'));
    run_loop(fixture.loop_, 5ms);
    fixture.upstream_.reset_connection();
    check_refused(fixture, caller);
}

// As above, when all that the upstream sent and the reset are handled in one round of events.
TEST_CASE("a reset together with the first bytes of a response is a failure of the upstream")
{
    const std::string framing = GENERATE("\r\n", "Content-Length: 20000\r\n\r\n");
    const bool on_used_connection = GENERATE(false, true);
    call_path_fixture fixture(close_delimited_allowed(), long_hold());
    test_caller caller(fixture.server_.port());
    start_large_upload(fixture, caller, on_used_connection);
    fixture.upstream_.send("HTTP/1.1 200 OK\r\n" + framing + std::string(7000, 'x'));
    fixture.upstream_.reset_connection();
    check_refused(fixture, caller);
}

// A process that ends closes its connections in an orderly way if it has read all that had arrived, and its
// system resets them when more arrives.
TEST_CASE("a response that ends with its connection is not whole if a reset follows during the upload")
{
    const std::size_t upload_bytes = GENERATE(large_upload_bytes, buffered_upload_bytes);
    call_path_fixture fixture(close_delimited_allowed(), long_hold());
    test_caller caller(fixture.server_.port());
    caller.send_large(fixture.loop_, upload_of(upload_bytes));
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.upstream_.has_request(); }));
    fixture.upstream_.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(7000, 'x'));
    fixture.upstream_.shut_down_sending();
    run_loop(fixture.loop_, 20ms);
    INFO(caller.received().substr(0, 200));
    CHECK(caller.received().empty());
    fixture.upstream_.reset_connection();
    check_refused(fixture, caller);
}

TEST_CASE("a response that ends with its connection during the upload is whole once the upload is read")
{
    call_path_fixture fixture(close_delimited_allowed());
    test_caller caller(fixture.server_.port());
    start_large_upload(fixture, caller);
    fixture.upstream_.send("HTTP/1.1 413 Content Too Large\r\n\r\n" + std::string(7000, 'x'));
    fixture.upstream_.shut_down_sending();
    std::size_t read = 0;
    REQUIRE(run_loop_until(fixture.loop_, [&] {
        read += fixture.upstream_.discard_input();
        return read > large_upload_bytes;
    }));
    const auto received = parse_received(wait_for_end(fixture, caller));
    CHECK(received.complete_);
    CHECK(received.status_ == 413);
    CHECK(received.body_ == std::string(7000, 'x'));
}

// An upstream that refuses an upload may close its connection with unread input, which resets it.
TEST_CASE("an early refusal of an upload with its length is passed on although the connection is reset")
{
    const std::string framed =
        GENERATE(as<std::string>{}, "Content-Length: 9000\r\n\r\n" + std::string(9000, 'x'),
                 "Transfer-Encoding: chunked\r\n\r\n2328\r\n" + std::string(9000, 'x') + "\r\n0\r\n\r\n");
    const bool on_used_connection = GENERATE(false, true);
    const bool read_before_reset = GENERATE(false, true);
    call_path_fixture fixture;
    test_caller caller(fixture.server_.port());
    start_large_upload(fixture, caller, on_used_connection);
    fixture.upstream_.send("HTTP/1.1 413 Content Too Large\r\n" + framed);
    if (read_before_reset) {
        run_loop(fixture.loop_, 5ms);
    }
    fixture.upstream_.close_connection();
    const auto received = parse_received(wait_for_end(fixture, caller));
    CHECK(received.complete_);
    CHECK(received.status_ == 413);
    CHECK(received.body_ == std::string(9000, 'x'));
    CHECK_FALSE(
        fixture.pool_.has_idle_connection("127.0.0.1", fixture.upstream_.port(), connection_need::any));
}

TEST_CASE("a response whose status is no HTTP status does not reach the caller")
{
    const std::string status = GENERATE("000", "001", "099", "600", "999");
    const std::string framing = GENERATE("\r\n", "Content-Length: 30\r\n\r\n");
    const auto how = each_delivery();
    INFO(status << " " << framing << " " << static_cast<int>(how));
    call_path_fixture fixture(close_delimited_allowed());
    test_caller caller(fixture.server_.port());
    answer_with(fixture, caller, "HTTP/1.1 " + status + " Odd\r\n" + framing + std::string(30, 'x'), how);
    check_refused(fixture, caller);
}

TEST_CASE("a response with a malformed field in its head does not reach the caller")
{
    const auto field = GENERATE(as<std::string>{}, "X Y: 1", "X\tY: 1", "X\x01Y: 1",
                                std::string("X\0Y: 1", 6), "X\x7fY: 1", "X\xe4Y: 1", ": 1", "no colon",
                                "X-Field : 1", "Content-Length : 30", "Transfer-Encoding : chunked",
                                "X-Field: a\x01z", std::string("X-Field: a\0z", 12), "X-Field: a\nz: b");
    const std::string framing = GENERATE("\r\n", "Content-Length: 30\r\n\r\n");
    const auto how = each_delivery();
    INFO(field << " " << framing << " " << static_cast<int>(how));
    call_path_fixture fixture(close_delimited_allowed());
    test_caller caller(fixture.server_.port());
    answer_with(fixture, caller, "HTTP/1.1 200 OK\r\n" + field + "\r\n" + framing + std::string(30, 'x'),
                how);
    check_refused(fixture, caller);
}

// The node passes bodies on without their transfer coding, so it must know how to remove it.
TEST_CASE("a response with a transfer coding that the node cannot decode does not reach the caller")
{
    const std::string framing =
        GENERATE("Transfer-Encoding: gzip\r\n\r\n", "Transfer-Encoding: gzip, chunked\r\n\r\n1e\r\n",
                 "Transfer-Encoding: chunked, gzip\r\n\r\n",
                 "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n1e\r\n",
                 "Transfer-Encoding: gzip\r\nContent-Length: 30\r\n\r\n");
    const auto how = each_delivery();
    INFO(framing << " " << static_cast<int>(how));
    call_path_fixture fixture(close_delimited_allowed());
    test_caller caller(fixture.server_.port());
    const std::string end = framing.ends_with("1e\r\n") ? "\r\n0\r\n\r\n" : "";
    answer_with(fixture, caller, "HTTP/1.1 200 OK\r\n" + framing + std::string(30, 'x') + end, how);
    check_refused(fixture, caller);
}

TEST_CASE("a sound response reaches the caller whole, however it is framed and however its bytes arrive")
{
    const std::string framing =
        GENERATE("\r\n", "Content-Length: 30\r\n\r\n", "Transfer-Encoding: Chunked\r\n\r\n1E;a=b\r\n");
    const auto how = each_delivery();
    INFO(framing << " " << static_cast<int>(how));
    call_path_fixture fixture(close_delimited_allowed());
    test_caller caller(fixture.server_.port());
    const std::string end = framing.ends_with("1E;a=b\r\n") ? "\r\n0\r\nX-Trailer: 1\r\n\r\n" : "";
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Latin: gr\xfc\xdf\r\nX-Folded: a\r\n b\r\nX-Empty:\r\n" + framing;
    const auto received =
        parse_received(answer_with(fixture, caller, head + std::string(30, 'x') + end, how));
    CHECK(received.complete_);
    CHECK(received.status_ == 200);
    CHECK(received.body_ == std::string(30, 'x'));
    CHECK(find_header(received.headers_, "X-Latin") == "gr\xfc\xdf");
    CHECK(find_header(received.headers_, "X-Folded") == "a b");
    CHECK(find_header(received.headers_, "X-Empty") == "");
    REQUIRE(fixture.observer_.records_.size() == 1);
    CHECK_FALSE(fixture.observer_.records_[0].problem_.has_value());
}

TEST_CASE("responses with rare statuses reach the caller")
{
    const int status = GENERATE(203, 204, 205, 208, 226, 299, 300, 304, 402, 418, 451, 499, 507, 511, 599);
    const auto how = GENERATE(delivery::at_once, delivery::byte_by_byte);
    INFO(status << " " << static_cast<int>(how));
    call_path_fixture fixture;
    test_caller caller(fixture.server_.port());
    const std::string framing = status == 204 || status == 304 ? "\r\n" : "Content-Length: 0\r\n\r\n";
    const auto text =
        answer_with(fixture, caller, "HTTP/1.1 " + std::to_string(status) + " Rare\r\n" + framing, how);
    CHECK(text.starts_with("HTTP/1.1 " + std::to_string(status) + " Rare\r\n"));
    CHECK(parse_received(text).complete_);
}

TEST_CASE("a response that ends with its connection is passed on whole after an upload")
{
    call_path_fixture fixture(close_delimited_allowed());
    test_caller caller(fixture.server_.port());
    caller.send_large(fixture.loop_, upload_of(large_upload_bytes));
    std::size_t read = 0;
    REQUIRE(run_loop_until(fixture.loop_, [&] {
        read += fixture.upstream_.has_request() ? fixture.upstream_.discard_input() : 0;
        return read > large_upload_bytes;
    }));
    const std::string body(20'000, 'x');
    deliver(fixture.loop_, fixture.upstream_, "HTTP/1.1 200 OK\r\n\r\n" + body,
            GENERATE(delivery::at_once, delivery::long_pause_in_body));
    fixture.upstream_.close_connection();
    const auto received = parse_received(wait_for_end(fixture, caller));
    CHECK(received.complete_);
    CHECK(received.status_ == 200);
    CHECK(received.body_ == body);
}
