// Vocabulary of the call path: calls, attempts at upstreams, and how attempts end.
#pragma once

#include "vocabulary/core_clock.h"
#include "vocabulary/enum_names.h"
#include "vocabulary/verdict.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace anvilpost {

enum class call_id : std::uint64_t {};
enum class attempt_id : std::uint64_t {};

/// A caller's request as the core sees it; headers and body stay with the adapter.
struct call {
    call_id id_{};
    std::string service_;
    bool repeatable_ = false;       ///< May be sent to more than one upstream.
    std::string idempotency_key_;   ///< Empty when the caller sent none.
    std::uint64_t fingerprint_ = 0; ///< Equal for resends of the same request.
    time_point arrival_{};
    time_point deadline_{}; ///< The answer's head is due by then.
};

/// Which connection an attempt may use.
enum class connection_need {
    any,             ///< Any idle connection or a new one.
    recently_proved, ///< An idle connection that carried an answer a moment ago, or a new one.
    fresh,           ///< A new connection.
};

/// Order to send a call's request to an upstream.
struct attempt_order {
    attempt_id attempt_{};
    call_id call_{};
    std::string service_;
    std::string upstream_;
    std::string ip_;
    std::uint16_t port_ = 0;
    connection_need connection_ = connection_need::any;
    int connection_limit_ = 1; ///< Connections that this node may hold to the upstream.
    duration time_left_{};     ///< Passed on to the upstream as its deadline.
};

/// Load that an upstream reported in an answer.
struct load_report {
    double in_flight_ = 0; ///< Requests running or queued at the upstream.
};

/// First part of an upstream's answer.
struct answer_head {
    int status_ = 0;
    bool upstream_is_leaving_ = false;
    std::optional<load_report> load_;
};

/// How an attempt ended.
enum class attempt_outcome {
    complete,     ///< The whole answer arrived.
    not_sent,     ///< No byte of the request was written to the network.
    broken,       ///< The connection failed before the answer's head, after at least one byte was written.
    broken_answer ///< The connection failed inside the answer.
};

template <>
struct enum_names<attempt_outcome> {
    static constexpr std::array<std::pair<attempt_outcome, std::string_view>, 4> table{{
        {attempt_outcome::complete, "complete"},
        {attempt_outcome::not_sent, "not_sent"},
        {attempt_outcome::broken, "broken"},
        {attempt_outcome::broken_answer, "broken_answer"},
    }};
};

} // namespace anvilpost
