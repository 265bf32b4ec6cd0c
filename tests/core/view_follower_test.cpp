// Tests of view_follower: when a node reads the store, and up to which moment it counts its view as current.
#include "core/fakes.h"
#include "core/fleet/view_follower.h"

#include <catch2/catch.hpp>
#include <list>
#include <trompeloeil.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;
using trompeloeil::_;

namespace {

class mock_store : public registry_store_port {
public:
    MAKE_MOCK1(read_all, void(items_callback), override);
    MAKE_MOCK3(changes_since, void(std::uint64_t, duration, items_callback), override);
};

/// A store without changes that answers after 4 ms, and a watch when its wait is over. The response to a call
/// may be lost; the caller learns that after its time-out.
class late_store : public registry_store_port {
public:
    explicit late_store(const manual_clock& clock) : clock_(clock) {}

    void read_all(items_callback done) override { add({}, std::move(done)); }
    void changes_since(std::uint64_t, duration wait, items_callback done) override
    {
        add(wait, std::move(done));
    }

    void answer_due_calls()
    {
        for (auto call = calls_.begin(); call != calls_.end();) {
            if (call->due_ > clock_.now()) {
                ++call;
                continue;
            }
            const auto answered = *call;
            call = calls_.erase(call);
            answered.done_({answered.lost_ ? store_status::unknown : store_status::ok, {}, 10, false});
        }
    }
    void run_until_answered()
    {
        calls_.front().due_ = clock_.now();
        answer_due_calls();
    }

    bool lose_next_ = false;
    bool lose_all_ = false;
    int lost_ = 0;

private:
    struct pending_call {
        time_point due_{};
        bool lost_ = false;
        items_callback done_;
    };

    void add(duration wait, items_callback done)
    {
        const bool lost = std::exchange(lose_next_, false) || lose_all_;
        lost_ += lost ? 1 : 0;
        calls_.push_back({clock_.now() + wait + (lost ? 700ms : 4ms), lost, std::move(done)});
    }

    const manual_clock& clock_;
    std::list<pending_call> calls_;
};

stored_item upstream(const std::string& name, std::uint64_t revision, bool deleted = false)
{
    return {item_kind::upstream, name, "", revision, deleted, false};
}

/// A follower of the given bound and rank that has a full view of a `late_store`.
struct late_store_fixture {
    late_store_fixture(duration bound, std::size_t rank) : settings_{bound}
    {
        follower_.on_tick();
        follower_.set_rank(rank);
        store_.run_until_answered();
    }

    /// Lets time pass; `check` is called before each tick.
    template <class Check>
    void play(duration length, Check check)
    {
        for (duration played{}; played < length; played += view_follower::tick_period) {
            clock_.advance(view_follower::tick_period);
            store_.answer_due_calls();
            check();
            follower_.on_tick();
        }
    }

    manual_clock clock_;
    split_mix random_;
    late_store store_{clock_};
    follower_settings settings_;
    view_follower follower_{store_, clock_, random_, settings_};
};

/// A follower and a mock store; the test supplies the store's responses through `response_callback_`.
struct follower_fixture {
    follower_fixture()
    {
        follower_.on_change([this](const std::vector<stored_item>& changes) {
            published_.insert(published_.end(), changes.begin(), changes.end());
        });
    }

    /// Gives the follower a full view of revision 10.
    void complete_view()
    {
        REQUIRE_CALL(store_, read_all(_)).LR_SIDE_EFFECT(response_callback_ = _1);
        follower_.on_tick();
        response_callback_({store_status::ok, {upstream("a", 5)}, 10, false});
    }

    manual_clock clock_;
    split_mix random_;
    mock_store store_;
    view_follower follower_{store_, clock_, random_, {}};
    registry_store_port::items_callback response_callback_;
    std::vector<stored_item> published_;
};

} // namespace

TEST_CASE("the first view is a full read and counts as current at the moment when the read began")
{
    follower_fixture fixture;
    const auto started = fixture.clock_.now();
    REQUIRE_CALL(fixture.store_, read_all(_)).LR_SIDE_EFFECT(fixture.response_callback_ = _1);
    fixture.follower_.on_tick();
    fixture.clock_.advance(300ms);
    fixture.response_callback_({store_status::ok, {upstream("a", 5)}, 10, false});
    REQUIRE(fixture.follower_.complete());
    REQUIRE(fixture.follower_.verified_at() == started);
    REQUIRE(fixture.published_.size() == 1);
}

