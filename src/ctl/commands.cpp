// Implements the sub-commands: each reads its flags, sends one request to a node's admin interface and prints
// the response as a table or as JSON.
#include "ctl/commands.h"

#include "adapters/settings_source.h"
#include "ctl/check_command.h"
#include "ctl/node_client.h"
#include "ctl/tables.h"

#include <absl/flags/flag.h>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, node, "",
          "ip:port of a node's admin interface; without it 127.0.0.1:8081, and 'check' asks no node.");
ABSL_FLAG(std::string, output, "table", "Output format: table or json.");
ABSL_FLAG(std::string, format, "", "With 'check': text or json; the same as --output there.");
ABSL_FLAG(std::string, file, "", "File with an intent or a plan in JSON; '-' reads standard input.");
ABSL_FLAG(bool, confirm, false, "With 'intent': confirm the plan at once if it has no warnings.");
ABSL_FLAG(bool, watch, false,
          "With 'burn', 'status' and 'organisations': repeat every second until interrupted.");
ABSL_FLAG(int, timeout_ms, 15000, "Longest wait for the node's answer.");

namespace anvilpost {
namespace {

constexpr const char* flag_owner = "ctl/commands.cpp";
constexpr const char* variable_prefix = "ANVILPOSTCTL_";
constexpr std::chrono::seconds watch_period{1};
constexpr const char* default_node = "127.0.0.1:8081";

constexpr const char* usage = R"(anvilpostctl: command-line tool for operators of anvilpost

  anvilpostctl intent --file=F         submit an intent; prints the plan, changes nothing
  anvilpostctl confirm --file=F        confirm a plan that 'intent --output=json' printed
  anvilpostctl leaving SERVICE UPSTREAM   plan to take an upstream out of service
  anvilpostctl configuration           print the accepted configuration
  anvilpostctl check FILE [--node=N] [--format=json]   check a configuration file, and compare it with the
                                       one that node N has; exit code 0 clean, 1 warnings, 2 errors
  anvilpostctl status                  print a node's view: revision, services, upstreams
  anvilpostctl organisations           print the organisations with a limit, and what they use
  anvilpostctl burn                    print how fast the services' error budgets burn
  anvilpostctl help

examples:
  anvilpostctl intent --file=site.json --output=json > plan.json
  anvilpostctl confirm --file=plan.json
  anvilpostctl leaving accounts a2 --confirm
  anvilpostctl burn --watch

exit codes (but for 'check'): 0 done, 1 failed, 2 wrong usage, 3 faults in the intent or plan,
            4 the configuration has changed (the new plan is printed), 5 no node answered

flags, with their environment variables (a flag overrides its variable):
)";

int to_exit_status(exit_code value)
{
    return static_cast<int>(value);
}

int report_usage_error(const std::string& problem)
{
    std::cerr << "anvilpostctl: " << problem << "\n";
    return to_exit_status(exit_code::wrong_usage);
}

bool json_output()
{
    return absl::GetFlag(FLAGS_output) == "json";
}

std::string node_address()
{
    const std::string given = absl::GetFlag(FLAGS_node);
    return given.empty() ? default_node : given;
}

node_client make_client()
{
    std::string ip;
    std::uint16_t port = 0;
    parse_address(node_address(), ip, port);
    return {ip, port, std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms))};
}

/// Reads the file that --file names. Returns false after printing the problem.
bool read_document(nlohmann::json& document)
{
    const std::string name = absl::GetFlag(FLAGS_file);
    if (name.empty()) {
        report_usage_error("--file: is required");
        return false;
    }
    std::stringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
    }
    else {
        std::ifstream file(name);
        if (!file) {
            report_usage_error("--file: cannot read '" + name + "'");
            return false;
        }
        text << file.rdbuf();
    }
    document = nlohmann::json::parse(text.str(), nullptr, false);
    if (document.is_discarded()) {
        report_usage_error("--file: '" + name + "' is not valid JSON");
        return false;
    }
    return true;
}

/// Prints the error of a response whose status is not 200 and returns the exit code for it.
int report_failure(const node_response& response)
{
    if (response.status_ == 0) {
        std::cerr << "anvilpostctl: no answer from " << node_address() << "\n";
        return to_exit_status(exit_code::unreachable);
    }
    if (response.status_ == 422 && response.body_.contains("faults")) {
        for (const auto& fault : response.body_["faults"]) {
            std::cerr << "anvilpostctl: " << fault.value("path", "") << ": " << fault.value("message", "")
                      << "\n";
        }
        return to_exit_status(exit_code::refused);
    }
    if (response.status_ == 409 && response.body_.contains("new_plan")) {
        std::cerr << "anvilpostctl: " << response.body_.value("detail", "") << "\n";
        std::cout << (json_output() ? response.body_["new_plan"].dump(2) + "\n"
                                    : plan_table(response.body_["new_plan"]));
        return to_exit_status(exit_code::base_moved);
    }
    const std::string detail =
        response.body_.is_object() ? response.body_.value("detail", "") : response.text_;
    std::cerr << "anvilpostctl: the node answered " << response.status_ << ": " << detail << "\n";
    return to_exit_status(exit_code::failed);
}

