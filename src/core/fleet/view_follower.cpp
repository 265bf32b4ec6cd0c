// Decides when to query the store, and up to which moment a response proves that the view was current.
#include "core/fleet/view_follower.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Age of the view, as a share of the staleness bound, at which the node of rank 1 reads the store; each
/// further rank waits one step longer, up to the last share. What is left of the bound covers a slow query
/// and relaying the changes.
constexpr double first_read_age_share = 0.45;
constexpr double read_age_step_share = 0.02;
constexpr double last_read_age_share = 0.6;

/// Time without a response, as a share of the staleness bound, after which the store is asked once more
/// beside the call that waits. A lost response would otherwise be noticed only after its time-out, and the
/// view be older than the bound before the next one.
constexpr double second_call_share = 0.1;

/// Exponential backoff after failed queries, since a refused query counts as a store call too.
constexpr duration initial_backoff = 100ms;
constexpr duration max_backoff = 800ms;

/// A later tick than this means that this node was frozen or had no processor time. A time-out that ran
/// meanwhile says nothing of the store, except after several in a row.
constexpr duration max_tick_gap = 150ms;
constexpr int max_own_delays = 3;

/// What a call told of the access to the store counts for this long.
constexpr duration answer_retention = 3s;
constexpr duration refusal_retention = 10s;

/// A peer's statement that it has a later view counts for this long. Peers repeat it at least once a second.
constexpr duration later_view_retention = 2s;

/// An outage of at least this length may have let leases expire.
constexpr duration min_outage_for_lapses = 1s;

duration scaled(duration length, double share)
{
    return duration(static_cast<duration::rep>(static_cast<double>(length.count()) * share));
}

} // namespace

view_follower::view_follower(registry_store_port& store, const clock_port& clock, random_port& random,
                             const follower_settings& settings)
    : store_(store), clock_(clock), random_(random), settings_(settings)
{
}

void view_follower::wait_for_peers(duration max_wait)
{
    next_call_ = clock_.now() + max_wait;
}

duration view_follower::age_before_read() const
{
    const double share = std::min(
        last_read_age_share, first_read_age_share + read_age_step_share * static_cast<double>(rank_ - 1));
    return scaled(settings_.max_staleness_, share);
}

void view_follower::on_tick()
{
    const auto now = clock_.now();
    if (last_tick_ != time_point{} && now - last_tick_ > max_tick_gap) {
        last_late_tick_ = now;
    }
    last_tick_ = now;
    if (calls_pending_ > 0 && now >= response_due_ && !response_overdue_) {
        response_overdue_ = true;
        last_failure_ = now;
    }
    if (!may_call()) {
        return;
    }
    if (!complete_ || full_read_due_) {
        read_all();
        return;
    }
    if (rank_ == 0) {
        // A store that may refuse this node is asked for an answer at once.
        read_changes(access() == store_access::answers ? settings_.watch_timeout_ : duration{});
    }
    else if (age() > age_before_read()) {
        read_changes({});
    }
}

bool view_follower::may_call() const
{
    const auto now = clock_.now();
    if (calls_pending_ == 1) {
        return store_reachable_ && now >= response_due_;
    }
    return calls_pending_ == 0 && now >= next_call_;
}

void view_follower::begin_call(duration max_wait)
{
    ++calls_pending_;
    ++counters_.store_calls_;
    response_due_ = clock_.now() + max_wait + scaled(settings_.max_staleness_, second_call_share);
}

void view_follower::read_all()
{
    begin_call({});
    ++counters_.full_reads_;
    store_.read_all(
        [this, started = clock_.now()](const items_result& result) { on_full_read(result, started); });
}

void view_follower::read_changes(duration max_wait)
{
    begin_call(max_wait);
    store_.changes_since(view_.revision(), max_wait,
                         [this, started = clock_.now(), max_wait](const items_result& result) {
                             on_changes(result, started, max_wait);
                         });
}

/// Records the start and end of outages, and sets the earliest time of the next query.
void view_follower::on_store_response(store_status status, time_point started)
{
    --calls_pending_;
    const auto now = clock_.now();
    if (status == store_status::ok) {
        response_overdue_ = false;
        last_success_ = now;
        consecutive_failures_ = 0;
        consecutive_own_delays_ = 0;
        last_answered_ = std::max(last_answered_, started);
        if (!store_reachable_) {
            long_outage_ = now - outage_began_ >= min_outage_for_lapses;
            outage_ended_ = now;
        }
        store_reachable_ = true;
        next_call_ = now;
        return;
    }
    ++counters_.store_failures_;
    if (started < last_answered_) {
        return; // A later call was answered.
    }
    if (own_delay(status, started) && consecutive_own_delays_ < max_own_delays) {
        ++consecutive_own_delays_;
        next_call_ = now;
        return;
    }
    if (store_reachable_) {
        outage_began_ = now;
    }
    store_reachable_ = false;
    last_failure_ = now;
    const auto backoff = std::min(max_backoff, initial_backoff * (1 << std::min(consecutive_failures_, 4)));
    ++consecutive_failures_;
    next_call_ = now + scaled(backoff, 0.5 + random_unit(random_));
}

