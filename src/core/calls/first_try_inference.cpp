// Decayed counts of the requests that state a route's longest timeout, and of all.
#include "core/calls/first_try_inference.h"

namespace anvilpost {

void first_try_inference::observe(milliseconds timeout)
{
    constexpr double decay = 1 - 1 / memory_requests;
    const bool exceptional = requests_ >= memory_requests / 2 && with_longest_ < share_to_forget * requests_;
    if (exceptional) {
        *this = {};
    }
    requests_ = requests_ * decay + 1;
    with_longest_ *= decay;
    if (timeout > longest_ + tolerance) {
        // The earlier ones were shorter than this one. They stay in the count of all requests, so that a
        // longer timeout needs as many requests as the others to be taken for the usual one.
        with_longest_ = 0;
    }
    if (timeout > longest_) {
        longest_ = timeout;
    }
    if (longest_ - timeout <= tolerance) {
        with_longest_ += 1;
    }
    holds_ =
        requests_ >= min_requests && with_longest_ >= (holds_ ? share_to_end : share_to_begin) * requests_;
}

} // namespace anvilpost