TEST_CASE("a query that ended without changes proves the view current only up to the end of its wait")
{
    follower_fixture fixture;
    fixture.complete_view();
    const auto started = fixture.clock_.now();
    REQUIRE_CALL(fixture.store_, changes_since(10U, _, _)).LR_SIDE_EFFECT(fixture.response_callback_ = _3);
    fixture.follower_.on_tick();
    fixture.clock_.advance(5s); // The response was delayed in transit.
    fixture.response_callback_({store_status::ok, {}, 10, false});
    REQUIRE(fixture.follower_.verified_at() == started + follower_settings{}.watch_timeout_);
}

TEST_CASE("calls never wait for a store that hangs, and the view counts again as soon as it answers")
{
    const auto bound = GENERATE(duration(2s), duration(2500ms));
    const auto rank = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{100});
    late_store_fixture fixture(bound, rank);
    const auto& follower = fixture.follower_;
    const auto check_usable = [&] { CHECK(follower.usable()); };
    fixture.play(5s, check_usable);
    fixture.store_.lose_all_ = true;
    const auto before = follower.counters().store_calls_;
    fixture.play(20s, check_usable);
    CHECK_FALSE(follower.store_reachable());
    CHECK(follower.counters().store_calls_ - before < 25);
    fixture.store_.lose_all_ = false;
    fixture.play(3s, check_usable);
    CHECK(follower.store_reachable());
    CHECK_FALSE(follower.overdue());
}

TEST_CASE("a query that ended without changes before its wait had passed proves nothing beyond its start")
{
    follower_fixture fixture;
    fixture.complete_view();
    const auto started = fixture.clock_.now();
    REQUIRE_CALL(fixture.store_, changes_since(10U, _, _)).LR_SIDE_EFFECT(fixture.response_callback_ = _3);
    fixture.follower_.on_tick();
    fixture.clock_.advance(5ms);
    fixture.response_callback_({store_status::ok, {}, 10, false});
    CHECK(fixture.follower_.verified_at() == started);
}

TEST_CASE("a lost response of the store does not let a view become older than its bound")
{
    const auto bound = GENERATE(duration(2s), duration(2500ms));
    const auto rank = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{100});
    late_store_fixture fixture(bound, rank);
    duration oldest{};
    for (int lost = 0; lost < 5; ++lost) {
        fixture.store_.lose_next_ = true;
        fixture.play(5s, [&] { oldest = std::max(oldest, fixture.follower_.age()); });
    }
    CHECK(fixture.store_.lost_ == 5);
    CHECK(oldest <= bound);
    CHECK(fixture.follower_.store_reachable());
}

TEST_CASE("a view older than its bound is not usable until the store was read or could not be")
{
    const auto status = GENERATE(store_status::ok, store_status::unavailable, store_status::unknown);
    follower_fixture fixture;
    fixture.complete_view();
    fixture.follower_.set_rank(1);
    fixture.clock_.advance(follower_settings{}.max_staleness_);
    CHECK(fixture.follower_.usable());
    fixture.clock_.advance(1s); // The node was frozen, or had no processor time.
    CHECK_FALSE(fixture.follower_.usable());
    REQUIRE_CALL(fixture.store_, changes_since(10U, _, _)).LR_SIDE_EFFECT(fixture.response_callback_ = _3);
    fixture.follower_.on_tick();
    CHECK_FALSE(fixture.follower_.usable());
    fixture.response_callback_({status, {}, 10, false});
    CHECK(fixture.follower_.usable());
    CHECK(fixture.follower_.overdue() == (status != store_status::ok));
}

