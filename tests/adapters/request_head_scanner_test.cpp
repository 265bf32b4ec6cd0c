// Tests of the scanner that rejects malformed or too large request heads before evhttp sees them.
#include "adapters/http/request_head_scanner.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

namespace {

constexpr std::size_t max_head_bytes = 1'000;

std::optional<problem_kind> scan(const std::string& bytes)
{
    request_head_scanner scanner(max_head_bytes);
    return scanner.feed(bytes);
}

} // namespace

TEST_CASE("a valid request head is accepted byte by byte and in one piece")
{
    const std::string head =
        "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length:  12 \r\nEmpty:\r\n\r\nbody: \n no head";
    request_head_scanner scanner(max_head_bytes);
    for (const char c : head) {
        REQUIRE_FALSE(scanner.feed({&c, 1}).has_value());
    }
    REQUIRE(scanner.complete());
    scanner.reset();
    REQUIRE_FALSE(scanner.complete());
    REQUIRE_FALSE(scanner.feed("GET / HTTP/1.0\n\n").has_value());
    REQUIRE(scanner.complete());
}

TEST_CASE("malformed request heads are rejected")
{
    for (const std::string head :
         {"BREW /pot HTTP/1.1\r\n", "GET\r\n", "GET /\r\n", "GET / HTTP/2.0\r\n", "\r\n",
          "GET /a b HTTP/1.1\r\n", "get / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nno colon\r\n",
          "GET / HTTP/1.1\r\n: nameless\r\n", "GET / HTTP/1.1\r\nA: b\r\n folded\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 12abc\r\n", "POST / HTTP/1.1\r\ncontent-LENGTH: -1\r\n",
          "POST / HTTP/1.1\r\nContent-Length:\r\n"}) {
        INFO(head);
        CHECK(scan(head) == problem_kind::malformed_request);
    }
}

TEST_CASE("a request head over the limit is rejected before it is complete")
{
    REQUIRE(scan("GET / HTTP/1.1\r\nA: " + std::string(max_head_bytes, 'x')) ==
            problem_kind::header_too_large);
    REQUIRE(scan("GET /" + std::string(max_head_bytes, 'x')) == problem_kind::header_too_large);
    // The request line has a fixed limit of its own, whatever the limit for the whole head.
    request_head_scanner scanner_with_large_limit(100'000);
    REQUIRE(scanner_with_large_limit.feed("GET /" + std::string(9'000, 'x')) ==
            problem_kind::header_too_large);
}
