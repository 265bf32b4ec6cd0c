// Tests of the budget for extra attempts (retries and hedged requests).
#include "core/calls/retry_budget.h"
#include "support/split_mix.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace anvilpost;
using namespace anvilpost::testing;
using namespace std::chrono_literals;

TEST_CASE("extra attempts are limited to a share of the calls in the window plus the slack")
{
    retry_budget budget;
    budget.configure({0.2, 3.0, 10s});
    time_point now{1h};
    for (int i = 0; i < 50; ++i) {
        budget.add_call(now);
        now += 10ms;
    }
    int taken = 0;
    while (budget.take(now)) {
        ++taken;
    }
    REQUIRE(taken == 13);
}

TEST_CASE("less urgent uses leave the reserved share of the budget to more urgent ones")
{
    retry_budget budget;
    budget.configure({0.0, 10.0, 10s});
    const time_point now{1h};
    int taken = 0;
    while (budget.take(now, 0.3)) {
        ++taken;
    }
    REQUIRE(taken == 7);
    REQUIRE(budget.take(now));
}

TEST_CASE("in any window the extra attempts of all nodes stay within the fleet-wide budget")
{
    const bool within_budget = rc::check("extra attempts of all nodes", [] {
        // A single generated seed determines the whole case, which keeps thousands of runs fast under
        // sanitizers.
        split_mix random(*rc::gen::arbitrary<std::uint64_t>());
        const int nodes = 1 + static_cast<int>(random_below(random, 11));
        const double ratio = 0.2;
        const double slack = 56;
        std::vector<retry_budget> budgets(static_cast<std::size_t>(nodes));
        for (auto& budget : budgets) {
            budget.configure({ratio, slack / nodes, 10s});
        }
        std::vector<std::pair<time_point, bool>> events; // true: an extra attempt; false: a call
        time_point now{1h};
        for (int step = 0; step < 400; ++step) {
            now += std::chrono::milliseconds(1 + random_below(random, 150));
            auto& budget = budgets[random_below(random, budgets.size())];
            if (random_below(random, 3) != 0) {
                budget.add_call(now);
                events.emplace_back(now, false);
            }
            else if (budget.take(now)) {
                events.emplace_back(now, true);
            }
        }
        // Attempts in a window may be paid for by calls of that window or of the window before it.
        for (std::size_t first = 0; first < events.size(); first += 20) {
            double calls = 0;
            double extra = 0;
            for (const auto& [at, is_extra] : events) {
                const bool inside = at >= events[first].first && at < events[first].first + 10s;
                extra += inside && is_extra ? 1 : 0;
                calls +=
                    at >= events[first].first - 10s && at < events[first].first + 10s && !is_extra ? 1 : 0;
            }
            RC_ASSERT(extra <= ratio * calls + slack + nodes);
        }
    });
    REQUIRE(within_budget);
}
