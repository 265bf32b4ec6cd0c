// Faults found in a document, each with the JSON path of the field. All faults of a document are
// collected before they are thrown, so that an operator can mend them in one go.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace anvilpost {

struct field_fault {
    std::string path_;    ///< JSON pointer (RFC 6901) of the field at fault.
    std::string message_; ///< What is wrong and what is accepted.

    bool operator==(const field_fault&) const = default;
};

/// Thrown by parse functions. Invariant: `faults()` is not empty.
class invalid_document : public std::runtime_error {
public:
    explicit invalid_document(std::vector<field_fault> faults)
        : std::runtime_error(summary(faults)), faults_(std::move(faults))
    {
    }

    [[nodiscard]] const std::vector<field_fault>& faults() const noexcept { return faults_; }

private:
    static std::string summary(const std::vector<field_fault>& faults)
    {
        std::string text;
        for (const auto& fault : faults) {
            text += text.empty() ? "" : "; ";
            text += fault.path_ + ": " + fault.message_;
        }
        return text;
    }

    std::vector<field_fault> faults_;
};

} // namespace anvilpost
