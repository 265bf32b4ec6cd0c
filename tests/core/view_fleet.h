// A fleet in virtual time whose nodes learn the changes of a store from it and from each other. Each node has
// the real gossip exchange, view follower and view fetcher; only the store, the network and the calls are
// replaced.
#pragma once

#include "core/event_clock.h"
#include "core/fleet/peer_exchange.h"
#include "core/fleet/view_fetcher.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// How the store treats a node's calls: `busy` answers that it does nothing now, `reset` breaks the
/// connection off, `silent` never answers.
enum class store_treatment { serves, busy, reset, silent };

/// Time from a node to the store or back, and after which a call is given up.
inline constexpr duration store_way = 2ms;
inline constexpr duration call_timeout = 700ms;

/// The store: each change gets the next revision. Calls of refused nodes fail while it serves the others.
class changing_store {
public:
    using callback = registry_store_port::items_callback;

    explicit changing_store(event_clock& time) : time_(time) {}

    void write();
    void treat(const std::string& node, store_treatment how);
    [[nodiscard]] store_treatment treatment_of(const std::string& node) const;
    /// `link_queue` is the time that each packet of the caller waits at its link.
    void query(const std::string& node, std::uint64_t after, duration wait, duration link_queue,
               callback done);

    [[nodiscard]] std::uint64_t revision() const { return written_at_.size(); }
    [[nodiscard]] time_point written_at(std::uint64_t revision) const { return written_at_.at(revision - 1); }

    /// Returns the last revision that was written at `moment` or earlier; 0 for none.
    [[nodiscard]] std::uint64_t revision_at(time_point moment) const;

    std::uint64_t calls_ = 0;

private:
    struct watch {
        std::string node_;
        std::uint64_t after_ = 0;
        callback done_;
    };

    void answer_watch(std::uint64_t number);
    [[nodiscard]] items_result changes_after(std::uint64_t revision) const;

    event_clock& time_;
    std::vector<time_point> written_at_; ///< By revision, from 1.
    std::map<std::string, store_treatment> treatments_;
    std::map<std::uint64_t, watch> watches_;
    std::uint64_t last_watch_ = 0;
};

/// One node's calls to the store.
class node_store : public registry_store_port {
public:
    node_store(changing_store& store, std::string node, const duration& link_queue)
        : store_(store), node_(std::move(node)), link_queue_(link_queue)
    {
    }

    void read_all(items_callback done) override { store_.query(node_, 0, {}, link_queue_, std::move(done)); }
    void changes_since(std::uint64_t revision, duration longest, items_callback done) override
    {
        store_.query(node_, revision, longest, link_queue_, std::move(done));
    }

private:
    changing_store& store_;
    std::string node_;
    const duration& link_queue_;
};

class view_fleet;

/// One lifetime of a node.
struct view_node : public datagram_port, public peer_view_port {
    view_node(view_fleet& fleet, const peer& self);

    void send(const std::string& ip, std::uint16_t port, const std::string& bytes) override;
    void fetch(const peer& from, std::uint64_t after_revision, duration timeout, view_callback done) override;
    void tick();

    view_fleet& fleet_;
    split_mix random_;
    recording_upstreams upstreams_;
    recording_callers callers_;
    recording_claims claims_;
    recording_observer observer_;
    duration link_queue_{}; ///< Time that what this node sends waits at its link.
    node_store store_;
    call_engine engine_;
    view_follower follower_;
    peer_exchange exchange_;
    view_fetcher fetcher_;
    time_point started_at_;
    bool alive_ = true;
    std::uint64_t next_revision_ = 1; ///< The first revision that the node does not have yet.
};

struct view_fleet_settings {
    std::size_t nodes_ = 48;
    std::size_t data_centres_ = 3;
    duration bound_ = std::chrono::milliseconds(2500);
    std::uint64_t seed_ = 1;
    double datagram_loss_ = 0;   ///< Share of the datagrams between data centres that are lost.
    double hanging_fetches_ = 0; ///< Share of the fetches that are never answered.
};

class view_fleet {
public:
    explicit view_fleet(const view_fleet_settings& settings);

    void run(duration length);

    /// Leaders of the data centres, in any order, as most nodes see them.
    [[nodiscard]] std::vector<std::string> leaders() const;

    /// Lets the store refuse the leaders and then random nodes, until `share` of the nodes are refused.
    void refuse_share(double share, store_treatment how);
    void serve_all();

