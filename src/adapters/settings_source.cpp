// Sets Abseil flags from the environment and the command line, through Abseil's flag reflection.
#include "adapters/settings_source.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <iostream>
#include <map>

namespace anvilpost {
namespace {

std::string variable_name(const std::string& prefix, const std::string& flag)
{
    std::string name = prefix;
    for (const char c : flag) {
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

std::map<std::string, absl::CommandLineFlag*> find_flags(const std::string& path_part)
{
    std::map<std::string, absl::CommandLineFlag*> found;
    for (const auto& [name, flag] : absl::GetAllFlags()) {
        if (flag->Filename().find(path_part) != std::string::npos) {
            found[std::string(name)] = flag;
        }
    }
    return found;
}

void set_flag(absl::CommandLineFlag& flag, const std::string& display_name, const std::string& value,
              std::vector<std::string>& problems)
{
    std::string error;
    if (!flag.ParseFrom(value, &error)) {
        problems.push_back(display_name + ": invalid value '" + value + "'" +
                           (error.empty() ? "" : ": " + error));
    }
}

bool is_boolean(const absl::CommandLineFlag& flag)
{
    return flag.IsOfType<bool>();
}

} // namespace

flag_parse_result read_flags(int argc, char** argv, const std::string& path_part, const std::string& prefix)
{
    flag_parse_result result;
    const auto flags = find_flags(path_part);
    for (const auto& [name, flag] : flags) {
        const std::string variable = variable_name(prefix, name);
        if (const char* value = std::getenv(variable.c_str())) {
            set_flag(*flag, variable, value, result.problems_);
        }
    }
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--help" || argument == "-h") {
            result.help_requested_ = true;
            continue;
        }
        if (!argument.starts_with("--")) {
            result.positional_.push_back(argument);
            continue;
        }
        const auto equals = argument.find('=');
        std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        std::replace(name.begin(), name.end(), '-', '_');
        const auto flag = flags.find(name);
        if (flag == flags.end()) {
            result.problems_.push_back("--" + name + ": unknown flag");
            continue;
        }
        std::string value = "true";
        if (equals != std::string::npos) {
            value = argument.substr(equals + 1);
        }
        else if (!is_boolean(*flag->second)) {
            if (i + 1 == argc) {
                result.problems_.push_back("--" + name + ": requires a value");
                continue;
            }
            value = argv[++i];
        }
        set_flag(*flag->second, "--" + name, value, result.problems_);
    }
    return result;
}

bool report_problems(const std::string& program, const std::vector<std::string>& problems)
{
    for (const auto& problem : problems) {
        std::cerr << program << ": " << problem << "\n";
    }
    return problems.empty();
}

std::string describe_flags(const std::string& path_part, const std::string& prefix)
{
    std::string text;
    for (const auto& [name, flag] : find_flags(path_part)) {
        text += "  --" + name + "  (" + variable_name(prefix, name) + ", default '" + flag->DefaultValue() +
                "')\n";
        text += "      " + flag->Help() + "\n";
    }
    return text;
}

} // namespace anvilpost