/// Sends the plan's intent back with its base revision; the node applies it only if that is still current.
int confirm_plan(const nlohmann::json& plan)
{
    if (!plan.is_object() || !plan.contains("plan") || !plan.contains("intent") ||
        !plan.contains("base_revision")) {
        return report_usage_error(
            "--file: not a plan; the fields plan, base_revision and intent are required");
    }
    const nlohmann::json body{{"base_revision", plan["base_revision"]}, {"intent", plan["intent"]}};
    const auto response =
        make_client().post("/v1/plans/" + plan["plan"].get<std::string>() + "/confirm", body.dump());
    if (response.status_ != 200) {
        return report_failure(response);
    }
    std::cout << (json_output()
                      ? response.body_.dump(2)
                      : "applied; revision " + std::to_string(response.body_.value("revision", 0ULL)))
              << "\n";
    return to_exit_status(exit_code::done);
}

int submit_intent(const nlohmann::json& intent)
{
    const auto response = make_client().post("/v1/intents", intent.dump());
    if (response.status_ != 200) {
        return report_failure(response);
    }
    std::cout << (json_output() ? response.body_.dump(2) + "\n" : plan_table(response.body_));
    if (!absl::GetFlag(FLAGS_confirm)) {
        return to_exit_status(exit_code::done);
    }
    if (!response.body_["warnings"].empty()) {
        std::cerr << "anvilpostctl: --confirm: the plan has warnings; review it and use 'confirm'\n";
        return to_exit_status(exit_code::refused);
    }
    return confirm_plan(response.body_);
}

int intent_command(const std::vector<std::string>&)
{
    nlohmann::json document;
    return read_document(document) ? submit_intent(document) : to_exit_status(exit_code::wrong_usage);
}

int confirm_command(const std::vector<std::string>&)
{
    nlohmann::json document;
    return read_document(document) ? confirm_plan(document) : to_exit_status(exit_code::wrong_usage);
}

int leaving_command(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2) {
        return report_usage_error("leaving: needs SERVICE and UPSTREAM");
    }
    return submit_intent({{"changes",
                           {{{"change", "set_upstream_state"},
                             {"service", arguments[0]},
                             {"upstream", arguments[1]},
                             {"state", "leaving"}}}}});
}

/// Requests a path and prints the response, once or, with --watch, every second.
int print_document(const std::string& path, const std::function<std::string(const nlohmann::json&)>& table)
{
    while (true) {
        const auto response = make_client().get(path);
        if (response.status_ != 200) {
            return report_failure(response);
        }
        std::cout << (json_output() ? response.body_.dump(2) + "\n" : table(response.body_)) << std::flush;
        if (!absl::GetFlag(FLAGS_watch)) {
            return to_exit_status(exit_code::done);
        }
        std::this_thread::sleep_for(watch_period);
    }
}

int check_command(const std::vector<std::string>& arguments)
{
    const std::string format = absl::GetFlag(FLAGS_format);
    if (arguments.size() != 1) {
        return report_usage_error("check: needs one FILE; '-' reads standard input");
    }
    if (!format.empty() && format != "text" && format != "json") {
        return report_usage_error("--format: '" + format + "' is neither text nor json");
    }
    const bool as_json = format == "json" || (format.empty() && json_output());
    if (absl::GetFlag(FLAGS_node).empty()) {
        return check_file(arguments[0], nullptr, as_json);
    }
    auto client = make_client();
    return check_file(arguments[0], &client, as_json);
}

int configuration_command(const std::vector<std::string>&)
{
    return print_document("/v1/configuration",
                          [](const nlohmann::json& document) { return document.dump(2) + "\n"; });
}

int status_command(const std::vector<std::string>&)
{
    return print_document("/v1/status", status_table);
}

int organisations_command(const std::vector<std::string>&)
{
    return print_document("/v1/status", organisations_table);
}

int burn_command(const std::vector<std::string>&)
{
    return print_document("/v1/burn", burn_table);
}

} // namespace

int run_command(int argc, char** argv)
{
    const auto flags = read_flags(argc, argv, flag_owner, variable_prefix);
    const bool help = flags.help_requested_ || (!flags.positional_.empty() && flags.positional_[0] == "help");
    if (help) {
        std::cout << usage << describe_flags(flag_owner, variable_prefix);
        return to_exit_status(exit_code::done);
    }
    auto problems = flags.problems_;
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "table" && output != "json") {
        problems.push_back("--output: '" + output + "' is neither table nor json");
    }
    std::string ip;
    std::uint16_t port = 0;
    if (!parse_address(node_address(), ip, port)) {
        problems.push_back("--node: '" + absl::GetFlag(FLAGS_node) + "' is not a numeric ip:port");
    }
    if (absl::GetFlag(FLAGS_timeout_ms) < 1) {
        problems.emplace_back("--timeout_ms: must be at least 1");
    }
    const std::map<std::string, std::function<int(const std::vector<std::string>&)>> commands{
        {"intent", intent_command},
        {"confirm", confirm_command},
        {"leaving", leaving_command},
        {"status", status_command},
        {"burn", burn_command},
        {"configuration", configuration_command},
        {"organisations", organisations_command},
        {"check", check_command},
    };
    if (flags.positional_.empty() || !commands.contains(flags.positional_[0])) {
        problems.emplace_back(flags.positional_.empty()
                                  ? "a sub-command is required; see 'anvilpostctl help'"
                                  : "'" + flags.positional_[0] + "': unknown sub-command");
    }
    if (!report_problems("anvilpostctl", problems)) {
        return to_exit_status(exit_code::wrong_usage);
    }
    return commands.at(flags.positional_[0])({flags.positional_.begin() + 1, flags.positional_.end()});
}

} // namespace anvilpost