    void kill(const std::string& node);
    void restart(const std::string& node);
    [[nodiscard]] std::vector<std::string> live_nodes() const;
    [[nodiscard]] view_node& node(const std::string& name) { return *current_.at(name); }
    [[nodiscard]] duration link_time(const view_node& from, const view_node& to) const;
    [[nodiscard]] view_node* find(const std::string& ip);

    /// Longest time from a write until a node that lived all the while had it, of all writes since `since`.
    [[nodiscard]] duration longest_delay(time_point since) const;

    view_fleet_settings settings_;
    event_clock time_;
    split_mix random_;
    changing_store store_{time_};
    int stale_decisions_ = 0;   ///< Checks at which a node would have decided by a view older than the bound.
    duration stalest_{};        ///< Greatest age of a change that such a view lacked.
    duration longest_spread_{}; ///< Longest time from the first node's update to another one's.
    int checks_ = 0;
    int unusable_ = 0; ///< Checks at which a node with a view would not have decided.

private:
    void add(const std::string& name, std::size_t data_centre, std::uint64_t incarnation);
    void check(const view_node& checked);
    void record_delays(view_node& updated);

    friend struct view_node;

    std::vector<std::unique_ptr<view_node>> lifetimes_; ///< Those that ended too: events refer to them.
    std::map<std::string, view_node*> current_;
    std::map<std::string, view_node*> by_ip_;
    std::vector<duration> delays_; ///< By revision, from 1; the longest of all nodes.
};

inline void changing_store::write()
{
    written_at_.push_back(time_.now());
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, unused] : watches_) {
        waiting.push_back(number);
    }
    for (const auto number : waiting) {
        answer_watch(number);
    }
}

inline store_treatment changing_store::treatment_of(const std::string& node) const
{
    const auto found = treatments_.find(node);
    return found == treatments_.end() ? store_treatment::serves : found->second;
}

inline void changing_store::treat(const std::string& node, store_treatment how)
{
    treatments_[node] = how;
    if (how != store_treatment::busy && how != store_treatment::reset) {
        return;
    }
    std::erase_if(watches_, [&](const auto& item) {
        const bool cut = item.second.node_ == node;
        if (cut) {
            time_.after(1ms, [done = item.second.done_] { done({store_status::unknown, {}, 0, false}); });
        }
        return cut;
    });
}

inline void changing_store::query(const std::string& node, std::uint64_t after, duration wait,
                                  duration link_queue, callback done)
{
    ++calls_;
    // Connecting waits at the link once, and the request once more.
    const duration there = 2 * link_queue + store_way;
    if (there >= call_timeout) {
        time_.after(wait + call_timeout, [done] { done({store_status::unknown, {}, 0, false}); });
        return;
    }
    switch (treatment_of(node)) {
    case store_treatment::serves: break;
    case store_treatment::busy:
        time_.after(there + store_way, [done] { done({store_status::unavailable, {}, 0, false}); });
        return;
    case store_treatment::reset:
        time_.after(there, [done] { done({store_status::unknown, {}, 0, false}); });
        return;
    case store_treatment::silent:
        time_.after(wait + call_timeout, [done] { done({store_status::unknown, {}, 0, false}); });
        return;
    }
    time_.after(there, [this, node, after, wait, done] {
        const auto number = ++last_watch_;
        watches_[number] = {node, after, done};
        if (revision() > after || wait == duration{}) {
            answer_watch(number);
            return;
        }
        time_.after(wait, [this, number] { answer_watch(number); });
        time_.after(wait + call_timeout, [this, number] {
            if (const auto hung = watches_.find(number); hung != watches_.end()) {
                const auto give_up = hung->second.done_;
                watches_.erase(hung);
                give_up({store_status::unknown, {}, 0, false});
            }
        });
    });
}

inline void changing_store::answer_watch(std::uint64_t number)
{
    const auto found = watches_.find(number);
    if (found == watches_.end() || treatment_of(found->second.node_) != store_treatment::serves) {
        return;
    }
    const auto answered = found->second;
    watches_.erase(found);
    time_.after(store_way,
                [done = answered.done_, result = changes_after(answered.after_)] { done(result); });
}

inline items_result changing_store::changes_after(std::uint64_t revision) const
{
    items_result result{store_status::ok, {}, this->revision(), false};
    for (std::uint64_t next = revision + 1; next <= this->revision(); ++next) {
        result.items_.push_back({item_kind::upstream, "u" + std::to_string(next), "", next, false, false});
    }
    return result;
}

