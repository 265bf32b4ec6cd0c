// Interface for parsing the documents that the store holds. The product's own format is the JSON described
// in docs/reference.md; an adapter to a platform implements this interface for that platform's formats.
#pragma once

#include "core/configuration/configuration.h"
#include "core/configuration/field_fault.h"

#include <string>

namespace anvilpost {

/// An upstream's entry in the registry: its configuration and the service that it belongs to.
struct registered_upstream {
    std::string service_;
    upstream_config config_;
};

/// Parses the documents of one storage format.
class document_codec {
public:
    virtual ~document_codec() = default;

    /// Parses a configuration document. Throws `invalid_document` listing every fault.
    [[nodiscard]] virtual configuration parse_configuration(const std::string& bytes) const = 0;

    /// Parses a registry entry. Throws `invalid_document` listing every fault.
    [[nodiscard]] virtual registered_upstream parse_upstream(const std::string& bytes) const = 0;
};

} // namespace anvilpost
