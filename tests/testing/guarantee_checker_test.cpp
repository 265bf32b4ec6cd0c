// The soak is worth what its checks notice: each broken promise is noticed, and sound conduct is not blamed.
#include "platform_world/guarantee_checker.h"

#include <catch2/catch.hpp>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

struct book_fixture {
    time_point now_{};
    promise_book book_{[this] { return now_; }};

    sent_request& send(const std::string& id, bool repeatable)
    {
        sent_request request;
        request.id_ = id;
        request.method_ = repeatable ? "GET" : "POST";
        request.path_ = "/pages/1";
        request.repeatable_ = repeatable;
        request.time_left_ = 1s;
        return book_.on_sent(request);
    }

    void arrive(const std::string& id, const std::string& worker, duration left = 900ms)
    {
        const auto* request = book_.find(id);
        const std::string method = request == nullptr ? "GET" : request->method_;
        book_.on_arrival({worker, "desk", id, method, "/pages/1", "", left, false});
    }

    static received_answer whole(const std::string& id)
    {
        return {200, id, "stamp", promise_book::answer_body(id, "/pages/1")};
    }
};

} // namespace

TEST_CASE_METHOD(book_fixture, "sound conduct breaks no promise", "[promise_book]")
{
    auto& read = send("r1", true);
    arrive("r1", "w1");
    book_.on_run("w1", "r1");
    arrive("r1", "w2");
    book_.on_run("w2", "r1");
    book_.on_answer(read, whole("r1"));
    auto& refused = send("r2", false);
    arrive("r2", "w1");
    book_.on_answer(refused, {503, "", "", ""});
    book_.check_at_the_end();
    CHECK(book_.broken().empty());
}

TEST_CASE_METHOD(book_fixture, "an unrepeatable request that runs twice is noticed", "[promise_book]")
{
    send("r1", false);
    arrive("r1", "w1");
    book_.on_run("w1", "r1");
    book_.on_run("w2", "r1");
    CHECK(book_.broken().size() == 1);
}

TEST_CASE_METHOD(book_fixture, "a false promise of not having run is noticed", "[promise_book]")
{
    auto& request = send("r1", false);
    arrive("r1", "w1");
    book_.on_run("w1", "r1");
    book_.on_answer(request, {503, "", "", ""});
    book_.check_at_the_end();
    CHECK(book_.broken().size() == 1);
}

TEST_CASE_METHOD(book_fixture, "answers that are cut or another's are noticed", "[promise_book]")
{
    auto& request = send("r1", true);
    auto answer = whole("r1");
    SECTION("cut")
    {
        answer.body_.pop_back();
    }
    SECTION("another request's")
    {
        answer = whole("r2");
    }
    SECTION("without the worker's stamp")
    {
        answer.stamp_.clear();
    }
    book_.on_answer(request, answer);
    CHECK(book_.broken().size() == 1);
}

TEST_CASE_METHOD(book_fixture, "requests that nobody sent, or that were changed, are noticed",
                 "[promise_book]")
{
    SECTION("not sent")
    {
        arrive("r9", "w1");
    }
    SECTION("changed")
    {
        send("r1", true);
        book_.on_arrival({"w1", "desk", "r1", "GET", "/pages/2", "", 900ms, false});
    }
    CHECK(book_.broken().size() == 1);
}

TEST_CASE_METHOD(book_fixture, "too many attempts and too long deadlines are noticed", "[promise_book]")
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
    CHECK(book_.broken().size() == 1);
}

} // namespace anvilpost::testing
