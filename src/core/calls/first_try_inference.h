// Infers from a request's timeout how long ago its caller sent it first. Callers that retry send what is left
// of their timeout. Where all callers of a route start with the same timeout, the difference to it is the
// time since the first try. Where their timeouts differ, a short one says nothing: taking it for a retry made
// 0.11 to 0.22 of first tries count as past their objective on arrival.
#pragma once

#include <chrono>

namespace anvilpost {

/// The timeouts that callers of one route requested lately. The inference begins once most requests state the
/// longest timeout. It holds while a smaller share does, since under overload every call may be retried
/// twice. Counts decay with the number of requests, so that old ones are forgotten.
class first_try_inference {
public:
    using milliseconds = std::chrono::milliseconds;

    /// Timeouts this close to the longest count as equal to it.
    static constexpr milliseconds tolerance{1};
    /// Number of recent requests that the counts reflect.
    static constexpr double memory_requests = 200;
    /// Before this many requests (less what has decayed), nothing is inferred. A few suffice: timeouts that
    /// differ hardly ever agree within `tolerance`, and routes of few calls need the inference soon.
    static constexpr double min_requests = 3.9;
    /// Share of requests with the longest timeout from which on retries are inferred.
    static constexpr double share_to_begin = 0.6;
    /// Share below which the inference ends; with two retries per call a third are first tries.
    static constexpr double share_to_end = 0.28;
    /// Below this share the longest timeout was an exception, and the longest of the later ones replaces it.
    static constexpr double share_to_forget = 0.02;

    /// Counts the timeout that a caller requested.
    void observe(milliseconds timeout);

    /// True while the route's callers are taken to start with the same timeout.
    [[nodiscard]] bool holds() const { return holds_; }

    /// Time since the caller's first try; 0 while nothing can be inferred.
    [[nodiscard]] milliseconds elapsed(milliseconds timeout) const
    {
        return holds_ && timeout < longest_ ? longest_ - timeout : milliseconds(0);
    }

private:
    milliseconds longest_{0};
    double requests_ = 0;     ///< Decayed count since `longest_` was first seen.
    double with_longest_ = 0; ///< Those within `tolerance` of `longest_`; at most `requests_`.
    bool holds_ = false;
};

} // namespace anvilpost
