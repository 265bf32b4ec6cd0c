// Time types of the core. The core never reads a system clock: every instant comes from `clock_port`, so
// that tests and simulated scenarios can run the core in virtual time.
#pragma once

#include <chrono>

namespace anvilpost {

/// A clock type without `now()`. Its time points count microseconds from an origin that depends on the
/// `clock_port` in use, so only differences between time points are meaningful.
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