TEST_CASE("a node that the store refuses does not go by an overdue view while a peer has a later one")
{
    follower_fixture fixture;
    fixture.complete_view();
    fixture.follower_.set_rank(1);
    ALLOW_CALL(fixture.store_, changes_since(10U, _, _)).LR_SIDE_EFFECT(fixture.response_callback_ = _3);
    fixture.clock_.advance(follower_settings{}.max_staleness_ + 1s);
    fixture.follower_.on_tick();
    fixture.response_callback_({store_status::unavailable, {}, 0, false});
    CHECK(fixture.follower_.usable()); // Nobody is known to have a later view.
    CHECK(fixture.follower_.on_peer_view(11, {}));
    CHECK_FALSE(fixture.follower_.usable());
    SECTION("until it has that view")
    {
        fixture.follower_.on_peer_changes({upstream("b", 11)}, false, 11, fixture.clock_.now() - 100ms);
        CHECK(fixture.follower_.usable());
    }
    SECTION("until no peer has said so for 2 s: it may be alone, like all nodes in an outage")
    {
        fixture.clock_.advance(2s);
        CHECK_FALSE(fixture.follower_.usable());
        fixture.clock_.advance(1ms);
        CHECK(fixture.follower_.usable());
    }
}

TEST_CASE("a time-out while the node had no processor time is no outage of the store, unless it happens "
          "again and again")
{
    follower_fixture fixture;
    fixture.complete_view();
    fixture.follower_.set_rank(1);
    fixture.clock_.advance(follower_settings{}.max_staleness_ + 1s);
    ALLOW_CALL(fixture.store_, changes_since(10U, _, _)).LR_SIDE_EFFECT(fixture.response_callback_ = _3);
    for (int i = 0; i < 3; ++i) {
        fixture.follower_.on_tick();
        fixture.clock_.advance(800ms); // No tick meanwhile.
        fixture.response_callback_({store_status::unknown, {}, 0, false});
        CHECK(fixture.follower_.store_reachable());
        CHECK_FALSE(fixture.follower_.usable());
    }
    fixture.follower_.on_tick();
    fixture.clock_.advance(800ms);
    fixture.response_callback_({store_status::unknown, {}, 0, false});
    CHECK_FALSE(fixture.follower_.store_reachable());
    CHECK(fixture.follower_.usable());
}

TEST_CASE("a node that does not follow the store reads it once its view is old, later the higher its rank")
{
    follower_fixture fixture;
    fixture.complete_view();
    fixture.follower_.set_rank(1);
    FORBID_CALL(fixture.store_, changes_since(_, _, _));
    fixture.clock_.advance(800ms);
    fixture.follower_.on_tick();
    fixture.follower_.set_rank(5);
    fixture.clock_.advance(150ms);
    fixture.follower_.on_tick();
    {
        REQUIRE_CALL(fixture.store_, changes_since(10U, duration{}, _))
            .LR_SIDE_EFFECT(fixture.response_callback_ = _3);
        fixture.clock_.advance(300ms);
        fixture.follower_.on_tick();
    }
}

TEST_CASE("a node does not read the store while peers confirm that its view is current")
{
    follower_fixture fixture;
    fixture.complete_view();
    fixture.follower_.set_rank(1);
    FORBID_CALL(fixture.store_, changes_since(_, _, _));
    for (int i = 0; i < 50; ++i) {
        fixture.clock_.advance(100ms);
        REQUIRE_FALSE(fixture.follower_.on_peer_view(10, fixture.clock_.now() - 200ms));
        fixture.follower_.on_tick();
    }
    REQUIRE(fixture.follower_.age() == 200ms);
}

TEST_CASE("a peer with a newer revision has changes to fetch, and only merging them makes the view current")
{
    follower_fixture fixture;
    fixture.complete_view();
    REQUIRE(fixture.follower_.on_peer_view(11, fixture.clock_.now()));
    REQUIRE(fixture.follower_.on_peer_view(11, fixture.clock_.now() + 1s));
    REQUIRE(fixture.follower_.age() == 0ms);
    fixture.clock_.advance(1s);
    fixture.follower_.on_peer_changes({upstream("a", 11, true)}, false, 11, fixture.clock_.now() - 100ms);
    REQUIRE(fixture.follower_.view().find(item_kind::upstream, "a") == nullptr);
    REQUIRE(fixture.follower_.age() == 100ms);
}

