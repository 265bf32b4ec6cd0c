// Port through which the call engine asks for slots of upstreams that one node of the fleet, the dispatcher
// of the service, grants. Answers arrive through `call_engine::on_slot_granted`, `on_slot_refused` and
// `on_no_dispatcher`.
#pragma once

#include "vocabulary/call.h"

#include <optional>
#include <set>
#include <string>

namespace anvilpost {

/// A granted slot, numbered by the node that asked for it.
enum class slot_id : std::uint32_t {};

/// What became of a granted slot.
enum class slot_outcome {
    unused,    ///< No request was sent.
    served,    ///< The upstream answered without a server error.
    shed,      ///< The upstream stated that it did not run the request.
    failed,    ///< A server error, no response, or a broken connection.
    not_sent,  ///< No connection could be made.
    cancelled, ///< The node gave up the attempt, because another one answered first or the caller left.
};

/// The end of the attempt for which a slot was granted.
struct slot_end {
    slot_outcome outcome_ = slot_outcome::unused;
    std::optional<load_report> load_; ///< Reported by the upstream with its response.
};

/// Invariant: no function calls back into the engine.
class dispatch_port {
public:
    virtual ~dispatch_port() = default;

    /// True when attempts at upstreams of the service need a granted slot at present.
    [[nodiscard]] virtual bool grants_slots(const std::string& service) const = 0;

    /// Asks for a slot for the call's next attempt, at an upstream outside `tried`. `work` is the expected
    /// work of the call; its answer is needed by `deadline`. One request of a call may be open at a time.
    virtual void request_slot(const call& wanted, duration work, time_point deadline,
                              const std::set<std::string>& tried) = 0;

    /// The call no longer needs the slot that it asked for. Does nothing when no request is open.
    virtual void withdraw(call_id call) = 0;

    /// The attempt for which the slot was granted has ended.
    virtual void release(slot_id slot, const slot_end& end) = 0;

    /// The engine learnt the load of an upstream, other than from a response to a call of this node.
    virtual void on_load(const std::string& service, const std::string& upstream, const load_report& report,
                         time_point measured_at) = 0;

    /// The engine learnt the result of a probe of this or another node.
    virtual void on_probe(const std::string& service, const std::string& upstream, bool answered,
                          bool healthy, time_point measured_at) = 0;
};

} // namespace anvilpost
