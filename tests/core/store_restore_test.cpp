// Tests of a store that is restored from an older copy of its data: revisions go back and are given out again
// with other contents. Views must follow it, and nodes that learn of it at different times must agree again.
#include "core/fakes.h"
#include "core/fleet/view_follower.h"
#include "core/upstreams/upstream_registry.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

/// The store, with its history, and the copies that it can come back from. Calls wait until the test answers
/// them, in any order and at any later time.
class restorable_store : public registry_store_port {
public:
    void read_all(items_callback done) override { pending_.push_back({true, 0, std::move(done), {}}); }
    void changes_since(std::uint64_t revision, duration, items_callback done) override
    {
        pending_.push_back({false, revision, std::move(done), {}});
    }

    void put(const std::string& name, const std::string& value)
    {
        items_[name] = {value, ++number_};
        history_.push_back({item_kind::upstream, name, value, make_revision(epoch_, number_), false, false});
    }
    void erase(const std::string& name)
    {
        if (items_.erase(name) > 0) {
            ++number_;
            history_.push_back({item_kind::upstream, name, "", make_revision(epoch_, number_), true, false});
        }
    }
    void take_copy() { copy_ = {items_, number_}; }
    void restore()
    {
        ++epoch_;
        items_ = copy_.first;
        number_ = copy_.second;
        history_.clear();
        history_from_ = number_;
    }

    /// Serves the oldest call now, but keeps its response until `deliver`.
    void serve()
    {
        for (auto& call : pending_) {
            if (!call.response_) {
                call.response_ = call.is_full_read_ ? full() : changes(call.after_);
                return;
            }
        }
    }

    void deliver(std::size_t position)
    {
        if (pending_.empty()) {
            return;
        }
        const auto chosen = pending_.begin() + static_cast<std::ptrdiff_t>(position % pending_.size());
        if (chosen->response_) {
            const auto call = *chosen;
            pending_.erase(chosen);
            call.done_(*call.response_);
        }
    }

    [[nodiscard]] std::map<std::string, std::string> contents() const
    {
        std::map<std::string, std::string> found;
        for (const auto& [name, stored] : items_) {
            found[name] = stored.first;
        }
        return found;
    }
    [[nodiscard]] bool idle() const { return pending_.empty(); }

private:
    struct pending_call {
        bool is_full_read_ = false;
        std::uint64_t after_ = 0;
        items_callback done_;
        std::optional<items_result> response_;
    };

    [[nodiscard]] items_result full() const
    {
        items_result result{store_status::ok, {}, make_revision(epoch_, number_), false};
        for (const auto& [name, stored] : items_) {
            result.items_.push_back({item_kind::upstream, name, stored.first,
                                     make_revision(epoch_, stored.second), false, false});
        }
        return result;
    }

    [[nodiscard]] items_result changes(std::uint64_t after) const
    {
        items_result result{store_status::ok, {}, make_revision(epoch_, number_), false};
        if (epoch_of(after) != epoch_ || number_of(after) < history_from_) {
            result.history_lost_ = true;
            return result;
        }
        for (const auto& change : history_) {
            if (change.revision_ > after) {
                result.items_.push_back(change);
            }
        }
        return result;
    }

    std::map<std::string, std::pair<std::string, std::uint64_t>> items_;
    std::pair<std::map<std::string, std::pair<std::string, std::uint64_t>>, std::uint64_t> copy_{{}, 10};
    std::vector<stored_item> history_;
    std::uint64_t epoch_ = 0;
    std::uint64_t number_ = 10;
    std::uint64_t history_from_ = 10;
    std::vector<pending_call> pending_;
};

std::map<std::string, std::string> contents_of(const view_follower& follower)
{
    std::map<std::string, std::string> found;
    for (const auto* item : follower.view().all(item_kind::upstream)) {
        found[item->name_] = item->value_;
    }
    return found;
}

/// Passes on what `from` knows, as one node does that asked another for its view.
void send_view(const view_follower& from, view_follower& to, time_point now)
{
    if (!from.complete() || !to.on_peer_view(from.view().revision(), from.verified_at())) {
        return;
    }
    bool is_snapshot = false;
    const auto changes = from.view().changes_after(to.complete() ? to.view().revision() : 0, is_snapshot);
    to.on_peer_changes(changes, is_snapshot, from.view().revision(), std::min(now, from.verified_at()));
}

} // namespace

TEST_CASE(
    "views agree with a store that is restored at any moment, whatever is in flight and whoever knows it")
{
    const bool holds = rc::check("views of a restored store", [] {
        manual_clock clock;
        split_mix random;
        restorable_store store;
        view_follower reader(store, clock, random, {});
        view_follower second_reader(store, clock, random, {});
        second_reader.set_rank(1);
        unsigned next_value = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 60));
        for (const int step : steps) {
            const std::string name = "u" + std::to_string(step % 4);
            switch (step / 5) {
            case 0:
            case 1:
            case 2: store.put(name, std::to_string(++next_value)); break;
            case 3: store.erase(name); break;
            case 4: store.take_copy(); break;
            case 5: store.restore(); break;
            case 6: store.serve(); break;
            case 7: store.deliver(static_cast<std::size_t>(step)); break;
            case 8: send_view(reader, second_reader, clock.now()); break;
            case 9: send_view(second_reader, reader, clock.now()); break;
            default: clock.advance(400ms); break;
            }
            reader.on_tick();
            second_reader.on_tick();
        }
        for (int i = 0; i < 20; ++i) {
            clock.advance(1s);
            store.serve();
            store.serve();
            store.deliver(0);
            store.deliver(0);
            reader.on_tick();
            second_reader.on_tick();
            send_view(reader, second_reader, clock.now());
        }
        RC_ASSERT(contents_of(reader) == store.contents());
        RC_ASSERT(contents_of(second_reader) == store.contents());
    });
    CHECK(holds);
}

TEST_CASE("entries that a restored store lacks may come back: they are kept for the grace period")
{
    manual_clock clock;
    split_mix random;
    restorable_store store;
    view_follower follower(store, clock, random, {});
    std::vector<stored_item> published;
    follower.on_change([&](const std::vector<stored_item>& changes) { published = changes; });
    const auto exchange = [&] {
        follower.on_tick();
        store.serve();
        store.deliver(0);
        clock.advance(200ms);
    };
    store.put("u1", "first");
    store.take_copy();
    store.put("u2", "first");
    exchange();
    REQUIRE(published.size() == 2);
    store.restore();
    exchange(); // Learns that the history is lost.
    exchange();
    CHECK(follower.counters().store_restores_ == 1);
    const auto gone = std::find_if(published.begin(), published.end(),
                                   [](const stored_item& item) { return item.name_ == "u2"; });
    REQUIRE(gone != published.end());
    CHECK(gone->deleted_);
    CHECK(gone->lapsed_);
    store.put("u2", "first");
    exchange();
    CHECK(contents_of(follower) == store.contents());
}
