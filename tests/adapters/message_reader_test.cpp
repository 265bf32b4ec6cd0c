// Tests of parsing HTTP/1.1 messages from the input buffer of a connection.
#include "adapters/http/message_reader.h"

#include <catch2/catch.hpp>
#include <string>

using namespace anvilpost;

namespace {

constexpr std::size_t max_head_bytes = 1024;

std::string text_of(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

/// Feeds the text in pieces of `piece_bytes` bytes, each in a buffer chain of its own, and returns how
/// reading ended.
read_status feed_in_pieces(message_reader& reader, evbuffer* input, const std::string& text,
                           std::size_t piece_bytes)
{
    auto outcome = read_status::more;
    for (std::size_t offset = 0; offset < text.size() && outcome == read_status::more;
         offset += piece_bytes) {
        evbuffer_add_reference(input, text.data() + offset, std::min(piece_bytes, text.size() - offset),
                               nullptr, nullptr);
        outcome = reader.feed(input);
    }
    return outcome;
}

} // namespace

TEST_CASE("a request is read completely whatever the sizes of the pieces in which it arrives")
{
    const std::string with_length =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world";
    const std::string chunked = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: t\r\n\r\n";
    for (const auto& text : {with_length, chunked}) {
        for (std::size_t piece_bytes = 1; piece_bytes <= text.size(); ++piece_bytes) {
            const owned_evbuffer input(evbuffer_new());
            message_reader reader(message_side::request, max_head_bytes);
            INFO("pieces of " << piece_bytes << " of " << text);
            REQUIRE(feed_in_pieces(reader, input.get(), text, piece_bytes) == read_status::complete);
            REQUIRE(reader.head().method_ == "POST");
            REQUIRE(reader.head().target_ == "/a?b=c");
            REQUIRE(text_of(reader.body()) == "hello world");
            REQUIRE(evbuffer_get_length(input.get()) == 0);
        }
    }
}

TEST_CASE("bytes after the end of a message stay in the input buffer")
{
    const owned_evbuffer input(evbuffer_new());
    message_reader reader(message_side::response, max_head_bytes);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\n\r\n";
    evbuffer_add(input.get(), text.data(), text.size());
    REQUIRE(reader.feed(input.get()) == read_status::complete);
    REQUIRE(text_of(reader.body()) == "ok");
    REQUIRE(text_of(input.get()) == "HTTP/1.1 500 No\r\n\r\n");
}

TEST_CASE("a response without a length ends when its connection is closed")
{
    const owned_evbuffer input(evbuffer_new());
    message_reader reader(message_side::response, max_head_bytes);
    const std::string text = "HTTP/1.1 200 OK\r\nX: y\r\n\r\npart";
    evbuffer_add(input.get(), text.data(), text.size());
    REQUIRE(reader.feed(input.get()) == read_status::more);
    REQUIRE(reader.head().close_delimited_);
    REQUIRE(reader.on_end() == read_status::complete);
    REQUIRE(text_of(reader.body()) == "part");
}

TEST_CASE("a response that ends before its stated length is malformed")
{
    const owned_evbuffer input(evbuffer_new());
    message_reader reader(message_side::response, max_head_bytes);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    evbuffer_add(input.get(), text.data(), text.size());
    REQUIRE(reader.feed(input.get()) == read_status::more);
    REQUIRE(reader.on_end() == read_status::malformed);
}

TEST_CASE("a response to HEAD has no body whatever its Content-Length")
{
    const owned_evbuffer input(evbuffer_new());
    message_reader reader(message_side::response, max_head_bytes, true);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    evbuffer_add(input.get(), text.data(), text.size());
    REQUIRE(reader.feed(input.get()) == read_status::complete);
}

TEST_CASE("an ambiguous length is reported as malformed and a head over the limit as too large")
{
    const std::string two_lengths =
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    const std::string large_head =
        "GET / HTTP/1.1\r\nA: " + std::string(2 * max_head_bytes, 'a') + "\r\n\r\n";
    const owned_evbuffer input(evbuffer_new());
    message_reader ambiguous(message_side::request, max_head_bytes);
    CHECK(feed_in_pieces(ambiguous, input.get(), two_lengths, two_lengths.size()) == read_status::malformed);
    const owned_evbuffer other_input(evbuffer_new());
    message_reader too_large(message_side::request, max_head_bytes);
    CHECK(feed_in_pieces(too_large, other_input.get(), large_head, 100) == read_status::head_too_large);
}
