// Plays experiments on placing in an emulated fleet, over a grid of loads, fleet sizes and seeds, and prints
// what callers got as a Markdown table. Exit code 2 for wrong flags.
#include "emulator/emulated_fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cstdio>
#include <vector>

ABSL_FLAG(std::vector<std::string>, nodes, std::vector<std::string>({"1", "19", "93"}),
          "Numbers of nodes, 1 to 500 each.");
ABSL_FLAG(std::vector<std::string>, rates, std::vector<std::string>({"700", "1000", "1300"}),
          "Calls per second to all nodes together, 1 to 10000 each.");
ABSL_FLAG(int, upstreams, 97, "Number of upstreams, 1 to 5000.");
ABSL_FLAG(int, slots, 3, "Slots of an upstream, 1 to 100.");
ABSL_FLAG(int, queue, 6, "Requests that wait at an upstream before it rejects, 0 to 1000.");
ABSL_FLAG(int, data_centres, 3, "Number of data centres, 1 to 9.");
ABSL_FLAG(int, work_ms, 94, "Mean work of a call at normal speed, 1 to 10000.");
ABSL_FLAG(int, objective_ms, 250, "Latency objective, 1 to 100000.");
ABSL_FLAG(int, timeout_ms, 1200, "Timeout of callers, 1 to 100000.");
ABSL_FLAG(int, seconds, 5, "Length of a run in virtual time, 1 to 600.");
ABSL_FLAG(int, seeds, 1,
          "Runs with different random numbers for each row, 1 to 100; the row shows their mean.");

namespace anvilpost::testing {
namespace {

bool within(const char* flag, int value, int least, int most)
{
    if (value < least || value > most) {
        std::fprintf(stderr, "--%s: %d is not between %d and %d\n", flag, value, least, most);
        return false;
    }
    return true;
}

/// Parses the values of a list flag; reports each that is no number or out of range.
bool parse_list(const char* flag, const std::vector<std::string>& texts, int least, int most,
                std::vector<int>& values)
{
    bool valid = true;
    for (const auto& text : texts) {
        int value = 0;
        if (!absl::SimpleAtoi(text, &value)) {
            std::fprintf(stderr, "--%s: '%s' is not a whole number\n", flag, text.c_str());
            valid = false;
            continue;
        }
        valid = within(flag, value, least, most) && valid;
        values.push_back(value);
    }
    return valid;
}

/// The settings that all runs share, from the flags; nothing when a flag is wrong.
bool read_flags(emulation_settings& settings)
{
    settings.upstreams_ = absl::GetFlag(FLAGS_upstreams);
    settings.upstream_.slots_ = absl::GetFlag(FLAGS_slots);
    settings.upstream_.queue_length_ = absl::GetFlag(FLAGS_queue);
    settings.data_centres_ = absl::GetFlag(FLAGS_data_centres);
    settings.work_ = std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms));
    settings.objective_ = std::chrono::milliseconds(absl::GetFlag(FLAGS_objective_ms));
    settings.timeout_ = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    settings.length_ = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    bool valid = within("upstreams", settings.upstreams_, 1, 5000);
    valid = within("slots", settings.upstream_.slots_, 1, 100) && valid;
    valid = within("queue", settings.upstream_.queue_length_, 0, 1000) && valid;
    valid = within("data_centres", settings.data_centres_, 1, 9) && valid;
    valid = within("work_ms", absl::GetFlag(FLAGS_work_ms), 1, 10'000) && valid;
    valid = within("objective_ms", absl::GetFlag(FLAGS_objective_ms), 1, 100'000) && valid;
    valid = within("timeout_ms", absl::GetFlag(FLAGS_timeout_ms), 1, 100'000) && valid;
    valid = within("seconds", absl::GetFlag(FLAGS_seconds), 1, 600) && valid;
    return within("seeds", absl::GetFlag(FLAGS_seeds), 1, 100) && valid;
}

/// Mean of the results of all seeds.
emulation_result mean_over_seeds(emulation_settings settings, int seeds)
{
    emulation_result mean;
    for (int seed = 1; seed <= seeds; ++seed) {
        settings.seed_ = static_cast<std::uint64_t>(seed);
        const auto result = emulate(settings);
        mean.calls_ += result.calls_ / seeds;
        mean.worth_ += result.worth_ / seeds;
        mean.late_ += result.late_ / seeds;
        mean.failed_ += result.failed_ / seeds;
        mean.rejected_ += result.rejected_ / seeds;
        mean.upstream_rejections_ += result.upstream_rejections_ / seeds;
        mean.datagram_bytes_ += result.datagram_bytes_ / seeds;
        mean.elapsed_s_ += result.elapsed_s_ / seeds;
    }
    return mean;
}

} // namespace
} // namespace anvilpost::testing

int main(int count, char** arguments)
{
    using namespace anvilpost::testing;
    absl::SetProgramUsageMessage("Plays experiments on placing in an emulated fleet.");
    absl::ParseCommandLine(count, arguments);
    emulation_settings settings;
    std::vector<int> nodes;
    std::vector<int> rates;
    bool valid = read_flags(settings);
    valid = parse_list("nodes", absl::GetFlag(FLAGS_nodes), 1, 500, nodes) && valid;
    valid = parse_list("rates", absl::GetFlag(FLAGS_rates), 1, 10'000, rates) && valid;
    if (!valid) {
        return 2;
    }
    std::printf("| calls/s | nodes | worth | late | failed | rejected | attempts rejected by upstreams | B/s "
                "per node "
                "| real s |\n|---|---|---|---|---|---|---|---|---|\n");
    for (const int rate : rates) {
        for (const int node_count : nodes) {
            settings.calls_per_second_ = rate;
            settings.nodes_ = node_count;
            const auto result = mean_over_seeds(settings, absl::GetFlag(FLAGS_seeds));
            std::printf("| %d | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f | %.1f |\n", rate, node_count,
                        result.worth_, result.late_, result.failed_, result.rejected_,
                        result.upstream_rejections_, result.datagram_bytes_, result.elapsed_s_);
            std::fflush(stdout);
        }
    }
}