bool view_follower::own_delay(store_status status, time_point started) const
{
    const bool late_now = clock_.now() - last_tick_ > max_tick_gap;
    return status == store_status::unknown && store_reachable_ && (late_now || last_late_tick_ > started);
}

store_access view_follower::access() const
{
    const auto now = clock_.now();
    if ((!store_reachable_ || response_overdue_) && now - last_failure_ <= refusal_retention) {
        return store_access::refuses;
    }
    const bool answered = last_success_ != time_point{} && now - last_success_ <= answer_retention;
    return store_reachable_ && answered ? store_access::answers : store_access::unknown;
}

bool view_follower::leases_may_have_lapsed() const
{
    return long_outage_ && clock_.now() - outage_ended_ <= settings_.lapse_grace_;
}

void view_follower::on_full_read(const items_result& result, time_point started)
{
    on_store_response(result.status_, started);
    if (result.status_ != store_status::ok) {
        return;
    }
    full_read_due_ = false;
    const bool restored = complete_ && epoch_of(result.revision_) > epoch_of(view_.revision());
    if (restored) {
        // Entries that are missing now were written after the copy was taken; their upstreams write them
        // again.
        ++counters_.store_restores_;
        long_outage_ = true;
        outage_ended_ = clock_.now();
    }
    const auto before = complete_ ? view_.revision() : 0;
    const auto age_before = age();
    complete_ = true;
    const auto updates = view_.replace(result.items_, result.revision_, leases_may_have_lapsed());
    verified_at_ = std::max(verified_at_, started);
    report_update(before, age_before, updates.size(), {"", clock_.now()});
    publish(updates);
}

void view_follower::on_changes(const items_result& result, time_point started, duration wait)
{
    on_store_response(result.status_, started);
    if (result.status_ != store_status::ok) {
        return;
    }
    if (result.history_lost_) {
        full_read_due_ = true;
        return;
    }
    auto changes = result.items_;
    for (auto& change : changes) {
        change.lapsed_ = change.deleted_ && leases_may_have_lapsed();
    }
    const bool unchanged = changes.empty() && result.revision_ <= view_.revision();
    if (changes.empty() && !unchanged) {
        // The revision grew although no change was returned, as when the store's watch misses changes.
        full_read_due_ = true;
        return;
    }
    const auto before = view_.revision();
    const auto age_before = age();
    const auto updates = view_.apply(changes, result.revision_);
    // An empty response that came back before the wait had passed proves only that the call was read.
    const bool waited = clock_.now() - started >= wait;
    verified_at_ = std::max(verified_at_, started + (unchanged && waited ? wait : duration{}));
    if (!changes.empty()) {
        next_call_ = clock_.now() + settings_.batch_pause_;
    }
    report_update(before, age_before, updates.size(), {"", clock_.now()});
    publish(updates);
}

bool view_follower::on_peer_view(std::uint64_t revision, time_point verified_at)
{
    if (!complete_ || revision > view_.revision()) {
        latest_peer_revision_ = std::max(latest_peer_revision_, revision);
        later_view_heard_ = clock_.now();
        return revision > 0;
    }
    verified_at_ = std::max(verified_at_, verified_at);
    return false;
}

bool view_follower::peer_has_later_view() const
{
    return latest_peer_revision_ > view_.revision() &&
           clock_.now() - later_view_heard_ <= later_view_retention;
}

void view_follower::on_peer_changes(const std::vector<stored_item>& changes, bool is_snapshot,
                                    std::uint64_t revision, time_point verified_at, const view_origin& origin)
{
    if (!is_snapshot && !complete_) {
        return;
    }
    const bool restored = epoch_of(revision) > epoch_of(view_.revision());
    const auto before = complete_ ? view_.revision() : 0;
    const auto age_before = age();
    const auto updates =
        is_snapshot ? view_.replace(changes, revision, restored) : view_.apply(changes, revision);
    complete_ = true;
    counters_.changes_from_peers_ += updates.size();
    verified_at_ = std::max(verified_at_, verified_at);
    report_update(before, age_before, updates.size(), origin);
    publish(updates);
}

void view_follower::report_update(std::uint64_t before, duration age_before, std::size_t changes,
                                  const view_origin& origin)
{
    if (view_.revision() <= before) {
        return;
    }
    known_since_ = origin.known_since_;
    revision_from_ = origin.peer_;
    // The first view of a node that has just started replaces none.
    if (before != 0 && update_listener_) {
        update_listener_({view_.revision(), origin.peer_, changes, age_before, known_for()});
    }
}

void view_follower::publish(const std::vector<stored_item>& updates)
{
    if (!updates.empty() && listener_) {
        listener_(updates);
    }
}

} // namespace anvilpost