inline std::uint64_t changing_store::revision_at(time_point moment) const
{
    const auto later = std::upper_bound(written_at_.begin(), written_at_.end(), moment);
    return static_cast<std::uint64_t>(later - written_at_.begin());
}

inline view_node::view_node(view_fleet& fleet, const peer& self)
    : fleet_(fleet), random_(fleet.random_.next()), store_(fleet.store_, self.name_, link_queue_),
      engine_({fleet.time_, random_, upstreams_, callers_, claims_, observer_}),
      follower_(store_, fleet.time_, random_, {fleet.settings_.bound_}),
      exchange_({fleet.time_, random_, *this, follower_, engine_}, self),
      fetcher_(fleet.time_, *this, follower_), started_at_(fleet.time_.now())
{
    exchange_.on_later_view_ = [this](const peer& from, std::uint64_t revision) {
        fetcher_.on_later_view(from, revision);
    };
    follower_.on_update([this](const view_update& update) {
        fleet_.longest_spread_ = std::max(fleet_.longest_spread_, update.known_for_);
        fleet_.record_delays(*this);
    });
    follower_.wait_for_peers(180ms);
}

inline void view_node::send(const std::string& ip, std::uint16_t, const std::string& bytes)
{
    const auto* to = fleet_.find(ip);
    if (to == nullptr) {
        return;
    }
    const bool is_local = to->exchange_.peers().self().data_centre_ == exchange_.peers().self().data_centre_;
    if (!is_local && random_unit(random_) < fleet_.settings_.datagram_loss_) {
        return;
    }
    fleet_.time_.after(fleet_.link_time(*this, *to), [this, ip, bytes] {
        if (auto* receiver = fleet_.find(ip)) {
            receiver->exchange_.on_datagram(bytes);
        }
    });
}

/// Each way of a connection's set-up and of the exchange waits at the link of its sender.
inline void view_node::fetch(const peer& from, std::uint64_t after_revision, duration timeout,
                             view_callback done)
{
    const auto* asked = fleet_.find(from.ip_);
    const bool hangs = asked == nullptr || random_unit(random_) < fleet_.settings_.hanging_fetches_;
    const duration there = asked == nullptr ? duration{} : fleet_.link_time(*this, *asked);
    const duration back = asked == nullptr ? duration{} : fleet_.link_time(*asked, *this);
    if (hangs || 2 * (there + back) >= timeout) {
        fleet_.time_.after(timeout, [done] { done(std::nullopt); });
        return;
    }
    fleet_.time_.after(2 * there + back, [this, from, after_revision, back, done] {
        const auto* answering = fleet_.find(from.ip_);
        std::optional<view_message> view;
        if (answering != nullptr && answering->follower_.complete()) {
            view.emplace();
            const auto& follower = answering->follower_;
            view->revision_ = follower.view().revision();
            view->age_ = follower.age();
            view->known_for_ = follower.known_for();
            view->items_ = follower.view().changes_after(after_revision, view->is_snapshot_);
        }
        fleet_.time_.after(back, [done, view] { done(view); });
    });
}

inline void view_node::tick()
{
    if (!alive_) {
        return;
    }
    exchange_.on_tick();
    fetcher_.on_tick();
    follower_.on_tick();
    fleet_.check(*this);
    fleet_.time_.after(peer_exchange::tick_period, [this] { tick(); });
}

inline view_fleet::view_fleet(const view_fleet_settings& settings)
    : settings_(settings), random_(settings.seed_)
{
    store_.write();
    for (std::size_t i = 0; i < settings.nodes_; ++i) {
        add("n" + std::to_string(i), i % settings.data_centres_, 1);
    }
}

inline void view_fleet::add(const std::string& name, std::size_t data_centre, std::uint64_t incarnation)
{
    constexpr std::uint32_t large = 500;
    constexpr std::uint32_t small = 100;
    const std::size_t number = std::stoul(name.substr(1));
    const auto ip = "ip" + std::to_string(number);
    const bool is_large = number < 2 * settings_.data_centres_;
    const peer self{name,
                    incarnation,
                    "dc" + std::to_string(data_centre),
                    ip,
                    1,
                    2,
                    is_large ? large : small,
                    false,
                    3,
                    false,
                    peer_capability::quotas};
    lifetimes_.push_back(std::make_unique<view_node>(*this, self));
    auto* added = lifetimes_.back().get();
    current_[name] = added;
    by_ip_[ip] = added;
    added->exchange_.set_seeds({{"ip0", 1}, {"ip1", 1}, {"ip2", 1}});
    const auto phase = duration(static_cast<duration::rep>(
        random_below(random_, static_cast<std::size_t>(duration(peer_exchange::tick_period).count()))));
    time_.after(phase, [added] { added->tick(); });
}

