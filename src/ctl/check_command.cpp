// Reads the file within the size that the check accepts, asks the node for its configuration and prints the
// findings.
#include "ctl/check_command.h"

#include "core/configuration/configuration_check.h"
#include "core/configuration/configuration_json.h"

#include <fstream>
#include <iostream>

namespace anvilpost {
namespace {

/// Returns at most one byte more than the check accepts, which reports the excess.
std::optional<std::string> read_bounded(const std::string& name)
{
    std::ifstream file;
    if (name != "-") {
        file.open(name, std::ios::binary);
    }
    std::istream& input = name == "-" ? std::cin : file;
    std::string bytes(max_json_text_bytes + 1, '\0');
    input.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (!input && !input.eof()) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(input.gcount()));
    return bytes;
}

} // namespace

int check_file(const std::string& file, node_client* node, bool as_json)
{
    std::vector<finding> found;
    const auto add_error = [&](const std::string& message) {
        found.push_back({finding_severity::error, "", message, "", {}});
    };
    std::optional<configuration> in_force;
    if (node != nullptr) {
        const auto response = node->get("/v1/configuration");
        try {
            if (response.status_ != 200) {
                add_error("the node did not give its configuration (status " +
                          std::to_string(response.status_) + "); nothing was compared");
            }
            else {
                in_force = parse_configuration(response.body_);
            }
        }
        catch (const invalid_document&) {
            add_error("the node's configuration cannot be read; nothing was compared");
        }
    }
    if (const auto bytes = read_bounded(file)) {
        const auto checked = check_document(*bytes, json_configuration_codec(),
                                            upstream_source::configuration, in_force ? &*in_force : nullptr);
        found.insert(found.end(), checked.begin(), checked.end());
    }
    else {
        add_error("cannot read '" + file + "'");
    }
    if (as_json) {
        std::cout << nlohmann::json{{"findings", to_json(found)}}.dump(
                         2, ' ', false, nlohmann::json::error_handler_t::replace)
                  << "\n";
    }
    else {
        std::cout << (found.empty() ? "no findings\n" : to_text(found));
    }
    return check_exit_code(found);
}

} // namespace anvilpost
