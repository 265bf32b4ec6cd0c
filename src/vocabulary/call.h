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
    std::string route_;             ///< Name of the route that matched; calls of a route cost alike.
    std::string request_id_;        ///< For logs.
    int priority_ = 0;              ///< 0 is the most urgent.
    bool came_back_ = false;        ///< The caller was answered before and sends the request again.
    int max_attempts_ = 3;          ///< Upstreams that the request may be sent to.
    time_point arrival_{};
    time_point objective_{}; ///< An answer by then is worth most to the caller.
    time_point deadline_{};  ///< The answer's head is due by then.
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

/// Load that an upstream reported in an answer, at the moment of that answer.
struct load_report {
    double in_flight_ = 0;             ///< Requests running or queued at the upstream.
    std::optional<int> slots_{};       ///< Requests that it runs at the same time.
    std::optional<double> slowdown_{}; ///< How long work takes there now; 1 means as usual.
};

/// First part of an upstream's answer.
struct answer_head {
    int status_ = 0;
    bool upstream_is_leaving_ = false;
    std::optional<load_report> load_;
    bool not_run_ = false;     ///< The upstream states that it did not run the request.
    bool misdirected_ = false; ///< Another instance answered at the upstream's address.
};

/// How an attempt ended.
enum class attempt_outcome {
    complete,     ///< The whole answer arrived.
    not_sent,     ///< No byte of the request was written to the network.
    broken,       ///< No usable answer came after at least one byte was written; nothing was passed on.
    broken_answer ///< The answer failed after its head had been passed on.
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
