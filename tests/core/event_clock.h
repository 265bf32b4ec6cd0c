// Virtual time with events, for tests of many parts that wait for each other.
#pragma once

#include "core/fakes.h"

#include <functional>
#include <map>

namespace anvilpost::testing {

/// A clock with an event queue; events at the same time run in the order in which they were added.
class event_clock : public clock_port {
public:
    [[nodiscard]] time_point now() const override { return now_; }
    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(now_ + delay, std::move(event));
    }
    void run(duration length)
    {
        const auto end = now_ + length;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

private:
    time_point now_{1h};
    std::multimap<time_point, std::function<void()>> events_;
};

} // namespace anvilpost::testing
