// Time as the decision core sees it. The core never reads a clock: every instant comes in through
// `clock_port`, so that tests and scenarios can run it in virtual time.
#pragma once

#include <chrono>

namespace anvilpost {

/// A clock type without `now()`. Its time points count microseconds from an origin that the
/// `clock_port` in use defines; only differences carry meaning.
struct core_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using time_point = core_clock::time_point;
using duration = core_clock::duration;

} // namespace anvilpost
