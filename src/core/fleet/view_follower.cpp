// Decides when to query the store, and up to which moment an answer proves that the view was current.
#include "core/fleet/view_follower.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Age of the view, as a share of the staleness bound, at which the node of rank 1 reads the store; each
/// further rank waits one step longer, up to the last share. What is left of the bound covers a slow query
/// and relaying the changes.
constexpr double first_read_part = 0.45;
constexpr double read_step_part = 0.02;
constexpr double last_read_part = 0.6;

/// Exponential backoff after failed queries: every query is counted, refused ones too.
constexpr duration first_pause = 100ms;
constexpr duration longest_pause = 800ms;

/// An outage of at least this length may have let leases expire.
constexpr duration shortest_lapse = 1s;

duration part_of(duration whole, double part)
{
    return duration(static_cast<duration::rep>(static_cast<double>(whole.count()) * part));
}

} // namespace

view_follower::view_follower(registry_store_port& store, const clock_port& clock, random_port& random,
                             const follower_terms& terms)
    : store_(store), clock_(clock), random_(random), terms_(terms)
{
}

void view_follower::wait_for_peers(duration longest)
{
    next_call_ = clock_.now() + longest;
}

duration view_follower::age_at_which_to_read() const
{
    const double part =
        std::min(last_read_part, first_read_part + read_step_part * static_cast<double>(rank_ - 1));
    return part_of(terms_.bound_, part);
}

void view_follower::on_tick()
{
    if (call_under_way_ || clock_.now() < next_call_) {
        return;
    }
    if (!complete_ || whole_read_due_) {
        read_all();
        return;
    }
    if (rank_ == 0) {
        read_changes(terms_.watch_time_);
    }
    else if (age() > age_at_which_to_read()) {
        read_changes({});
    }
}

void view_follower::read_all()
{
    call_under_way_ = true;
    ++counters_.store_calls_;
    ++counters_.whole_reads_;
    store_.read_all(
        [this, started = clock_.now()](const items_result& result) { on_whole(result, started); });
}

void view_follower::read_changes(duration longest)
{
    call_under_way_ = true;
    ++counters_.store_calls_;
    store_.changes_since(view_.revision(), longest,
                         [this, started = clock_.now(), longest](const items_result& result) {
                             on_changes(result, started, longest);
                         });
}

/// Records the begin and end of outages, and sets the earliest time of the next query.
void view_follower::on_store_answer(store_status status)
{
    call_under_way_ = false;
    const auto now = clock_.now();
    if (status == store_status::ok) {
        failures_in_a_row_ = 0;
        if (!store_reachable_) {
            was_away_ = now - away_since_ >= shortest_lapse;
            returned_at_ = now;
        }
        store_reachable_ = true;
        next_call_ = now;
        return;
    }
    ++counters_.store_failures_;
    if (store_reachable_) {
        away_since_ = now;
    }
    store_reachable_ = false;
    const auto pause = std::min(longest_pause, first_pause * (1 << std::min(failures_in_a_row_, 4)));
    ++failures_in_a_row_;
    next_call_ = now + part_of(pause, 0.5 + random_unit(random_));
}

bool view_follower::lapses_are_likely() const
{
    return was_away_ && clock_.now() - returned_at_ <= terms_.lapse_grace_;
}

void view_follower::on_whole(const items_result& result, time_point started)
{
    on_store_answer(result.status_);
    if (result.status_ != store_status::ok) {
        return;
    }
    whole_read_due_ = false;
    complete_ = true;
    const auto news = view_.replace(result.items_, result.revision_, lapses_are_likely());
    verified_at_ = std::max(verified_at_, started);
    publish(news);
}

void view_follower::on_changes(const items_result& result, time_point started, duration waited)
{
    on_store_answer(result.status_);
    if (result.status_ != store_status::ok) {
        return;
    }
    if (result.history_lost_) {
        whole_read_due_ = true;
        return;
    }
    auto changes = result.items_;
    for (auto& change : changes) {
        change.lapsed_ = change.deleted_ && lapses_are_likely();
    }
    const bool waited_in_vain = changes.empty() && result.revision_ <= view_.revision();
    if (changes.empty() && !waited_in_vain) {
        // The revision grew although no change was returned, as when the store's watch misses changes.
        whole_read_due_ = true;
        return;
    }
    const auto news = view_.apply(changes, result.revision_);
    verified_at_ = std::max(verified_at_, started + (waited_in_vain ? waited : duration{}));
    if (!changes.empty()) {
        next_call_ = clock_.now() + terms_.batch_pause_;
    }
    publish(news);
}

bool view_follower::on_peer_view(std::uint64_t revision, time_point verified_at)
{
    if (!complete_ || revision > view_.revision()) {
        return revision > 0;
    }
    verified_at_ = std::max(verified_at_, verified_at);
    return false;
}

void view_follower::on_peer_changes(const std::vector<stored_item>& changes, bool whole,
                                    std::uint64_t revision, time_point verified_at)
{
    if (!whole && !complete_) {
        return;
    }
    const auto news = whole ? view_.replace(changes, revision) : view_.apply(changes, revision);
    complete_ = true;
    counters_.changes_from_peers_ += news.size();
    verified_at_ = std::max(verified_at_, verified_at);
    publish(news);
}

void view_follower::publish(const std::vector<stored_item>& news)
{
    if (!news.empty() && listener_) {
        listener_(news);
    }
}

} // namespace anvilpost
