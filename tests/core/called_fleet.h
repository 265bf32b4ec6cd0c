// A fleet of real engines and gossip in virtual time whose callers use one service, "log". Its upstream u1
// may name a rate limit or refuse with a pause, and nodes may lose their connections to all upstreams.
#pragma once

#include "core/exchange_network.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilpost::testing {

class called_fleet {
public:
    /// Nodes n0, n1, ... by turns in the data centres north and south; upstreams u1, u2, ... likewise.
    /// `settled` is the time that they run before the first call.
    called_fleet(int nodes, int upstreams, duration settled = 3s)
    {
        auto& service = net_.config_.services_["log"];
        service.policy_.queue_length_ = 100;
        for (int i = 2; i <= upstreams; ++i) {
            service.upstreams_["u" + std::to_string(i)] = {"10.0.0.9", 80, i % 2 == 0 ? "south" : "north", "",
                                                           upstream_state::active};
        }
        for (int i = 0; i < nodes; ++i) {
            net_.add("n" + std::to_string(i), i % 2 == 0 ? "north" : "south");
        }
        net_.run(settled);
    }

    /// Plays callers that send `calls_per_second` to the fleet, the same number to each node.
    void play(duration length, int calls_per_second)
    {
        const auto end = net_.clock_.now() + length;
        duration until_next{};
        while (net_.clock_.now() < end) {
            for (; until_next < peer_exchange::tick_period; until_next += duration(1s) / calls_per_second) {
                send_call();
            }
            until_next -= peer_exchange::tick_period;
            net_.run(peer_exchange::tick_period);
            collect_orders();
            end_attempts();
            return_forwarded_calls();
            probe_upstreams();
            for (auto& node : net_.nodes_) {
                node->engine_.on_wakeup();
            }
        }
    }

    /// The limit that responses of u1 name.
    void set_limit(std::optional<double> per_second) { limit_ = per_second; }

    /// Responses of u1 state that it is cold until then.
    void set_cold_until(time_point end) { cold_until_ = end; }

    /// u1 refuses the requests of these nodes and asks each for a pause.
    void refuse_with_pause(std::set<std::string> nodes, duration pause)
    {
        refused_nodes_ = std::move(nodes);
        pause_ = pause;
    }

    [[nodiscard]] std::size_t refused_by_u1() const { return refused_; }
    [[nodiscard]] std::size_t served_by_u1() const { return served_by_u1_; }

    /// Connections of these nodes to upstreams fail from now on.
    void cut_off(const std::set<std::string>& nodes) { cut_off_ = nodes; }

    /// Most requests that u1 got in any 4 s since the last `forget`.
    [[nodiscard]] std::size_t most_in_four_seconds() const { return most_in(4s); }

    /// Most requests that u1 got in any such time since the last `forget`.
    [[nodiscard]] std::size_t most_in(duration window) const
    {
        std::size_t most = 0;
        for (std::size_t oldest = 0, newest = 0; newest < starts_at_u1_.size(); ++newest) {
            while (starts_at_u1_[newest] - starts_at_u1_[oldest] > window) {
                ++oldest;
            }
            most = std::max(most, newest - oldest + 1);
        }
        return most;
    }

    /// Share of the calls since the last `forget` that the caller of a node sent there and got served.
    [[nodiscard]] double served_share(const std::string& node) const
    {
        const auto sent = sent_.find(node);
        const auto served = served_.find(node);
        return sent == sent_.end() || served == served_.end()
                   ? 0
                   : static_cast<double>(served->second) / static_cast<double>(sent->second);
    }

    void forget()
    {
        starts_at_u1_.clear();
        refused_ = 0;
        served_by_u1_ = 0;
        sent_.clear();
        served_.clear();
    }

    std::set<std::uint64_t> forwarded_revisions_; ///< Stated with forwarded calls.
    network net_;

private:
    static constexpr duration service_time = 40ms;
    static constexpr duration connect_timeout = 120ms;

    struct running_attempt {
        exchange_node* node_ = nullptr;
        attempt_order order_;
        time_point ends_at_{};
        bool fails_ = false;
    };

    /// A call that one node forwarded to another.
    struct forwarded_call {
        exchange_node* from_ = nullptr;
        attempt_id attempt_{};
        exchange_node* to_ = nullptr;
        call_id id_{}; ///< At the other node.
    };

    call make_call(bool repeatable)
    {
        call request;
        request.id_ = call_id{next_call_++};
        request.service_ = "log";
        request.route_ = "log";
        request.repeatable_ = repeatable;
        request.fingerprint_ = static_cast<std::uint64_t>(request.id_);
        request.arrival_ = net_.clock_.now();
        request.objective_ = request.arrival_ + 250ms;
        request.deadline_ = request.arrival_ + 1s;
        return request;
    }

    void send_call()
    {
        auto& node = *net_.nodes_[next_call_ % net_.nodes_.size()];
        ++sent_[node.exchange_.peers().self().name_];
        node.engine_.on_call(make_call(next_call_ % 3 != 0));
    }

