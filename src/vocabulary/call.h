// Types of the call path: a call (a caller's request), the attempts to have an upstream answer it, and the
// outcomes of attempts.
#pragma once

#include "vocabulary/core_clock.h"
#include "vocabulary/enum_names.h"
#include "vocabulary/key_digest.h"
#include "vocabulary/send_permit.h"
#include "vocabulary/verdict.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace anvilpost {

enum class call_id : std::uint64_t {};
enum class attempt_id : std::uint64_t {};

/// A caller's request as the core sees it. Headers and body are held by the HTTP adapter.
struct call {
    call_id id_{};
    std::string service_;
    bool repeatable_ = false;       ///< May be sent to more than one upstream.
    std::string idempotency_key_;   ///< Empty when the caller sent none.
    std::uint64_t fingerprint_ = 0; ///< Hash that is equal for resends of the same request.
    std::string route_;      ///< Name of the matched route; its calls are assumed to need similar work.
    std::string request_id_; ///< Identifies the call in logs and problem documents.
    int priority_ = 0;       ///< 0 is the most urgent.
    bool is_resend_ = false; ///< The caller was answered before and sends the request again.
    int max_attempts_ = 3;   ///< Number of upstreams that the request may be sent to.
    bool forwarded_by_peer_ = false; ///< Its caller sent it to another node, which could not serve it.
    std::string organisation_;       ///< Holder of the caller's key; empty for an anonymous caller.
    std::optional<key_digest> key_;  ///< That the caller showed; checked again before each attempt.
    time_point arrival_{};
    time_point objective_{}; ///< Latency objective; a response after it counts as late.
    /// The response must have arrived by then, or be arriving; see call_engine_relaying.cpp.
    time_point deadline_{};
};

/// Which connections to the upstream an attempt may use.
enum class connection_need {
    any,           ///< Any idle connection or a new one.
    recently_used, ///< An idle connection that carried a response a moment ago, or a new one.
    fresh,         ///< A new connection.
};

/// Instruction to send a call's request to an upstream, or to another node that passes it to one.
struct attempt_order {
    send_permit permit_;
    attempt_id attempt_{};
    call_id call_{};
    std::string service_{};
    std::string upstream_{};
    std::string ip_{};
    std::uint16_t port_ = 0;
    connection_need connection_ = connection_need::any;
    int connection_limit_ = 1; ///< Maximum number of connections from this node to the upstream.
    duration time_left_{};     ///< Time until the deadline; forwarded to the upstream.
    bool to_peer_ = false;     ///< The target is another node of the fleet; `upstream_` is empty.
    int attempts_left_ = 0;    ///< Attempts that a peer may make.
    std::uint64_t configuration_revision_ = 0; ///< By which this node routed the call; for a peer.
};

/// Load that an upstream reported in a response, as of the time of that response.
struct load_report {
    double in_flight_ = 0;             ///< Requests running or queued at the upstream.
    std::optional<int> slots_{};       ///< Requests that the upstream can run at the same time.
    std::optional<double> slowdown_{}; ///< Present duration of work there as a multiple of the usual one.
};

/// What an upstream says of itself in the head of any response, to a call or to a probe.
struct self_report {
    bool leaving_ = false; ///< It is about to stop and wants no new requests.
    std::optional<load_report> load_{};
    /// With a refusal: for how long it wants no further request from this node.
    std::optional<duration> retry_after_{};
    /// Requests per second that it accepts from all nodes together; empty: it names no limit.
    std::optional<double> rate_limit_{};
    /// Time for which it stays cold; empty: it does not say.
    std::optional<duration> warm_up_left_{};
};

/// The parts of an upstream's status line and headers that the core needs.
struct response_head {
    int status_ = 0;
    bool not_run_ = false;           ///< The upstream states that it did not run the request.
    bool misdirected_ = false;       ///< A different instance answered at the upstream's address.
    bool on_new_connection_ = false; ///< The connection was opened for this attempt.
    self_report self_{};
};

/// How an attempt ended.
enum class attempt_outcome {
    complete,      ///< The whole response arrived.
    not_sent,      ///< No byte of the request was written to the network.
    broken,        ///< No usable response came after at least one byte was written; nothing was relayed.
    broken_answer, ///< The response failed after its head had been relayed to the caller.
    stalled_answer ///< The relayed response was incomplete at the deadline and had stopped arriving.
};

template <>
struct enum_names<attempt_outcome> {
    static constexpr std::array<std::pair<attempt_outcome, std::string_view>, 5> table{{
        {attempt_outcome::complete, "complete"},
        {attempt_outcome::not_sent, "not_sent"},
        {attempt_outcome::broken, "broken"},
        {attempt_outcome::broken_answer, "broken_answer"},
        {attempt_outcome::stalled_answer, "stalled_answer"},
    }};
};

} // namespace anvilpost
