// Tests of store_view, a node's copy of the store, and of the message that carries it to other nodes.
#include "core/fleet/store_view.h"
#include "core/fleet/view_messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace anvilpost;
using namespace std::chrono_literals;

namespace {

stored_item upstream(const std::string& name, std::uint64_t revision, bool deleted = false)
{
    return {
        item_kind::upstream, name, deleted ? "" : "v" + std::to_string(revision), revision, deleted, false};
}

} // namespace

TEST_CASE("a view message with a negative age or an unknown kind of item is rejected")
{
    const auto bytes =
        encode(view_message{7, 20ms, true, {{item_kind::upstream, "u1", "x", 7, false, false}}});
    const auto document = nlohmann::json::from_cbor(bytes);
    const auto accepted = [](const nlohmann::json& changed) {
        const auto encoded = nlohmann::json::to_cbor(changed);
        return decode_view_message({encoded.begin(), encoded.end()}).has_value();
    };
    REQUIRE(accepted(document));
    auto negative_age = document;
    negative_age["age"] = -1;
    CHECK_FALSE(accepted(negative_age));
    auto unknown_kind = document;
    unknown_kind["items"][0][0] = 17;
    CHECK_FALSE(accepted(unknown_kind));
}

TEST_CASE("an item is not replaced by an older revision of it")
{
    store_view view;
    view.apply({upstream("a", 5)}, 5);
    REQUIRE(view.apply({upstream("a", 4)}, 4).empty());
    REQUIRE(view.find(item_kind::upstream, "a")->revision_ == 5);
    REQUIRE(view.revision() == 5);
}

TEST_CASE("a deleted item is not restored by an older revision of it")
{
    store_view view;
    view.apply({upstream("a", 5)}, 5);
    view.apply({upstream("a", 7, true)}, 7);
    REQUIRE(view.apply({upstream("a", 6)}, 6).empty());
    REQUIRE(view.find(item_kind::upstream, "a") == nullptr);
}

TEST_CASE("a full read deletes items that it lacks, except those written after it began")
{
    store_view view;
    view.apply({upstream("old", 3)}, 3);
    view.apply({upstream("new", 12)}, 0); // From a peer; what came before it is not known here.
    const auto updates = view.replace({upstream("kept", 4)}, 10);
    REQUIRE(updates.size() == 2);
    REQUIRE(view.find(item_kind::upstream, "old") == nullptr);
    REQUIRE(view.find(item_kind::upstream, "new") != nullptr);
}

TEST_CASE("changes after a revision, deletions included, bring another view up to date")
{
    store_view view;
    store_view other;
    view.apply({upstream("a", 1), upstream("b", 2)}, 2);
    bool is_snapshot = false;
    other.replace(view.changes_after(0, is_snapshot), view.revision());
    REQUIRE(is_snapshot);
    view.apply({upstream("a", 3, true), upstream("c", 4)}, 4);
    const auto changes = view.changes_after(other.revision(), is_snapshot);
    REQUIRE_FALSE(is_snapshot);
    other.apply(changes, view.revision());
    REQUIRE(other.find(item_kind::upstream, "a") == nullptr);
    REQUIRE(other.find(item_kind::upstream, "c") != nullptr);
    REQUIRE(other.revision() == 4);
}

TEST_CASE("a view message is decoded as it was encoded, with its age rounded up to milliseconds")
{
    const view_message sent{7, 1500us, true, {upstream("a", 3), upstream("b", 7, true)}};
    const auto received = decode_view_message(encode(sent));
    REQUIRE(received.has_value());
    REQUIRE(received->revision_ == 7);
    REQUIRE(received->age_ == 2ms);
    REQUIRE(received->items_ == sent.items_);
    REQUIRE_FALSE(decode_view_message("no message").has_value());
}

TEST_CASE("a full read that arrives after a later view from a peer brings back no upstream that was deleted")
{
    store_view view;
    view.replace({{item_kind::upstream, "u1", "one", 5, false, false}}, 20);
    const auto updates = view.replace({{item_kind::upstream, "u1", "one", 5, false, false},
                                       {item_kind::upstream, "u2", "two", 8, false, false}},
                                      10);
    CHECK(updates.empty());
    CHECK(view.find(item_kind::upstream, "u2") == nullptr);
    CHECK(view.revision() == 20);
}

TEST_CASE("a view that skipped history by a full read does not pass on changes from before as if it knew all")
{
    store_view reader;
    reader.replace({{item_kind::upstream, "u1", "one", 5, false, false}}, 6);
    store_view other;
    other.replace({{item_kind::upstream, "u1", "one", 5, false, false},
                   {item_kind::upstream, "u2", "two", 8, false, false}},
                  10);
    // The history is lost, and u2 was deleted at 12: the reader never hears of it.
    reader.replace({{item_kind::upstream, "u1", "one", 5, false, false}}, 20);
    bool is_snapshot = false;
    const auto changes = reader.changes_after(other.revision(), is_snapshot);
    CHECK(is_snapshot);
    other.replace(changes, reader.revision());
    CHECK(other.find(item_kind::upstream, "u2") == nullptr);
    CHECK(other.find(item_kind::upstream, "u1") != nullptr);
    CHECK(reader.changes_after(20, is_snapshot).empty());
    CHECK_FALSE(is_snapshot);
}

TEST_CASE("a snapshot tells which items may only have lapsed")
{
    store_view reader;
    reader.replace({{item_kind::upstream, "u1", "one", 5, false, false}}, 6);
    store_view other = reader;
    reader.replace({}, 20, true);
    bool is_snapshot = false;
    const auto updates = other.replace(reader.changes_after(other.revision(), is_snapshot), 20);
    CHECK(is_snapshot);
    REQUIRE(updates.size() == 1);
    CHECK(updates.front().deleted_);
    CHECK(updates.front().lapsed_);
}
