// Checks a configuration before it is put in force: errors of the document, entries that can never take
// effect, limits that contradict each other, and what differs from the configuration in force with who is
// affected. The same findings are the warnings of an intent's plan. No finding contains an API key or its
// digest.
#pragma once

#include "core/configuration/document_codec.h"
#include "core/configuration/json_text.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

/// A `change` is a difference from the configuration in force, and nothing wrong.
enum class finding_severity { error, warning, change };

template <>
struct enum_names<finding_severity> {
    static constexpr std::array<std::pair<finding_severity, std::string_view>, 3> table{{
        {finding_severity::error, "error"},
        {finding_severity::warning, "warning"},
        {finding_severity::change, "change"},
    }};
};

struct finding {
    finding_severity severity_ = finding_severity::error;
    std::string path_; ///< JSON pointer of the field; empty for the whole document.
    std::string message_;
    std::string affected_; ///< Whose requests it affects; empty when that is not known.
    std::optional<text_position> position_;

    bool operator==(const finding&) const = default;
};

/// Where the upstreams of a service come from. Services without upstreams are only reported for the first.
enum class upstream_source { configuration, registry };

/// Parses the product's own JSON form. It has no registry of upstreams.
class json_configuration_codec : public document_codec {
public:
    [[nodiscard]] configuration parse_configuration(const std::string& bytes) const override;
    [[nodiscard]] registered_upstream parse_upstream(const std::string& bytes) const override;
};

/// Returns warnings about entries without effect and contradicting limits of a valid configuration.
std::vector<finding> check_configuration(const configuration& config, upstream_source upstreams);

/// Returns warnings about the step from one configuration to the other, for instance an upstream that is
/// removed while it receives calls.
std::vector<finding> check_transition(const configuration& before, const configuration& after);

/// Returns the differences, each of severity `change`.
std::vector<finding> find_changes(const configuration& before, const configuration& after);

/// Makes all checks of a document; those that compare it are left out without `in_force`. Errors come first.
std::vector<finding> check_document(const std::string& bytes, const document_codec& codec,
                                    upstream_source upstreams, const configuration* in_force);

/// Returns 0 for no warnings and errors, 1 for warnings, 2 for errors.
int check_exit_code(const std::vector<finding>& findings);

/// One line for each finding: "LINE:COLUMN: SEVERITY PATH: MESSAGE (affects WHO)", without what is not known.
std::string to_text(const std::vector<finding>& findings);
nlohmann::json to_json(const std::vector<finding>& findings);

} // namespace anvilpost
