// A randomized soak test: real nodes as child processes on loopback, faults injected from outside, and a
// checker that verifies the platform's guarantees meanwhile. Exit code 0 without violations, 1 with
// violations, 2 for wrong flags or a failure of the test itself.
#include "soak/disruptions.h"
#include "support/address_claim.h"
#include "support/folder_claim.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first run.");
ABSL_FLAG(int, runs, 1, "Number of runs, with consecutive seeds.");
ABSL_FLAG(int, seconds, 20, "Length of the part of a run in which faults are injected.");
ABSL_FLAG(int, nodes, 5, "Number of nodes, 1 to 200.");
ABSL_FLAG(int, workers, 4, "Workers of each of the two services, 1 to 100.");
ABSL_FLAG(int, callers, 20, "Number of callers, each with one connection.");
ABSL_FLAG(bool, organisations, false,
          "Add organisations with keys, callers with valid and with wrong keys, and their disruptions.");
ABSL_FLAG(bool, check_times, true, "Check guarantees with a time bound too; CI skips them.");
ABSL_FLAG(int, net, 0, "Addresses are 127.NET.x.y; 0 takes a number that no other process uses.");
ABSL_FLAG(std::string, node, ANVILPOST_NODE_PROGRAM, "Path of the node's executable.");
ABSL_FLAG(std::string, folder, "soak-runs",
          "Receives settings and logs of the runs; those of runs without violations are removed.");

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr duration start_timeout = 8s;
constexpr duration recovery_time = 8s;
constexpr duration measurement_period = 3s;
constexpr std::uint64_t max_gap_ms = 1200;

/// Share of the requests that must be served once all faults have been over for `recovery_time`.
constexpr double min_served_share = 0.95;

/// Target for the peak resident memory of one node. Builds with sanitizers aren't checked: most of their
/// memory is the sanitizers' shadow memory and quarantine of freed blocks.
constexpr double memory_bound_mb = 128;
constexpr bool checks_memory = ANVILPOST_SANITIZED == 0;

/// Phases alternate between arbitrary disruptions and planned operations only. In the latter, guarantees with
/// a time bound are checked.
constexpr duration phase_length = 8s;

/// The network of all runs of this process, unless the flag sets it.
int loopback_network()
{
    constexpr int first = 1;
    constexpr int last = 90; // End-to-end tests use 100 to 199.
    static const int network =
        absl::GetFlag(FLAGS_net) != 0 ? absl::GetFlag(FLAGS_net) : claim_loopback_network(first, last);
    return network;
}

/// Shows that the checks of keys, evacuations and quotas had requests to check.
void print_checked_requests(test_deployment& deployment)
{
    constexpr int http_unauthorised = 401;
    int wrong = 0;
    int withdrawn = 0;
    for (const auto& [unused, request] : deployment.checker().requests()) {
        if (request.status_ == http_unauthorised) {
            ++(request.credentials_->organisation_.empty() ? wrong : withdrawn);
        }
    }
    std::printf("  answered 401: %d with wrong keys, %d with withdrawn or new ones; %zu in the first 5 s of "
                "evacuations; at most %.2f of a quota's bound\n",
                wrong, withdrawn, deployment.evacuated_arrivals(), deployment.checker().largest_quota_use());
}

bool run_seed(std::uint64_t seed, const std::string& folder)
{
    deployment_settings settings;
    settings.daemon_ = absl::GetFlag(FLAGS_node);
    settings.folder_ = folder;
    settings.seed_ = seed;
    settings.net_ = loopback_network();
    settings.nodes_ = absl::GetFlag(FLAGS_nodes);
    settings.workers_per_service_ = absl::GetFlag(FLAGS_workers);
    settings.organisations_ = absl::GetFlag(FLAGS_organisations);
    test_deployment deployment(settings);
    if (!absl::GetFlag(FLAGS_check_times)) {
        deployment.checker().skip_timing_checks();
    }
    disruption_injector disruptions(deployment);
    kind_drawer kinds(seed, settings.organisations_);
    deployment.run_for(2s);
    deployment.start_callers(absl::GetFlag(FLAGS_callers), 100ms);
    deployment.run_until([&] { return deployment.served_share(deployment.now() - 1s) >= min_served_share; },
                         start_timeout);
    const auto start = deployment.now();
    const auto end = start + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (deployment.now() < end) {
        const bool faults_allowed = (deployment.now() - start) / phase_length % 2 == 0;
        const auto kind = kinds.draw(deployment.random(), !faults_allowed);
        const double elapsed_s = std::chrono::duration<double>(deployment.now() - start).count();
        std::printf("  %6.2f s %s\n", elapsed_s, disruptions.start(kind).c_str());
        std::fflush(stdout);
        deployment.run_for(std::chrono::milliseconds(1 + random_below(deployment.random(), max_gap_ms)));
    }
    if (settings.organisations_) {
        // Disruptions leave few windows of five seconds to check the quotas in, so a flood follows them.
        std::printf("  %s\n", disruptions.start(disruption_kind::flood_organisation).c_str());
    }
    deployment.run_for(recovery_time);
    const auto recovered_at = deployment.now();
    deployment.run_for(measurement_period);
    const double served = deployment.served_share(recovered_at);
    const double memory = deployment.peak_node_memory();
    if (served < min_served_share) {
        deployment.checker().report_timing_violation("service recovers after faults",
                                                     "served share " + std::to_string(served));
    }
    if (checks_memory && memory > memory_bound_mb) {
        deployment.checker().report_violation("memory stays within its bound",
                                              std::to_string(memory) + " MB");
    }
    deployment.finish();
    const auto& violations = deployment.checker().violations();
    std::printf(
        "seed %llu: %zu requests, %.3f served after recovery, peak %.0f MB, own stalls up to %.0f ms, %zu "
        "violations\n",
        static_cast<unsigned long long>(seed), deployment.checker().requests().size(), served, memory,
        std::chrono::duration<double, std::milli>(deployment.longest_stall()).count(), violations.size());
    if (settings.organisations_) {
        print_checked_requests(deployment);
    }
    for (const auto& each : violations) {
        std::printf("  VIOLATED %s\n", each.c_str());
    }
    std::fflush(stdout);
    return violations.empty();
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
            const folder_claim folder(absl::GetFlag(FLAGS_folder) + "/seed-" + std::to_string(seed));
            std::filesystem::remove_all(folder.path());
            if (run_seed(seed, folder.path())) {
                std::filesystem::remove_all(folder.path());
            }
            else {
                ++failed;
                std::printf("  logs: %s\n", folder.path().c_str());
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
