// Entry point of anvilpostd, the load balancer daemon. Exit codes: 0 stopped after all requests had finished,
// 1 stopped with requests cut off or failed to run, 2 invalid settings.
#include "adapters/settings_source.h"
#include "daemon/node.h"
#include "daemon/settings.h"

#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    const auto result = anvilpost::read_settings(argc, argv);
    if (result.help_requested_) {
        std::cout << anvilpost::settings_help();
        return 0;
    }
    if (!anvilpost::report_problems("anvilpostd", result.problems_)) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    anvilpost::set_up_logging(result.settings_.log_level_, result.settings_.node_);
    try {
        anvilpost::node node(result.settings_);
        return node.run();
    }
    catch (const std::exception& failure) {
        anvilpost::write_log(anvilpost::log_level::error, "cannot run", {{"reason", failure.what()}});
        return 1;
    }
}