inline void view_fleet::run(duration length)
{
    time_.run(length);
}

inline std::vector<std::string> view_fleet::leaders() const
{
    std::vector<std::string> found;
    for (const auto& [name, each] : current_) {
        if (each->alive_ && each->exchange_.duties().leads()) {
            found.push_back(name);
        }
    }
    return found;
}

inline void view_fleet::refuse_share(double share, store_treatment how)
{
    const auto wanted = static_cast<std::size_t>(share * static_cast<double>(settings_.nodes_));
    auto refused = leaders();
    refused.resize(std::min(refused.size(), wanted));
    auto others = live_nodes();
    std::erase_if(others, [&](const std::string& name) {
        return std::find(refused.begin(), refused.end(), name) != refused.end();
    });
    while (refused.size() < wanted && !others.empty()) {
        const auto chosen =
            others.begin() + static_cast<std::ptrdiff_t>(random_below(random_, others.size()));
        refused.push_back(*chosen);
        others.erase(chosen);
    }
    for (const auto& name : refused) {
        store_.treat(name, how);
    }
}

inline void view_fleet::serve_all()
{
    for (const auto& [name, unused] : current_) {
        store_.treat(name, store_treatment::serves);
    }
}

inline void view_fleet::kill(const std::string& node)
{
    current_.at(node)->alive_ = false;
}

inline void view_fleet::restart(const std::string& node)
{
    const auto self = current_.at(node)->exchange_.peers().self();
    add(node, std::stoul(self.data_centre_.substr(2)), self.incarnation_ + 1);
}

inline std::vector<std::string> view_fleet::live_nodes() const
{
    std::vector<std::string> found;
    for (const auto& [name, each] : current_) {
        if (each->alive_) {
            found.push_back(name);
        }
    }
    return found;
}

inline duration view_fleet::link_time(const view_node& from, const view_node& to) const
{
    const bool is_local =
        from.exchange_.peers().self().data_centre_ == to.exchange_.peers().self().data_centre_;
    return from.link_queue_ + (is_local ? duration(200us) : duration(500us));
}

inline view_node* view_fleet::find(const std::string& ip)
{
    const auto found = by_ip_.find(ip);
    return found == by_ip_.end() || !found->second->alive_ ? nullptr : found->second;
}

inline void view_fleet::check(const view_node& checked)
{
    const auto& follower = checked.follower_;
    if (!follower.complete()) {
        return;
    }
    ++checks_;
    if (!follower.usable()) {
        ++unusable_;
        return;
    }
    if (follower.view().revision() < store_.revision_at(time_.now() - settings_.bound_)) {
        ++stale_decisions_;
        stalest_ =
            std::max(stalest_, duration(time_.now() - store_.written_at(follower.view().revision() + 1)));
    }
}

inline void view_fleet::record_delays(view_node& updated)
{
    delays_.resize(store_.revision());
    for (; updated.next_revision_ <= updated.follower_.view().revision(); ++updated.next_revision_) {
        const auto written_at = store_.written_at(updated.next_revision_);
        if (written_at > updated.started_at_ + 1s) {
            auto& longest = delays_.at(updated.next_revision_ - 1);
            longest = std::max(longest, duration(time_.now() - written_at));
        }
    }
}

inline duration view_fleet::longest_delay(time_point since) const
{
    duration longest{};
    for (std::uint64_t revision = 1; revision <= store_.revision(); ++revision) {
        if (store_.written_at(revision) < since) {
            continue;
        }
        longest = std::max(longest, revision <= delays_.size() ? delays_[revision - 1] : duration{});
        for (const auto& [unused, each] : current_) {
            const bool lived = each->alive_ && each->started_at_ + 1s < store_.written_at(revision);
            if (lived && each->next_revision_ <= revision) {
                longest = std::max(longest, duration(time_.now() - store_.written_at(revision)));
            }
        }
    }
    return longest;
}

} // namespace anvilpost::testing
