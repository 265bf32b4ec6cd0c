// A randomized soak test: real nodes as child processes on loopback, faults injected from outside, and a
// checker that verifies the platform's guarantees meanwhile. Exit code 0 without violations, 1 with
// violations, 2 for wrong flags or a failure of the test itself.
#include "soak/trouble.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <unistd.h>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first run.");
ABSL_FLAG(int, runs, 1, "Number of runs, with consecutive seeds.");
ABSL_FLAG(int, seconds, 20, "Length of the part of a run in which faults are injected.");
ABSL_FLAG(int, nodes, 5, "Number of nodes, 1 to 200.");
ABSL_FLAG(int, workers, 4, "Workers of each of the two services, 1 to 100.");
ABSL_FLAG(int, callers, 20, "Number of callers, each with one connection.");
ABSL_FLAG(bool, check_times, true, "Check guarantees with a time bound too; CI skips them.");
ABSL_FLAG(int, net, 0, "Addresses are 127.NET.x.y; 0 derives a number from the process id.");
ABSL_FLAG(std::string, node, ANVILPOST_NODE_PROGRAM, "Path of the node's executable.");
ABSL_FLAG(std::string, folder, "soak-runs",
          "Receives settings and logs of the runs; those of runs without violations are removed.");

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr duration time_to_start = 8s;
constexpr duration time_to_recover = 8s;
constexpr duration measured_at_the_end = 3s;
constexpr std::uint64_t longest_gap_ms = 1200;

/// Share of the requests that must be served once all faults have been over for `time_to_recover`.
constexpr double served_when_calm = 0.95;

/// Target for the peak resident memory of one node. Builds with sanitizers aren't checked: most of their
/// memory is the sanitizers' shadow memory and quarantine of freed blocks.
constexpr double memory_bound_mb = 128;
constexpr bool memory_tells = ANVILPOST_SANITIZED == 0;

/// Phases alternate between arbitrary disruptions and planned operations only. In the latter, guarantees with
/// a time bound are checked.
constexpr duration phase = 8s;

/// Concurrent soak runs use different addresses, 1 to 90; the end-to-end tests use 100 to 199.
int net_of_this_process()
{
    constexpr int count = 90;
    return 1 + getpid() % count;
}

bool run_seed(std::uint64_t seed, const std::string& folder)
{
    world_settings settings;
    settings.daemon_ = absl::GetFlag(FLAGS_node);
    settings.folder_ = folder;
    settings.seed_ = seed;
    settings.net_ = absl::GetFlag(FLAGS_net) != 0 ? absl::GetFlag(FLAGS_net) : net_of_this_process();
    settings.nodes_ = absl::GetFlag(FLAGS_nodes);
    settings.workers_per_service_ = absl::GetFlag(FLAGS_workers);
    world target(settings);
    if (!absl::GetFlag(FLAGS_check_times)) {
        target.book().leave_out_times();
    }
    trouble_maker troubles(target);
    target.run_for(2s);
    target.start_callers(absl::GetFlag(FLAGS_callers), 100ms);
    target.run_until([&] { return target.served_part(target.now() - 1s) >= served_when_calm; },
                     time_to_start);
    const auto start = target.now();
    const auto end = start + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (target.now() < end) {
        const bool anything = (target.now() - start) / phase % 2 == 0;
        auto kind = static_cast<trouble_kind>(random_below(target.random(), trouble_kinds));
        while (!anything && !is_planned(kind)) {
            kind = static_cast<trouble_kind>(random_below(target.random(), trouble_kinds));
        }
        const double at = std::chrono::duration<double>(target.now() - start).count();
        std::printf("  %6.2f s %s\n", at, troubles.start(kind).c_str());
        std::fflush(stdout);
        target.run_for(std::chrono::milliseconds(1 + random_below(target.random(), longest_gap_ms)));
    }
    target.run_for(time_to_recover);
    const auto calm_from = target.now();
    target.run_for(measured_at_the_end);
    const double served = target.served_part(calm_from);
    const double memory = target.peak_node_memory();
    if (served < served_when_calm) {
        target.book().report_late("service recovers after faults", "served share " + std::to_string(served));
    }
    if (memory_tells && memory > memory_bound_mb) {
        target.book().report("memory stays within its bound", std::to_string(memory) + " MB");
    }
    target.finish();
    const auto& broken = target.book().broken();
    std::printf(
        "seed %llu: %zu requests, %.3f served after recovery, peak %.0f MB, own stalls up to %.0f ms, %zu "
        "violations\n",
        static_cast<unsigned long long>(seed), target.book().requests().size(), served, memory,
        std::chrono::duration<double, std::milli>(target.longest_stall()).count(), broken.size());
    for (const auto& each : broken) {
        std::printf("  VIOLATED %s\n", each.c_str());
    }
    std::fflush(stdout);
    return broken.empty();
}

bool flags_are_valid()
{
    const auto within = [](const char* name, int value, int least, int most) {
        if (value < least || value > most) {
            std::fprintf(stderr, "--%s: must be between %d and %d\n", name, least, most);
            return false;
        }
        return true;
    };
    bool valid = within("nodes", absl::GetFlag(FLAGS_nodes), 1, 200);
    valid = within("workers", absl::GetFlag(FLAGS_workers), 1, 100) && valid;
    valid = within("callers", absl::GetFlag(FLAGS_callers), 1, 2000) && valid;
    valid = within("seconds", absl::GetFlag(FLAGS_seconds), 1, 3600) && valid;
    valid = within("runs", absl::GetFlag(FLAGS_runs), 1, 1000) && valid;
    return within("net", absl::GetFlag(FLAGS_net), 0, 254) && valid;
}

} // namespace
} // namespace anvilpost::testing

int main(int count, char** arguments)
{
    using namespace anvilpost::testing;
    absl::SetProgramUsageMessage("Runs nodes under random faults and checks the platform's guarantees.");
    absl::ParseCommandLine(count, arguments);
    if (!flags_are_valid()) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    try {
        for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
            const auto seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i);
            const std::string folder = absl::GetFlag(FLAGS_folder) + "/seed-" + std::to_string(seed);
            std::filesystem::remove_all(folder);
            if (run_seed(seed, folder)) {
                std::filesystem::remove_all(folder);
            }
            else {
                ++failed;
                std::printf("  logs: %s\n", folder.c_str());
            }
        }
    }
    catch (const std::exception& failure) {
        std::fprintf(stderr, "soak: %s\n", failure.what());
        return 2;
    }
    std::printf("%d runs, %d with violations\n", absl::GetFlag(FLAGS_runs), failed);
    return failed == 0 ? 0 : 1;
}
