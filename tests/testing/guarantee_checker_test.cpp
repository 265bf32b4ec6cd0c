// Unit tests of guarantee_checker, on which the soak test relies: each violation is reported, and correct
// behaviour isn't.
#include "test_deployment/guarantee_checker.h"

#include <catch2/catch.hpp>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

struct checker_fixture {
    time_point now_{};
    guarantee_checker checker_{[this] { return now_; }};

    sent_request& send(const std::string& id, bool repeatable)
    {
        sent_request request;
        request.id_ = id;
        request.method_ = repeatable ? "GET" : "POST";
        request.path_ = "/pages/1";
        request.repeatable_ = repeatable;
        request.time_left_ = 1s;
        return checker_.on_sent(request);
    }

    void arrive(const std::string& id, const std::string& worker, duration left = 900ms)
    {
        const auto* request = checker_.find(id);
        const std::string method = request == nullptr ? "GET" : request->method_;
        checker_.on_arrival({worker, "desk", id, method, "/pages/1", "", left, false});
    }

    static received_response complete_response(const std::string& id)
    {
        return {200, id, "stamp", guarantee_checker::response_body(id, "/pages/1")};
    }
};

} // namespace

TEST_CASE_METHOD(checker_fixture, "correct behaviour violates no guarantee", "[promise_book]")
{
    auto& read = send("r1", true);
    arrive("r1", "w1");
    checker_.on_run("w1", "r1");
    arrive("r1", "w2");
    checker_.on_run("w2", "r1");
    checker_.on_response(read, complete_response("r1"));
    auto& refused = send("r2", false);
    arrive("r2", "w1");
    checker_.on_response(refused, {503, "", "", ""});
    checker_.check_final_state();
    CHECK(checker_.violations().empty());
}

TEST_CASE_METHOD(checker_fixture, "an unrepeatable request that runs twice is a violation", "[promise_book]")
{
    send("r1", false);
    arrive("r1", "w1");
    checker_.on_run("w1", "r1");
    checker_.on_run("w2", "r1");
    CHECK(checker_.violations().size() == 1);
}

TEST_CASE_METHOD(checker_fixture, "a not-run response to a request that ran is a violation", "[promise_book]")
{
    auto& request = send("r1", false);
    arrive("r1", "w1");
    checker_.on_run("w1", "r1");
    checker_.on_response(request, {503, "", "", ""});
    checker_.check_final_state();
    CHECK(checker_.violations().size() == 1);
}

TEST_CASE_METHOD(checker_fixture, "truncated responses and responses to other requests are violations",
                 "[promise_book]")
{
    auto& request = send("r1", true);
    auto response = complete_response("r1");
    SECTION("cut")
    {
        response.body_.pop_back();
    }
    SECTION("another request's")
    {
        response = complete_response("r2");
    }
    SECTION("without the worker's stamp")
    {
        response.stamp_.clear();
    }
    checker_.on_response(request, response);
    CHECK(checker_.violations().size() == 1);
}

TEST_CASE_METHOD(checker_fixture, "requests that no caller sent or that were altered are violations",
                 "[promise_book]")
{
    SECTION("not sent")
    {
        arrive("r9", "w1");
    }
    SECTION("changed")
    {
        send("r1", true);
        checker_.on_arrival({"w1", "desk", "r1", "GET", "/pages/2", "", 900ms, false});
    }
    CHECK(checker_.violations().size() == 1);
}

TEST_CASE_METHOD(checker_fixture, "too many attempts and overlong deadlines are violations", "[promise_book]")
{
    send("r1", true);
    SECTION("attempts")
    {
        for (const auto* worker : {"w1", "w2", "w3"}) {
            arrive("r1", worker);
        }
    }
    SECTION("deadline")
    {
        now_ += 800ms;
        arrive("r1", "w1", 900ms);
    }
    CHECK(checker_.violations().size() == 1);
}

} // namespace anvilpost::testing
