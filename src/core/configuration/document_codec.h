// Interface to the formats in which the store holds documents. The product's own format is JSON as in
// docs/reference.md; an adapter to a platform brings that platform's.
#pragma once

#include "core/configuration/configuration.h"
#include "core/configuration/field_fault.h"

#include <string>

namespace anvilpost {

/// An upstream as it stands in the registry.
struct registered_upstream {
    std::string service_;
    upstream_config config_;
};

class document_codec {
public:
    virtual ~document_codec() = default;

    /// Throws `invalid_document` listing every fault.
    [[nodiscard]] virtual configuration parse_configuration(const std::string& bytes) const = 0;

    /// Throws `invalid_document` listing every fault.
    [[nodiscard]] virtual registered_upstream parse_upstream(const std::string& bytes) const = 0;
};

} // namespace anvilpost
