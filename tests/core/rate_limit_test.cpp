// Tests of upstreams that limit the rate of requests from all nodes together: a node's knowledge of a limit,
// and that fleets of real engines and gossip, in virtual time, stay within it.
#include "core/exchange_network.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

/// A fleet whose callers use one service of three upstreams, one of which names a limit in its responses.
class limited_fleet {
public:
    limited_fleet(int nodes, double limit) : limit_(limit)
    {
        auto& service = net_.config_.services_["log"];
        service.policy_.queue_length_ = 100;
        for (const std::string name : {"u2", "u3"}) {
            service.upstreams_[name] = {"10.0.0.9", 80, "south", "", upstream_state::active};
        }
        for (int i = 0; i < nodes; ++i) {
            net_.add("n" + std::to_string(i), i % 2 == 0 ? "north" : "south");
        }
        net_.run(3s);
    }

    /// Plays callers that send `calls_per_second` to the fleet, spread evenly over the nodes.
    void play(duration length, int calls_per_second)
    {
        constexpr duration service_time = 40ms;
        const auto end = net_.clock_.now() + length;
        duration until_next{};
        while (net_.clock_.now() < end) {
            for (; until_next < peer_exchange::tick_period; until_next += duration(1s) / calls_per_second) {
                send_call();
            }
            until_next -= peer_exchange::tick_period;
            net_.run(peer_exchange::tick_period);
            collect_starts();
            while (!running_.empty() && running_.front().started_ + service_time <= net_.clock_.now()) {
                answer(running_.front());
                running_.pop_front();
            }
            for (auto& node : net_.nodes_) {
                node->engine_.on_wakeup();
            }
        }
    }

    /// Most requests that the limited upstream got in any 4 s.
    [[nodiscard]] std::size_t most_in_four_seconds() const
    {
        std::size_t most = 0;
        for (std::size_t oldest = 0, newest = 0; newest < limited_starts_.size(); ++newest) {
            while (limited_starts_[newest] - limited_starts_[oldest] > 4s) {
                ++oldest;
            }
            most = std::max(most, newest - oldest + 1);
        }
        return most;
    }

    void forget_starts() { limited_starts_.clear(); }
    void end_limit() { limit_.reset(); }
    [[nodiscard]] double refused_share() const
    {
        std::size_t refused = 0;
        for (const auto& node : net_.nodes_) {
            refused += node->callers_.rejected_.size();
        }
        return static_cast<double>(refused) / static_cast<double>(next_call_);
    }

    network net_;

private:
    struct running_attempt {
        exchange_node* node_ = nullptr;
        attempt_order order_;
        time_point started_{};
    };

    void send_call()
    {
        call request;
        request.id_ = call_id{next_call_++};
        request.service_ = "log";
        request.route_ = "log";
        request.repeatable_ = true;
        request.fingerprint_ = static_cast<std::uint64_t>(request.id_);
        request.arrival_ = net_.clock_.now();
        request.objective_ = request.arrival_ + 250ms;
        request.deadline_ = request.arrival_ + 1s;
        net_.nodes_[next_call_ % net_.nodes_.size()]->engine_.on_call(request);
    }

    void collect_starts()
    {
        for (auto& node : net_.nodes_) {
            for (const auto& order : node->upstreams_.started_) {
                running_.push_back({node.get(), order, net_.clock_.now()});
                if (order.upstream_ == "u1") {
                    limited_starts_.push_back(net_.clock_.now());
                }
            }
            node->upstreams_.started_.clear();
        }
    }

    void answer(const running_attempt& done)
    {
        response_head head;
        head.status_ = 200;
        if (done.order_.upstream_ == "u1") {
            head.rate_limit_ = limit_;
        }
        done.node_->engine_.on_response_started(done.order_.attempt_, head);
        done.node_->engine_.on_attempt_ended(done.order_.attempt_, attempt_outcome::complete);
    }

    std::optional<double> limit_;
    std::deque<running_attempt> running_;
    std::vector<time_point> limited_starts_;
    std::uint64_t next_call_ = 1;
};

} // namespace

TEST_CASE("a limit ends only with a successful response to a call that was sent after it was known")
{
    const time_point start{1h};
    rate_limit limit;
    CHECK(limit.on_response(4.0, true, start, start + 1s));
    CHECK_FALSE(limit.on_response(std::nullopt, true, start + 500ms, start + 2s));
    CHECK_FALSE(limit.on_response(std::nullopt, false, start + 2s, start + 3s));
    CHECK(limit.active());
    CHECK(limit.on_response(std::nullopt, true, start + 2s, start + 3s));
    CHECK_FALSE(limit.active());
    CHECK_FALSE(limit.apply({4.0, start + 1s}, start + 4s)); // Another node's older word.
    CHECK_FALSE(limit.active());
}

TEST_CASE("a fleet sends an upstream that limits its rate no more than the limit allows")
{
    const int nodes = GENERATE(1, 5, 13, 40);
    const double limit = GENERATE(0.0, 0.4, 2.4, 4.1, 30.0);
    INFO(nodes << " nodes, limit " << limit);
    limited_fleet fleet(nodes, limit);
    fleet.play(1s, 100);
    fleet.forget_starts();
    fleet.play(10s, 100);
    CHECK(static_cast<double>(fleet.most_in_four_seconds()) <= 1.5 * limit * 4 + 5);
    CHECK(static_cast<double>(fleet.most_in_four_seconds()) >= 0.5 * limit * 4); // Its capacity is used.
    CHECK(fleet.refused_share() < 0.01);

    fleet.end_limit();
    fleet.play(12s, 100);
    fleet.forget_starts();
    fleet.play(4s, 100);
    CHECK(fleet.most_in_four_seconds() > 60); // A third of all calls is 133.
}
