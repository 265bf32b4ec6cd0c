// Validation faults of a document, each with the JSON pointer of its field. Parsers collect all faults of a
// document before they throw, so that an operator can fix them in one go.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace anvilpost {

/// A field that failed validation.
struct field_fault {
    std::string path_;    ///< JSON pointer (RFC 6901) of the field.
    std::string message_; ///< What is wrong and which values are accepted.

    bool operator==(const field_fault&) const = default;
};

/// Faults of one document that are kept, so that a large document with a fault in each entry needs little
/// memory.
inline constexpr std::size_t max_document_faults = 100;

/// Appends a fault, unless there are `max_document_faults`; a last one then says that there are more.
inline void add_fault(std::vector<field_fault>& faults, field_fault fault)
{
    if (faults.size() < max_document_faults) {
        faults.push_back(std::move(fault));
    }
    else if (faults.size() == max_document_faults) {
        faults.push_back(
            {"/", "has more faults than the " + std::to_string(max_document_faults) + " listed"});
    }
}

/// Thrown by parse functions; `what()` lists all faults in one line. Invariant: `faults()` is not empty.
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
