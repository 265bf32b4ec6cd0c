// Tests of view_fetcher: which peer is asked, and that a fetch without a response holds nothing up.
#include "core/fakes.h"
#include "core/fleet/view_fetcher.h"

#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;
using trompeloeil::_;

namespace {

class mock_peers : public peer_view_port {
public:
    MAKE_MOCK4(fetch, void(const peer&, std::uint64_t, duration, view_callback), override);
};

class idle_store : public registry_store_port {
public:
    void read_all(items_callback) override {}
    void changes_since(std::uint64_t, duration, items_callback) override {}
};

peer node(const std::string& name)
{
    return {name, 1, "north", "10.0.0.1", 1, 2, 200, false};
}

struct fetcher_fixture {
    fetcher_fixture() { follower_.on_peer_changes({}, true, 10, clock_.now()); }

    manual_clock clock_;
    split_mix random_;
    idle_store store_;
    view_follower follower_{store_, clock_, random_, {}};
    mock_peers peers_;
    view_fetcher fetcher_{clock_, peers_, follower_};
    std::map<std::string, peer_view_port::view_callback> asked_; ///< By peer.
};

view_message view_of(std::uint64_t revision)
{
    view_message view;
    view.revision_ = revision;
    return view;
}

} // namespace

TEST_CASE("another peer is asked when a fetch takes long, and a late response still counts")
{
    fetcher_fixture fixture;
    ALLOW_CALL(fixture.peers_, fetch(_, 10U, _, _)).LR_SIDE_EFFECT(fixture.asked_[_1.name_] = _4);
    fixture.fetcher_.on_later_view(node("a"), 11);
    fixture.fetcher_.on_later_view(node("a"), 11);
    fixture.fetcher_.on_later_view(node("b"), 11);
    CHECK(fixture.asked_.size() == 1);
    fixture.clock_.advance(150ms);
    fixture.fetcher_.on_tick();
    CHECK(fixture.asked_.size() == 2);
    CHECK(fixture.fetcher_.counters().started_ == 2);
    fixture.asked_.at("a")(view_of(11));
    CHECK(fixture.follower_.view().revision() == 11);
}

TEST_CASE("a failed fetch is followed at once by one from another peer that has the view")
{
    fetcher_fixture fixture;
    std::vector<fetch_failure> failures;
    fixture.fetcher_.on_failure_ = [&](const peer&, fetch_failure why, duration) { failures.push_back(why); };
    ALLOW_CALL(fixture.peers_, fetch(_, 10U, _, _)).LR_SIDE_EFFECT(fixture.asked_[_1.name_] = _4);
    fixture.fetcher_.on_later_view(node("a"), 11);
    fixture.fetcher_.on_later_view(node("b"), 11);
    fixture.asked_.at("a")(std::nullopt);
    REQUIRE(fixture.asked_.contains("b"));
    auto early = view_of(11);
    early.format_ = 0;
    fixture.asked_.at("b")(early);
    CHECK(failures == std::vector{fetch_failure::no_response, fetch_failure::earlier_format});
    CHECK(fixture.follower_.view().revision() == 10);
}

TEST_CASE("peers whose statement is old or whose view the node has meanwhile are not asked")
{
    fetcher_fixture fixture;
    ALLOW_CALL(fixture.peers_, fetch(_, 10U, _, _)).LR_SIDE_EFFECT(fixture.asked_[_1.name_] = _4);
    fixture.fetcher_.on_later_view(node("a"), 11);
    fixture.fetcher_.on_later_view(node("b"), 11);
    SECTION("old")
    {
        fixture.clock_.advance(1001ms);
    }
    SECTION("known meanwhile")
    {
        fixture.asked_.at("a")(view_of(11));
        fixture.clock_.advance(200ms);
    }
    fixture.fetcher_.on_tick();
    CHECK_FALSE(fixture.asked_.contains("b"));
}