TEST_CASE("a later revision is reported with the peer that it came from and how late it can be")
{
    follower_fixture fixture;
    std::vector<view_update> updates;
    fixture.follower_.on_update([&](const view_update& update) { updates.push_back(update); });
    fixture.complete_view();
    CHECK(updates.empty()); // The first view replaces none.
    fixture.clock_.advance(900ms);
    const auto now = fixture.clock_.now();
    fixture.follower_.on_peer_changes({upstream("b", 11)}, false, 11, now - 20ms, {"n7", now - 150ms});
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].revision_ == 11);
    CHECK(updates[0].peer_ == "n7");
    CHECK(updates[0].changes_ == 1);
    CHECK(updates[0].age_before_ == 900ms);
    CHECK(updates[0].known_for_ == 150ms);
    fixture.clock_.advance(1s);
    CHECK(fixture.follower_.known_for() == 1150ms); // As told to the next node.
    fixture.follower_.on_peer_changes({upstream("b", 11)}, false, 11, now, {"n8", now});
    CHECK(updates.size() == 1); // No later revision.
}

TEST_CASE("a full read follows when the store no longer has the changes asked for")
{
    follower_fixture fixture;
    fixture.complete_view();
    {
        REQUIRE_CALL(fixture.store_, changes_since(10U, _, _))
            .LR_SIDE_EFFECT(fixture.response_callback_ = _3);
        fixture.follower_.on_tick();
    }
    const auto before = fixture.follower_.verified_at();
    fixture.clock_.advance(100ms);
    fixture.response_callback_({store_status::ok, {}, 0, true});
    REQUIRE(fixture.follower_.verified_at() == before);
    REQUIRE_CALL(fixture.store_, read_all(_)).LR_SIDE_EFFECT(fixture.response_callback_ = _1);
    fixture.follower_.on_tick();
    fixture.response_callback_({store_status::ok, {}, 20, false});
    REQUIRE(fixture.published_.back().deleted_);
}

TEST_CASE("an entry deleted right after an outage may have lapsed, one deleted at another time has not")
{
    follower_fixture fixture;
    fixture.complete_view();
    ALLOW_CALL(fixture.store_, changes_since(_, _, _)).LR_SIDE_EFFECT(fixture.response_callback_ = _3);
    fixture.follower_.on_tick();
    fixture.response_callback_({store_status::unavailable, {}, 0, false});
    fixture.clock_.advance(3s);
    fixture.follower_.on_tick();
    fixture.response_callback_({store_status::ok, {upstream("a", 11, true)}, 11, false});
    REQUIRE(fixture.published_.back().lapsed_);
    fixture.clock_.advance(10s);
    fixture.follower_.on_tick();
    fixture.response_callback_({store_status::ok, {upstream("b", 12), upstream("b", 13, true)}, 13, false});
    REQUIRE_FALSE(fixture.published_.back().lapsed_);
}

TEST_CASE("queries to an unreachable store back off")
{
    follower_fixture fixture;
    fixture.complete_view();
    int calls = 0;
    ALLOW_CALL(fixture.store_, changes_since(_, _, _))
        .LR_SIDE_EFFECT(fixture.response_callback_ = _3; ++calls);
    for (int i = 0; i < 200; ++i) { // 10 s
        fixture.follower_.on_tick();
        if (fixture.response_callback_) {
            auto respond = std::exchange(fixture.response_callback_, nullptr);
            respond({store_status::unavailable, {}, 0, false});
        }
        fixture.clock_.advance(view_follower::tick_period);
    }
    INFO("calls in 10 s: " << calls);
    REQUIRE(calls >= 8);
    REQUIRE(calls <= 25);
}

TEST_CASE("a response without changes but with a later revision proves nothing and causes a full read")
{
    follower_fixture fixture;
    fixture.complete_view();
    const auto before = fixture.follower_.verified_at();
    {
        REQUIRE_CALL(fixture.store_, changes_since(10U, _, _))
            .LR_SIDE_EFFECT(fixture.response_callback_ = _3);
        fixture.follower_.on_tick();
    }
    fixture.clock_.advance(600ms);
    fixture.response_callback_({store_status::ok, {}, 12, false});
    REQUIRE(fixture.follower_.verified_at() == before);
    REQUIRE(fixture.follower_.view().revision() == 10);
    REQUIRE_CALL(fixture.store_, read_all(_));
    fixture.follower_.on_tick();
}
