// Tests of parsing HTTP headers: message framing, hop-by-hop headers, host names, deadlines and load reports.
#include "adapters/http/header_rules.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

TEST_CASE("ambiguous message framing is rejected")
{
    const std::vector<header_list> ambiguous{
        {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}},
        {{"Content-Length", "5"}, {"Content-Length", "5"}},
        {{"Content-Length", "+5"}},
        {{"Content-Length", "5, 5"}},
        {{"Content-Length", ""}},
        {{"Content-Length ", "5"}},
        {{"Transfer-Encoding", "gzip, chunked"}},
        {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}},
        {{"Content-Length", "99999999999999999999999"}},
    };
    for (const auto& headers : ambiguous) {
        INFO(headers[0].first << ": " << headers[0].second);
        CHECK_FALSE(parse_framing(headers).has_value());
    }
}

TEST_CASE("Content-Length and Transfer-Encoding are parsed without regard to case")
{
    REQUIRE(parse_framing({{"content-length", "12"}})->content_length_ == 12U);
    REQUIRE(parse_framing({{"Transfer-Encoding", "Chunked"}})->chunked_);
    REQUIRE_FALSE(parse_framing({{"Host", "a"}})->content_length_.has_value());
}

TEST_CASE("standard hop-by-hop headers and those named in the Connection header are hop-by-hop")
{
    REQUIRE(is_hop_by_hop("X-Secret", "close, x-secret"));
    REQUIRE(is_hop_by_hop("Keep-Alive", ""));
    REQUIRE_FALSE(is_hop_by_hop("X-Other", "close, x-secret"));
}

TEST_CASE("a timeout header must be a positive number of milliseconds")
{
    REQUIRE(parse_timeout({{"anvilpost-timeout-ms", "250"}}) == std::chrono::milliseconds(250));
    REQUIRE_FALSE(parse_timeout({{"Anvilpost-Timeout-Ms", "0"}}).has_value());
    REQUIRE_FALSE(parse_timeout({{"Anvilpost-Timeout-Ms", "12s"}}).has_value());
}

TEST_CASE("a host name is converted to lower case without its port")
{
    REQUIRE(host_without_port("Desk.Example:8080") == "desk.example");
    REQUIRE(host_without_port("[::1]:80") == "[::1]");
    REQUIRE(host_without_port("[::1]") == "[::1]");
}

TEST_CASE("a load report is parsed from its JSON form and rejected when it is malformed")
{
    REQUIRE(parse_orca_report(R"(JSON {"named_metrics":{"in_flight":3}})")->in_flight_ == 3.0);
    REQUIRE_FALSE(parse_orca_report("TEXT in_flight=3").has_value());
    REQUIRE_FALSE(parse_orca_report(R"({"named_metrics":{"in_flight":-1}})").has_value());
    REQUIRE_FALSE(parse_orca_report(R"({"named_metrics":[)").has_value());
}

TEST_CASE("a rate limit is a decimal number from 0 up, and anything else names none")
{
    const auto parse = [](const std::string& value) { return parse_rate_limit({{"Limit", value}}, "limit"); };
    CHECK(parse("4.1") == 4.1);
    CHECK(parse("12") == 12.0);
    CHECK(parse(" 0 ") == 0.0);
    for (const std::string bad : {"", "-1", "4,1", "1e9", "nan", "inf", "0x4", "4.1 a second"}) {
        INFO(bad);
        CHECK_FALSE(parse(bad).has_value());
    }
    CHECK_FALSE(parse_rate_limit({{"Limit", "4"}}, "").has_value());
    CHECK_FALSE(parse_rate_limit({}, "limit").has_value());
}

TEST_CASE("a Retry-After is a number of seconds with fractions, bounded; anything else is ignored")
{
    const auto parse = [](const std::string& value) { return parse_retry_after({{"retry-after", value}}); };
    CHECK(parse("2") == std::chrono::seconds(2));
    CHECK(parse("0.25") == std::chrono::milliseconds(250));
    CHECK(parse("99999999999999999999") == std::chrono::seconds(60));
    for (const std::string bad : {"", "-1", "nan", "soon", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        INFO(bad);
        CHECK_FALSE(parse(bad).has_value());
    }
    CHECK_FALSE(parse_retry_after({}).has_value());
}
