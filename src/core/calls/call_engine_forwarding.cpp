// Forwarding of calls to another node of the fleet, for a node that cannot reach the upstreams, or none of
// the call's service. The other node serves the call as if its caller had sent it there, within the attempts
// that are left, and does not forward it again.
//
// Answers this load: callers go on arriving at a node that has lost its path to all upstreams, since the
// balancer in front cannot see that. A call that a peer refused as not run may be forwarded again. Any other
// end of a forwarded call is final, since only the peer knows how many upstreams have run it.
#include "core/calls/call_engine.h"

namespace anvilpost {
namespace {

/// Peers that one call is forwarded to before it is rejected.
constexpr std::size_t max_peers_tried = 3;

/// Connections that may be open to one peer. A node forwards no more calls than its callers send.
constexpr int max_connections_to_peer = 64;

} // namespace

bool call_engine::start_at_peer(call_state& state)
{
    const int attempts_left = state.call_.max_attempts_ - state.attempts_made_;
    const bool possible = !state.call_.forwarded_by_peer_ && choose_peer_ && attempts_left > 0 &&
                          state.peers_tried_.size() < max_peers_tried && authorised(state);
    const auto peer = possible ? choose_peer_(state.call_.service_, state.peers_tried_) : std::nullopt;
    if (!peer) {
        return false;
    }
    report_decision(decision_kind::forwarded, state, nullptr, peer->name_);
    return_token(state); // The other node counts the call.
    const attempt_id attempt{next_attempt_++};
    auto& started = attempts_[attempt];
    started.call_ = state.call_.id_;
    started.service_ = state.call_.service_;
    started.started_ = now();
    started.peer_ = peer->name_;
    started.attempts_before_ = state.attempts_made_;
    state.phase_ = phase::running;
    state.active_.push_back(attempt);
    state.peers_tried_.insert(peer->name_);
    state.attempts_made_ = state.call_.max_attempts_;
    state.hedge_at_.reset();
    schedule_wakeup(state);
    attempt_order order{send_permit::to_peer()};
    order.attempt_ = attempt;
    order.call_ = state.call_.id_;
    order.service_ = state.call_.service_;
    order.ip_ = peer->ip_;
    order.port_ = peer->port_;
    order.connection_ = state.call_.repeatable_ ? connection_need::any : connection_need::recently_used;
    order.connection_limit_ = max_connections_to_peer;
    order.time_left_ = state.call_.deadline_ - now();
    order.to_peer_ = true;
    order.attempts_left_ = attempts_left;
    order.configuration_revision_ = configuration_revision_;
    ports_.upstreams_.start(order);
    return true;
}

void call_engine::on_refused_by_peer(call_state& state, attempt_id attempt)
{
    state.attempts_made_ = attempts_.at(attempt).attempts_before_;
    drop_attempt(attempt);
    if (!state.active_.empty() || start_at_peer(state)) {
        return;
    }
    reject(state, problem_kind::overloaded, "the nodes that the call was forwarded to refused it");
}

} // namespace anvilpost
