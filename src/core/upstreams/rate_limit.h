// What a node knows of the rate limit of one upstream. An upstream in need names in its responses how many
// requests a second it accepts from all nodes together; the limit holds until its responses no longer name
// one.
#pragma once

#include "vocabulary/core_clock.h"

#include <optional>

namespace anvilpost {

/// A limit that an upstream named, or the end of one, with the time at which a node learnt of it.
struct rate_limit_notice {
    std::optional<double> per_second_; ///< Requests per second of all nodes together; empty: no limit.
    time_point learnt_at_{};
};

/// Invariant: of several notices, the one that was learnt last by any node counts.
class rate_limit {
public:
    /// Records a notice of this node or another one. Returns whether it changed the limit.
    bool apply(const rate_limit_notice& notice)
    {
        if (notice.learnt_at_ <= latest_.learnt_at_) {
            return false;
        }
        const bool changed = notice.per_second_ != latest_.per_second_;
        latest_ = notice;
        return changed;
    }

    /// Records a response of the upstream to a call that started at `started`; `named` is the limit that it
    /// names and `served` is false for an error. The absence of a limit counts only in a successful response
    /// to a call that was sent after the limit was known: earlier ones may have been answered before it.
    bool on_response(std::optional<double> named, bool served, time_point started, time_point now)
    {
        const bool ends = latest_.per_second_ && served && started > latest_.learnt_at_;
        return (named || ends) && apply({named, now});
    }

    [[nodiscard]] bool active() const { return latest_.per_second_.has_value(); }
    [[nodiscard]] const rate_limit_notice& latest() const { return latest_; }

private:
    rate_limit_notice latest_;
};

} // namespace anvilpost
