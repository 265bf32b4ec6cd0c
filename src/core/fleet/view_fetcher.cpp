// Chooses the peer to ask, and dates the view that a fetch brings from the moment at which it was asked for.
#include "core/fleet/view_fetcher.h"

#include <tuple>

namespace anvilpost {

void view_fetcher::on_later_view(const peer& from, std::uint64_t revision)
{
    offers_.insert_or_assign(from.name_, offer{from, revision, clock_.now()});
    start_due_fetch();
}

void view_fetcher::start_due_fetch()
{
    const auto now = clock_.now();
    std::erase_if(offers_, [&](const auto& item) {
        return item.second.revision_ <= own_revision() || now - item.second.heard_at_ > offer_retention;
    });
    const bool hedges = !fetches_.empty();
    if (fetches_.size() >= max_fetches || (hedges && now - last_started_ < hedge_delay)) {
        return;
    }
    const offer* best = nullptr;
    for (const auto& [name, known] : offers_) {
        const auto rank = [](const offer& each) { return std::tie(each.revision_, each.heard_at_); };
        if (!fetches_.contains(name) && (best == nullptr || rank(*best) < rank(known))) {
            best = &known;
        }
    }
    if (best == nullptr) {
        return;
    }
    const auto from = best->from_;
    fetches_[from.name_] = now;
    last_started_ = now;
    ++counters_.started_;
    peers_.fetch(from, own_revision(), fetch_timeout,
                 [this, from, now](const std::optional<view_message>& view) { on_view(from, now, view); });
}

void view_fetcher::on_view(const peer& from, time_point requested_at, const std::optional<view_message>& view)
{
    fetches_.erase(from.name_);
    if (view && view->format_ >= view_format) {
        follower_.on_peer_changes(view->items_, view->is_snapshot_, view->revision_,
                                  requested_at - view->age_, {from.name_, requested_at - view->known_for_});
    }
    else {
        ++counters_.failed_;
        offers_.erase(from.name_); // Until it repeats that it has a later view.
        if (on_failure_) {
            on_failure_(from, view ? fetch_failure::earlier_format : fetch_failure::no_response,
                        clock_.now() - requested_at);
        }
    }
    start_due_fetch();
}

} // namespace anvilpost