    void forward_call(exchange_node& from, const attempt_order& order)
    {
        for (auto& node : net_.nodes_) {
            if (node->ip_ == order.ip_) {
                auto request = make_call(order.connection_ == connection_need::any);
                request.deadline_ = net_.clock_.now() + order.time_left_;
                request.forwarded_by_peer_ = true;
                request.max_attempts_ = order.attempts_left_;
                forwarded_.push_back({&from, order.attempt_, node.get(), request.id_});
                node->engine_.on_call(request);
            }
        }
    }

    /// Passes the responses of peers on to the nodes that forwarded the calls.
    void return_forwarded_calls()
    {
        std::erase_if(forwarded_, [&](const forwarded_call& open) {
            const auto& callers = open.to_->callers_;
            const auto rejected = callers.rejected_.find(open.id_);
            if (rejected == callers.rejected_.end() && !callers.relayed_.contains(open.id_)) {
                return false;
            }
            response_head head;
            head.status_ = rejected == callers.rejected_.end() ? 200 : status_of(rejected->second.kind_);
            head.not_run_ =
                rejected != callers.rejected_.end() && rejected->second.verdict_ == verdict::not_run;
            deliver_response(*open.from_, open.attempt_, head);
            return true;
        });
    }

    void deliver_response(exchange_node& to, attempt_id attempt, const response_head& head)
    {
        const auto served_before = to.callers_.relayed_.size();
        to.engine_.on_response_started(attempt, head);
        served_[to.exchange_.peers().self().name_] += to.callers_.relayed_.size() - served_before;
        to.engine_.on_attempt_ended(attempt, attempt_outcome::complete);
    }

    /// Stands for the probes that a node sends while it may be cut off.
    void probe_upstreams()
    {
        for (auto& node : net_.nodes_) {
            auto& reachability = node->engine_.reachability();
            if (reachability.in_doubt() && !cut_off_.contains(node->exchange_.peers().self().name_)) {
                reachability.on_response(true);
            }
        }
    }

    void collect_orders()
    {
        for (auto& node : net_.nodes_) {
            const bool cut_off = cut_off_.contains(node->exchange_.peers().self().name_);
            const auto orders = std::exchange(node->upstreams_.started_, {});
            for (const auto& order : orders) {
                const auto& upstreams = net_.config_.services_.at("log").upstreams_;
                const auto* peer = order.to_peer_ ? net_.find(order.ip_) : nullptr;
                const auto& target = peer != nullptr ? peer->exchange_.peers().self().data_centre_
                                                     : upstreams.at(order.upstream_).data_centre_;
                const bool cut = !node->cut_from_.empty() && target == node->cut_from_;
                if (order.to_peer_ && !cut) {
                    forwarded_revisions_.insert(order.configuration_revision_);
                    forward_call(*node, order);
                    continue;
                }
                const bool fails = cut || cut_off;
                running_.push_back(
                    {node.get(), order, net_.clock_.now() + (fails ? connect_timeout : service_time), fails});
                if (order.upstream_ == "u1") {
                    starts_at_u1_.push_back(net_.clock_.now());
                }
            }
        }
    }

    void end_attempts()
    {
        std::vector<running_attempt> ended;
        std::erase_if(running_, [&](const running_attempt& open) {
            const bool due = open.ends_at_ <= net_.clock_.now();
            if (due) {
                ended.push_back(open);
            }
            return due;
        });
        for (const auto& done : ended) {
            end_attempt(done);
        }
    }

    void end_attempt(const running_attempt& done)
    {
        auto& engine = done.node_->engine_;
        if (done.fails_) {
            engine.on_attempt_ended(done.order_.attempt_, attempt_outcome::not_sent);
            return;
        }
        response_head head;
        head.status_ = 200;
        if (done.order_.upstream_ == "u1") {
            head.self_.rate_limit_ = limit_;
            if (cold_until_ > net_.clock_.now()) {
                head.self_.warm_up_left_ = cold_until_ - net_.clock_.now();
            }
            if (refused_nodes_.contains(done.node_->exchange_.peers().self().name_)) {
                ++refused_;
                head.status_ = 503;
                head.not_run_ = true;
                head.self_.retry_after_ = pause_;
            }
            served_by_u1_ += head.not_run_ ? 0 : 1;
        }
        deliver_response(*done.node_, done.order_.attempt_, head);
    }

    std::optional<double> limit_;
    time_point cold_until_{};
    std::set<std::string> cut_off_;
    std::set<std::string> refused_nodes_;
    duration pause_{};
    std::size_t refused_ = 0;
    std::size_t served_by_u1_ = 0;
    std::vector<running_attempt> running_;
    std::vector<forwarded_call> forwarded_;
    std::vector<time_point> starts_at_u1_;
    std::map<std::string, std::size_t> sent_; ///< By node, as is `served_`.
    std::map<std::string, std::size_t> served_;
    std::uint64_t next_call_ = 1;
};

} // namespace anvilpost::testing
