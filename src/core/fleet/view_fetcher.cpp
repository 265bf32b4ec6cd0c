// Runs one fetch at a time, and dates the view that it brings from the moment at which it was asked for.
#include "core/fleet/view_fetcher.h"

namespace anvilpost {

void view_fetcher::on_later_view(const peer& from)
{
    if (fetching_) {
        return;
    }
    fetching_ = true;
    ++counters_.started_;
    const auto after = follower_.complete() ? follower_.view().revision() : 0;
    peers_.fetch(from, after, fetch_timeout,
                 [this, from, requested_at = clock_.now()](const std::optional<view_message>& view) {
                     on_view(from, requested_at, view);
                 });
}

void view_fetcher::on_view(const peer& from, time_point requested_at, const std::optional<view_message>& view)
{
    fetching_ = false;
    if (!view || view->format_ < view_format) {
        ++counters_.failed_;
        if (on_failure_) {
            on_failure_(from, view ? fetch_failure::earlier_format : fetch_failure::no_response,
                        clock_.now() - requested_at);
        }
        return;
    }
    follower_.on_peer_changes(view->items_, view->is_snapshot_, view->revision_, requested_at - view->age_,
                              {from.name_, requested_at - view->known_for_});
}

} // namespace anvilpost
